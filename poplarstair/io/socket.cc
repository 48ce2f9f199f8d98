#include "poplarstair/io/socket.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <vector>

#include "poplarstair/core/assert.h"
#include "poplarstair/core/error.h"

namespace poplarstair {

namespace {

constexpr int kSocketFlags = SOCK_NONBLOCK | SOCK_CLOEXEC;
constexpr int kUdpBufferBytes = 4 << 20;
constexpr int kListenBacklog = 1024;
// Keep-alive of accepted connections: a client may disappear without closing
// its connection.
constexpr int kKeepAliveIdleSeconds = 30;
constexpr int kKeepAliveIntervalSeconds = 10;
constexpr int kKeepAliveProbes = 3;
// Keep-alive of outgoing connections that wait for a response. An unresponsive
// connection must be replaced before the data that it carries is too old to act
// on.
constexpr int kFastKeepAliveIdleSeconds = 1;
constexpr int kFastKeepAliveIntervalSeconds = 1;
constexpr int kFastKeepAliveProbes = 2;
constexpr int kFastUserTimeoutMs = 2'500;

/// An address in the form that socket system calls take.
struct socket_address {
  sockaddr_storage storage{};
  socklen_t size = sizeof(sockaddr_storage);

  sockaddr* Get() { return reinterpret_cast<sockaddr*>(&storage); }
  const sockaddr* Get() const {
    return reinterpret_cast<const sockaddr*>(&storage);
  }
};

socket_address ToSocketAddress(const endpoint& e) {
  socket_address native;
  if (e.address.IsV4()) {
    auto* v4 = reinterpret_cast<sockaddr_in*>(&native.storage);
    v4->sin_family = AF_INET;
    v4->sin_port = htons(e.port);
    v4->sin_addr.s_addr = htonl(e.address.V4());
    native.size = sizeof(*v4);
  } else {
    auto* v6 = reinterpret_cast<sockaddr_in6*>(&native.storage);
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(e.port);
    std::memcpy(&v6->sin6_addr, e.address.Bytes().data(),
                sizeof(v6->sin6_addr));
    native.size = sizeof(*v6);
  }
  return native;
}

endpoint FromSocketAddress(const socket_address& native) {
  if (native.storage.ss_family == AF_INET) {
    const auto* v4 = reinterpret_cast<const sockaddr_in*>(&native.storage);
    return {ip_address::FromV4(ntohl(v4->sin_addr.s_addr)),
            ntohs(v4->sin_port)};
  }
  const auto* v6 = reinterpret_cast<const sockaddr_in6*>(&native.storage);
  std::array<uint8_t, 16> bytes{};
  std::memcpy(bytes.data(), &v6->sin6_addr, bytes.size());
  return {ip_address(bytes), ntohs(v6->sin6_port)};
}

unique_fd MakeSocket(const endpoint& e, int type) {
  const int family = e.address.IsV4() ? AF_INET : AF_INET6;
  unique_fd socket_fd(socket(family, type | kSocketFlags, 0));
  if (!socket_fd.IsOpen()) throw system_failure("socket", errno);
  return socket_fd;
}

void SetOption(const unique_fd& socket_fd, int level, int option, int value) {
  setsockopt(socket_fd.Get(), level, option, &value, sizeof(value));
}

void BindTo(const unique_fd& socket_fd, const endpoint& local) {
  const socket_address native = ToSocketAddress(local);
  if (bind(socket_fd.Get(), native.Get(), native.size) != 0) {
    throw system_failure("bind " + local.ToString(), errno);
  }
}

}  // namespace

unique_fd& unique_fd::operator=(unique_fd&& other) noexcept {
  if (this != &other) {
    Reset();
    descriptor_ = std::exchange(other.descriptor_, -1);
  }
  return *this;
}

void unique_fd::Reset() {
  if (descriptor_ >= 0) close(descriptor_);
  descriptor_ = -1;
}

unique_fd ListenTcp(const endpoint& local) {
  unique_fd listener = MakeSocket(local, SOCK_STREAM);
  SetOption(listener, SOL_SOCKET, SO_REUSEADDR, 1);
  BindTo(listener, local);
  if (listen(listener.Get(), kListenBacklog) != 0) {
    throw system_failure("listen " + local.ToString(), errno);
  }
  return listener;
}

unique_fd AcceptTcp(const unique_fd& listener) {
  unique_fd connection(accept4(listener.Get(), nullptr, nullptr, kSocketFlags));
  if (!connection.IsOpen()) return connection;
  SetOption(connection, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(connection, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(connection, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetOption(connection, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetOption(connection, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  return connection;
}

unique_fd ConnectTcp(const endpoint& remote) {
  unique_fd connection = MakeSocket(remote, SOCK_STREAM);
  SetOption(connection, IPPROTO_TCP, TCP_NODELAY, 1);
  const socket_address native = ToSocketAddress(remote);
  const int result = connect(connection.Get(), native.Get(), native.size);
  if (result != 0 && errno != EINPROGRESS) {
    throw system_failure("connect " + remote.ToString(), errno);
  }
  return connection;
}

void SetTcpUserTimeout(const unique_fd& connection, duration limit) {
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(limit);
  SetOption(connection, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(milliseconds.count()));
}

void EnableFastKeepAlive(const unique_fd& connection) {
  SetOption(connection, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(connection, IPPROTO_TCP, TCP_KEEPIDLE, kFastKeepAliveIdleSeconds);
  SetOption(connection, IPPROTO_TCP, TCP_KEEPINTVL,
            kFastKeepAliveIntervalSeconds);
  SetOption(connection, IPPROTO_TCP, TCP_KEEPCNT, kFastKeepAliveProbes);
  SetOption(connection, IPPROTO_TCP, TCP_USER_TIMEOUT, kFastUserTimeoutMs);
}

unique_fd BindUdp(const endpoint& local) {
  unique_fd socket_fd = MakeSocket(local, SOCK_DGRAM);
  SetOption(socket_fd, SOL_SOCKET, SO_RCVBUF, kUdpBufferBytes);
  SetOption(socket_fd, SOL_SOCKET, SO_SNDBUF, kUdpBufferBytes);
  BindTo(socket_fd, local);
  return socket_fd;
}

endpoint LocalEndpoint(const unique_fd& socket_fd) {
  socket_address native;
  if (getsockname(socket_fd.Get(), native.Get(), &native.size) != 0) {
    throw system_failure("getsockname", errno);
  }
  return FromSocketAddress(native);
}

class udp_batch::impl {
 public:
  impl() : memory_(kMaxDatagrams * kMaxDatagramBytes) {}

  std::span<const datagram> Receive(const unique_fd& socket_fd) {
    // Only the headers that the previous call changed need to be reset.
    for (size_t i = 0; i < stale_headers_; ++i) {
      parts_[i] = {memory_.data() + i * kMaxDatagramBytes, kMaxDatagramBytes};
      addresses_[i].size = sizeof(sockaddr_storage);
      SetHeader(i, parts_[i], addresses_[i]);
    }
    const int received = recvmmsg(socket_fd.Get(), headers_.data(),
                                  kMaxDatagrams, MSG_DONTWAIT, nullptr);
    const size_t count = received < 0 ? 0 : static_cast<size_t>(received);
    stale_headers_ = count;
    for (size_t i = 0; i < count; ++i) {
      datagrams_[i] = {
          FromSocketAddress(addresses_[i]),
          {memory_.data() + i * kMaxDatagramBytes, headers_[i].msg_len}};
    }
    return {datagrams_.data(), count};
  }

  size_t Send(const unique_fd& socket_fd, std::span<const datagram> datagrams) {
    POPLARSTAIR_ASSERT(datagrams.size() <= kMaxDatagrams);
    stale_headers_ = kMaxDatagrams;
    for (size_t i = 0; i < datagrams.size(); ++i) {
      const datagram& d = datagrams[i];
      // sendmmsg only reads the data, but iovec is not const because it also
      // serves for receiving.
      parts_[i] = {const_cast<uint8_t*>(d.bytes.data()), d.bytes.size()};
      addresses_[i] = ToSocketAddress(d.remote);
      SetHeader(i, parts_[i], addresses_[i]);
    }
    size_t sent = 0;
    for (size_t next = 0; next < datagrams.size();) {
      const int count = sendmmsg(socket_fd.Get(), headers_.data() + next,
                                 static_cast<unsigned>(datagrams.size() - next),
                                 MSG_DONTWAIT);
      if (count > 0) {
        next += static_cast<size_t>(count);
        sent += static_cast<size_t>(count);
      } else if (errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOBUFS) {
        break;
      } else {
        // The kernel refuses this one, e.g. for its address.
        ++next;
      }
    }
    return sent;
  }

 private:
  void SetHeader(size_t i, iovec& part, socket_address& address) {
    msghdr& header = headers_[i].msg_hdr;
    header = {};
    header.msg_name = address.Get();
    header.msg_namelen = address.size;
    header.msg_iov = &part;
    header.msg_iovlen = 1;
  }

  std::vector<uint8_t> memory_;
  std::array<mmsghdr, kMaxDatagrams> headers_{};
  std::array<iovec, kMaxDatagrams> parts_{};
  std::array<socket_address, kMaxDatagrams> addresses_{};
  std::array<datagram, kMaxDatagrams> datagrams_{};
  /// Number of headers that must be reset before the next receive.
  size_t stale_headers_ = kMaxDatagrams;
};

udp_batch::udp_batch() : impl_(std::make_unique<impl>()) {}
udp_batch::~udp_batch() = default;

std::span<const datagram> udp_batch::Receive(const unique_fd& socket_fd) {
  return impl_->Receive(socket_fd);
}

size_t udp_batch::Send(const unique_fd& socket_fd,
                       std::span<const datagram> datagrams) {
  return impl_->Send(socket_fd, datagrams);
}

}  // namespace poplarstair
