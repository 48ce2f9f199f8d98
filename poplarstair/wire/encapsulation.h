// Packets of flows as they travel: IP directly in UDP (GUE variant 1,
// RFC draft-ietf-intarea-gue), and a short header for packets handed on.
#ifndef POPLARSTAIR_WIRE_ENCAPSULATION_H_
#define POPLARSTAIR_WIRE_ENCAPSULATION_H_

#include <cstdint>
#include <span>
#include <variant>
#include <vector>

#include "poplarstair/core/enum_names.h"
#include "poplarstair/core/flow_key.h"

namespace poplarstair {

/// Why a packet can't be read.
enum class packet_fault : uint8_t {
  kTruncated,
  kNotIp,
  kBadHeaderLength,
  kFragment,
  kUnsupportedProtocol,
};

template <>
struct enum_names<packet_fault> {
  static constexpr std::string_view kNames[] = {"truncated", "not_ip",
                                                "bad_header_length", "fragment",
                                                "unsupported_protocol"};
};

/// Reads the inner headers. A fault instead of an exception: this runs for
/// every packet, and rubbish must not be dearer than traffic.
std::variant<packet_info, packet_fault> ParsePacket(
    std::span<const uint8_t> packet);

/// Precedes a packet that one instance hands on to another.
struct hand_on_header {
  static constexpr size_t kBytes = 4;
  static constexpr uint8_t kVersion = 1;

  uint8_t hops = 0;
};

void WriteHandOnHeader(const hand_on_header& header,
                       std::span<uint8_t, hand_on_header::kBytes> out);
/// Throws malformed_message.
hand_on_header ReadHandOnHeader(std::span<const uint8_t> bytes);

/// TCP control bits, in their place in the header.
enum tcp_flag : uint8_t {
  kTcpFin = 0x01,
  kTcpSyn = 0x02,
  kTcpRst = 0x04,
  kTcpAck = 0x10,
};

/// The parts of an inner packet that stand-ins write and read.
struct inner_packet {
  flow_key key;
  uint8_t tcp_flags = 0;
  uint32_t sequence = 0;
  std::vector<uint8_t> payload;
};

/// An inner packet from `key.client` to `key.service`; IPv4 only.
std::vector<uint8_t> BuildPacket(const inner_packet& packet);
/// Throws malformed_message.
inner_packet ReadInnerPacket(std::span<const uint8_t> packet);

}  // namespace poplarstair

#endif  // POPLARSTAIR_WIRE_ENCAPSULATION_H_
