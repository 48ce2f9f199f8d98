// What identifies a flow, and what the core needs to know of a packet.
#ifndef POPLARSTAIR_CORE_FLOW_KEY_H_
#define POPLARSTAIR_CORE_FLOW_KEY_H_

#include <algorithm>
#include <cstdint>

#include "poplarstair/core/endpoint.h"
#include "poplarstair/core/hash.h"

namespace poplarstair {

/// Numbers of the Internet protocols that are forwarded.
inline constexpr uint8_t kProtocolTcp = 6;
inline constexpr uint8_t kProtocolUdp = 17;

/// The inner five-tuple of a flow.
struct flow_key {
  endpoint client;
  endpoint service;
  uint8_t protocol = kProtocolTcp;

  friend constexpr auto operator<=>(const flow_key&, const flow_key&) = default;
};

/// 64 bits that stand for the flow in tables and in messages.
inline uint64_t HashFlow(const flow_key& key) {
  struct {
    uint8_t addresses[32];
    uint16_t ports[2];
    uint32_t protocol;
  } packed{};
  static_assert(sizeof(packed) == 40);
  std::copy(key.client.address.Bytes().begin(),
            key.client.address.Bytes().end(), packed.addresses);
  std::copy(key.service.address.Bytes().begin(),
            key.service.address.Bytes().end(), packed.addresses + 16);
  packed.ports[0] = key.client.port;
  packed.ports[1] = key.service.port;
  packed.protocol = key.protocol;
  return XXH3_64bits(&packed, sizeof(packed));
}

/// What the flow plane is told of a packet.
struct packet_info {
  flow_key key;
  /// A TCP segment with SYN and without ACK.
  bool opens_flow = false;
  /// A TCP segment with FIN or RST.
  bool ends_flow = false;
  /// How often instances have handed this packet on already.
  uint8_t hops = 0;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_CORE_FLOW_KEY_H_
