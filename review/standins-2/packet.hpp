// The packet of PROTOCOL.md, "Packets", and loopback sockets.
#ifndef REVIEW_STANDINS_2_PACKET_HPP_
#define REVIEW_STANDINS_2_PACKET_HPP_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <cstring>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "loop.hpp"

namespace review {

constexpr uint8_t kAck = 1;
constexpr uint8_t kFin = 2;
constexpr uint8_t kSyn = 4;
constexpr uint8_t kRst = 16;
constexpr uint8_t kBounced = 64;

/// An IPv4 address in host order, and a port.
struct address {
  uint32_t ip = 0;
  uint16_t port = 0;
  friend auto operator<=>(const address&, const address&) = default;
};

inline std::string IpText(uint32_t ip) {
  const in_addr native{htonl(ip)};
  char text[INET_ADDRSTRLEN];
  inet_ntop(AF_INET, &native, text, sizeof(text));
  return text;
}
inline std::string Text(const address& a) {
  return IpText(a.ip) + ":" + std::to_string(a.port);
}

inline sockaddr_in ToNative(const address& a) {
  sockaddr_in native{};
  native.sin_family = AF_INET;
  native.sin_port = htons(a.port);
  native.sin_addr.s_addr = htonl(a.ip);
  return native;
}

struct packet {
  address source;
  address destination;
  uint8_t flags = 0;
  uint32_t sum = 0;
  uint32_t echo = 0;
  uint32_t seq = 0;
  uint32_t ack = 0;
  std::string data;

  bool Has(uint8_t flag) const { return (flags & flag) != 0; }
};

/// Key of the sums; only the ends of a flow know it.
constexpr uint64_t kSumKey = 0x5ee0'91c3'77aa'1234ULL;

/// Keyed sum over all fields except echo, pad and BOUNCED.
inline uint32_t SumOf(const packet& p) {
  uint64_t h = kSumKey;
  const auto mix = [&h](uint64_t v) {
    h = (h ^ v) * 0x9e3779b97f4a7c15ULL;
    h ^= h >> 29U;
  };
  mix(p.source.ip);
  mix(p.source.port);
  mix(p.destination.ip);
  mix(p.destination.port);
  mix(p.flags & ~kBounced);
  mix(p.seq);
  mix(p.ack);
  for (const char c : p.data) mix(static_cast<uint8_t>(c));
  const auto sum = static_cast<uint32_t>(h >> 16U);
  return sum == 0 ? 1 : sum;
}

constexpr size_t kHeaderBytes = 32;

inline std::string Encode(const packet& p) {
  std::string bytes(kHeaderBytes, '\0');
  const auto put = [&bytes](size_t at, size_t size, uint64_t value) {
    for (size_t i = 0; i < size; ++i) {
      bytes[at + i] = static_cast<char>(value >> (8 * (size - 1 - i)));
    }
  };
  put(0, 2, p.source.port);
  put(2, 4, p.destination.ip);
  put(6, 2, p.destination.port);
  put(8, 4, p.source.ip);
  put(12, 1, p.flags);
  put(14, 4, p.sum);
  put(18, 4, p.echo);
  put(22, 4, p.seq);
  put(26, 4, p.ack);
  put(30, 2, p.data.size());
  return bytes + p.data;
}

inline std::optional<packet> Decode(const char* bytes, size_t size) {
  const auto get = [bytes](size_t at, size_t length) {
    uint64_t value = 0;
    for (size_t i = 0; i < length; ++i) {
      value = value << 8U | static_cast<uint8_t>(bytes[at + i]);
    }
    return value;
  };
  if (size < kHeaderBytes || get(30, 2) != size - kHeaderBytes) return {};
  packet p;
  p.source = {static_cast<uint32_t>(get(8, 4)),
              static_cast<uint16_t>(get(0, 2))};
  p.destination = {static_cast<uint32_t>(get(2, 4)),
                   static_cast<uint16_t>(get(6, 2))};
  p.flags = static_cast<uint8_t>(get(12, 1));
  p.sum = static_cast<uint32_t>(get(14, 4));
  p.echo = static_cast<uint32_t>(get(18, 4));
  p.seq = static_cast<uint32_t>(get(22, 4));
  p.ack = static_cast<uint32_t>(get(26, 4));
  p.data.assign(bytes + kHeaderBytes, size - kHeaderBytes);
  return p;
}

/// Both ends of a flow, the client's first.
using flow_key = std::pair<address, address>;

inline std::string FlowText(const flow_key& key) {
  return Text(key.first) + ">" + Text(key.second);
}

/// A bound socket that does not block; -1 if the address is taken.
inline int BindSocket(const address& local, int type) {
  const int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) CannotRun("socket");
  const int on = 1;
  if (type == SOCK_STREAM) {
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  }
  const sockaddr_in native = ToNative(local);
  const bool is_bound = bind(fd, reinterpret_cast<const sockaddr*>(&native),
                             sizeof(native)) == 0 &&
                        (type != SOCK_STREAM || listen(fd, 128) == 0);
  if (is_bound) return fd;
  close(fd);
  return -1;
}

inline void SendTo(int fd, const address& to, const std::string& bytes) {
  const sockaddr_in native = ToNative(to);
  sendto(fd, bytes.data(), bytes.size(), 0,
         reinterpret_cast<const sockaddr*>(&native), sizeof(native));
}

}  // namespace review

#endif  // REVIEW_STANDINS_2_PACKET_HPP_
