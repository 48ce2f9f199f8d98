// A TCP connection with buffered output on the event loop.
#ifndef POPLARSTAIR_IO_TCP_STREAM_H_
#define POPLARSTAIR_IO_TCP_STREAM_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "poplarstair/io/event_loop.h"
#include "poplarstair/io/socket.h"

namespace poplarstair {

/// Neither handler may destroy the stream; the loop's Post may.
class tcp_stream {
 public:
  struct hooks {
    std::function<void(std::string_view)> received;
    /// Called once, when the other side has closed or the connection failed.
    std::function<void()> closed;
  };

  tcp_stream(event_loop& loop, unique_fd connection, hooks actions);
  ~tcp_stream();

  /// Takes the bytes into the output buffer.
  void Write(std::string_view bytes);
  /// Bytes not yet taken by the kernel.
  size_t UnsentBytes() const;
  /// Bytes taken by the kernel since the start; what came after has provably
  /// not left.
  uint64_t SentBytes() const;
  /// Sends what is buffered, then closes; `closed` is called.
  void CloseAfterWrite();

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_IO_TCP_STREAM_H_
