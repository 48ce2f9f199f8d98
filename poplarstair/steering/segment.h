// One packet of a client's flow, as far as steering reads it.
#ifndef POPLARSTAIR_STEERING_SEGMENT_H_
#define POPLARSTAIR_STEERING_SEGMENT_H_

#include <cstdint>

#include "poplarstair/core/endpoint.h"
#include "poplarstair/core/hash.h"

namespace poplarstair {

/// 32-bit value that both ends of a flow echo in each packet; it identifies the
/// flow's backend server. 0 if it has not been set.
using flow_cookie = uint32_t;

/// Header fields of one packet from a client.
struct segment {
  /// Address and port of the client.
  endpoint caller;
  /// Service address and port that the client opened the flow to.
  endpoint service;
  bool opens_flow = false;
  bool finishes = false;
  bool resets = false;
  flow_cookie cookie = 0;
  uint32_t sequence = 0;
  /// Sequence number of the next byte that the client expects; 0 in a packet
  /// that opens a flow.
  uint32_t acknowledged = 0;
  /// For a packet that opens a flow: number of earlier transmissions of it.
  uint32_t copy = 0;
  uint16_t payload_bytes = 0;

  /// Hash of both ends of the flow; every instance computes the same value.
  uint64_t FlowHash() const {
    const uint64_t a = (uint64_t{caller.port} << 16) | service.port;
    return HashCombine(
        HashCombine(HashBytes(BytesOf(caller)), HashBytes(BytesOf(service))),
        a);
  }

 private:
  static std::string_view BytesOf(const endpoint& e) {
    const auto& bytes = e.address.Bytes();
    return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
  }
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_STEERING_SEGMENT_H_
