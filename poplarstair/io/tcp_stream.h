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

/// A TCP connection. A hook must not destroy the stream; it can post the
/// destruction to the event loop instead.
class tcp_stream {
 public:
  struct hooks {
    /// Bytes were received; they are valid during the call only.
    std::function<void(std::string_view)> received;
    /// The connection ended: the remote end closed it, it failed, or
    /// CloseAfterWrite has finished. Called once.
    std::function<void()> closed;
  };

  /// Takes a connected socket, or one that is still connecting.
  tcp_stream(event_loop& loop, unique_fd connection, hooks handlers);
  ~tcp_stream();

  /// Appends the bytes to the output buffer, which has no size limit. Does
  /// nothing after the connection has ended.
  void Write(std::string_view bytes);
  /// Buffered bytes that the kernel has not yet accepted.
  size_t UnsentBytes() const;
  /// Bytes that the kernel has accepted since the start. Later bytes have
  /// certainly not been sent.
  uint64_t SentBytes() const;
  /// Sends the buffered bytes, then closes the connection and calls `closed`.
  void CloseAfterWrite();

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_IO_TCP_STREAM_H_
