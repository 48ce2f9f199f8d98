// Sockets: ownership, creation, batches of datagrams.
#ifndef POPLARSTAIR_IO_SOCKET_H_
#define POPLARSTAIR_IO_SOCKET_H_

#include <cstdint>
#include <memory>
#include <span>
#include <utility>

#include "poplarstair/core/endpoint.h"
#include "poplarstair/core/time.h"

namespace poplarstair {

/// Owns a file descriptor.
class unique_fd {
 public:
  unique_fd() = default;
  explicit unique_fd(int descriptor) : descriptor_(descriptor) {}
  ~unique_fd() { Reset(); }
  unique_fd(unique_fd&& other) noexcept
      : descriptor_(std::exchange(other.descriptor_, -1)) {}
  unique_fd& operator=(unique_fd&& other) noexcept;

  int Get() const { return descriptor_; }
  bool IsOpen() const { return descriptor_ >= 0; }
  void Reset();

 private:
  int descriptor_ = -1;
};

// All sockets are non-blocking. All throw system_failure.

/// A listening TCP socket. Port 0 lets the kernel choose.
unique_fd ListenTcp(const endpoint& local);
/// A connected socket, or nothing open when none is waiting.
unique_fd AcceptTcp(const unique_fd& listener);
/// A socket whose connection is under way.
unique_fd ConnectTcp(const endpoint& remote);
/// Ends the connection when sent data stays unacknowledged for `limit`, so
/// that one gone silent is replaced.
void SetTcpUserTimeout(const unique_fd& connection, duration limit);
/// Lets the kernel probe an idle connection and end one that has gone silent,
/// within some three seconds.
void EnableFastKeepAlive(const unique_fd& connection);
/// A UDP socket. Port 0 lets the kernel choose.
unique_fd BindUdp(const endpoint& local);
/// The address that the socket has.
endpoint LocalEndpoint(const unique_fd& socket);

/// One datagram; `bytes` lies in its owner's memory.
struct datagram {
  endpoint remote;
  std::span<const uint8_t> bytes;
};

/// Receives and sends datagrams many at a time.
class udp_batch {
 public:
  static constexpr size_t kMaxDatagrams = 64;
  static constexpr size_t kMaxDatagramBytes = 2048;

  udp_batch();
  ~udp_batch();

  /// Datagrams that have arrived, valid until the next call.
  std::span<const datagram> Receive(const unique_fd& socket);
  /// Sends up to kMaxDatagrams; returns how many the kernel took.
  size_t Send(const unique_fd& socket, std::span<const datagram> datagrams);

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_IO_SOCKET_H_
