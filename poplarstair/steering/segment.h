// One packet of a caller's flow, as far as steering reads it.
#ifndef POPLARSTAIR_STEERING_SEGMENT_H_
#define POPLARSTAIR_STEERING_SEGMENT_H_

#include <cstdint>

#include "poplarstair/core/endpoint.h"
#include "poplarstair/core/hash.h"

namespace poplarstair {

/// 32 bits that both ends of a flow send back; they name the flow's backend
/// server. 0 where none has been set.
using flow_cookie = uint32_t;

struct segment {
  /// The caller's end.
  endpoint caller;
  /// The service's address that the caller opened the flow to.
  endpoint service;
  bool opens_flow = false;
  bool finishes = false;
  bool resets = false;
  flow_cookie cookie = 0;
  uint32_t sequence = 0;
  /// Next byte that the caller expects; for a packet that opens a flow, 0.
  uint32_t acknowledged = 0;
  /// For a packet that opens a flow: how many were sent before it.
  uint32_t copy = 0;
  uint16_t payload_bytes = 0;

  /// The same on every instance.
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
