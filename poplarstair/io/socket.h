// Socket ownership, socket creation, and batched datagram I/O.
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

// The functions below create non-blocking sockets. They throw system_failure if
// a system call fails, unless stated otherwise.

/// Creates a listening TCP socket. Port 0 lets the kernel choose.
unique_fd ListenTcp(const endpoint& local);
/// Accepts a pending connection. Returns a closed descriptor if none is pending
/// or accepting fails; does not throw.
unique_fd AcceptTcp(const unique_fd& listener);
/// Creates a TCP socket and starts to connect it. The socket becomes writable
/// when the connection is established or has failed.
unique_fd ConnectTcp(const endpoint& remote);
/// Lets the kernel close the connection when sent data stays unacknowledged for
/// `limit` (TCP_USER_TIMEOUT), so that a dead connection is replaced. Ignores
/// errors.
void SetTcpUserTimeout(const unique_fd& connection, duration limit);
/// Lets the kernel probe an idle connection and close it within about three
/// seconds if the remote end no longer responds. Ignores errors.
void EnableFastKeepAlive(const unique_fd& connection);
/// Creates a bound UDP socket. Port 0 lets the kernel choose.
unique_fd BindUdp(const endpoint& local);
/// The local address and port of a socket.
endpoint LocalEndpoint(const unique_fd& socket);

/// A received or outgoing datagram. `bytes` does not own its memory.
struct datagram {
  endpoint remote;
  std::span<const uint8_t> bytes;
};

/// Receives and sends several datagrams in one system call.
class udp_batch {
 public:
  static constexpr size_t kMaxDatagrams = 64;
  static constexpr size_t kMaxDatagramBytes = 2048;

  udp_batch();
  ~udp_batch();

  /// Returns up to kMaxDatagrams that have arrived; empty if there are none or
  /// on an error. They stay valid until the next Receive or the end of this
  /// object. Longer datagrams are cut to kMaxDatagramBytes.
  std::span<const datagram> Receive(const unique_fd& socket);
  /// Sends up to kMaxDatagrams; returns how many the kernel accepted.
  size_t Send(const unique_fd& socket, std::span<const datagram> datagrams);

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_IO_SOCKET_H_
