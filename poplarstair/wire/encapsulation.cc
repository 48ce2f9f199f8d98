#include "poplarstair/wire/encapsulation.h"

#include <algorithm>
#include <string>

#include "poplarstair/core/assert.h"
#include "poplarstair/core/byte_order.h"
#include "poplarstair/core/error.h"

namespace poplarstair {

namespace {

constexpr size_t kIpv4HeaderBytes = 20;
constexpr size_t kIpv6HeaderBytes = 40;
constexpr size_t kTcpHeaderBytes = 20;
constexpr size_t kUdpHeaderBytes = 8;
constexpr size_t kTcpFlagsOffset = 13;
constexpr size_t kTcpSequenceOffset = 4;
constexpr uint16_t kFragmentMask = 0x3fff;  // more-fragments bit and offset

uint16_t ReadU16(std::span<const uint8_t> bytes, size_t offset) {
  return LoadBigEndian<uint16_t>(bytes.data() + offset);
}

uint32_t ReadU32(std::span<const uint8_t> bytes, size_t offset) {
  return LoadBigEndian<uint32_t>(bytes.data() + offset);
}

void WriteU16(std::span<uint8_t> bytes, size_t offset, uint16_t value) {
  StoreBigEndian(value, bytes.data() + offset);
}

void WriteU32(std::span<uint8_t> bytes, size_t offset, uint32_t value) {
  StoreBigEndian(value, bytes.data() + offset);
}

ip_address ReadV6(std::span<const uint8_t> bytes, size_t offset) {
  std::array<uint8_t, 16> address{};
  std::copy_n(bytes.begin() + static_cast<ptrdiff_t>(offset), address.size(),
              address.begin());
  return ip_address(address);
}

/// The IP header, read.
struct network_header {
  ip_address source;
  ip_address destination;
  uint8_t protocol = 0;
  size_t bytes = 0;
};

std::variant<network_header, packet_fault> ReadIpv4(
    std::span<const uint8_t> packet) {
  if (packet.size() < kIpv4HeaderBytes) return packet_fault::kTruncated;
  const size_t header_bytes = size_t{packet[0] & 0x0fU} * 4;
  if (header_bytes < kIpv4HeaderBytes || header_bytes > packet.size()) {
    return packet_fault::kBadHeaderLength;
  }
  const size_t total_bytes = ReadU16(packet, 2);
  if (total_bytes < header_bytes || total_bytes > packet.size()) {
    return packet_fault::kTruncated;
  }
  if ((ReadU16(packet, 6) & kFragmentMask) != 0) return packet_fault::kFragment;
  return network_header{ip_address::FromV4(ReadU32(packet, 12)),
                        ip_address::FromV4(ReadU32(packet, 16)), packet[9],
                        header_bytes};
}

std::variant<network_header, packet_fault> ReadIpv6(
    std::span<const uint8_t> packet) {
  if (packet.size() < kIpv6HeaderBytes) return packet_fault::kTruncated;
  return network_header{ReadV6(packet, 8), ReadV6(packet, 24), packet[6],
                        kIpv6HeaderBytes};
}

std::variant<network_header, packet_fault> ReadIp(
    std::span<const uint8_t> packet) {
  if (packet.empty()) return packet_fault::kTruncated;
  const int version = packet[0] >> 4;
  if (version == 4) return ReadIpv4(packet);
  if (version == 6) return ReadIpv6(packet);
  return packet_fault::kNotIp;
}

}  // namespace

std::variant<packet_info, packet_fault> ParsePacket(
    std::span<const uint8_t> packet) {
  const auto ip = ReadIp(packet);
  if (const auto* fault = std::get_if<packet_fault>(&ip)) return *fault;
  const auto& header = std::get<network_header>(ip);
  const auto segment = packet.subspan(header.bytes);
  const bool is_tcp = header.protocol == kProtocolTcp;
  if (!is_tcp && header.protocol != kProtocolUdp) {
    return packet_fault::kUnsupportedProtocol;
  }
  if (segment.size() < (is_tcp ? kTcpHeaderBytes : kUdpHeaderBytes)) {
    return packet_fault::kTruncated;
  }

  packet_info info;
  info.key.client = {header.source, ReadU16(segment, 0)};
  info.key.service = {header.destination, ReadU16(segment, 2)};
  info.key.protocol = header.protocol;
  if (is_tcp) {
    const uint8_t flags = segment[kTcpFlagsOffset];
    info.opens_flow = (flags & (kTcpSyn | kTcpAck)) == kTcpSyn;
    info.ends_flow = (flags & (kTcpFin | kTcpRst)) != 0;
  }
  return info;
}

void WriteHandOnHeader(const hand_on_header& header,
                       std::span<uint8_t, hand_on_header::kBytes> out) {
  out[0] = hand_on_header::kVersion;
  out[1] = header.hops;
  out[2] = 0;
  out[3] = 0;
}

hand_on_header ReadHandOnHeader(std::span<const uint8_t> bytes) {
  if (bytes.size() < hand_on_header::kBytes) {
    throw malformed_message("hand-on header", "too short");
  }
  if (bytes[0] != hand_on_header::kVersion) {
    throw malformed_message("hand-on header",
                            "unknown version " + std::to_string(bytes[0]));
  }
  return {bytes[1]};
}

std::vector<uint8_t> BuildPacket(const inner_packet& packet) {
  POPLARSTAIR_ASSERT(packet.key.client.address.IsV4());
  const bool is_tcp = packet.key.protocol == kProtocolTcp;
  const size_t transport_bytes = is_tcp ? kTcpHeaderBytes : kUdpHeaderBytes;
  const size_t total =
      kIpv4HeaderBytes + transport_bytes + packet.payload.size();
  std::vector<uint8_t> bytes(total, 0);
  const std::span<uint8_t> ip(bytes);
  constexpr uint8_t kVersion4WithFiveWords = 0x45;
  constexpr uint8_t kTimeToLive = 64;
  ip[0] = kVersion4WithFiveWords;
  WriteU16(ip, 2, static_cast<uint16_t>(total));
  ip[8] = kTimeToLive;
  ip[9] = packet.key.protocol;
  WriteU32(ip, 12, packet.key.client.address.V4());
  WriteU32(ip, 16, packet.key.service.address.V4());

  const auto segment = ip.subspan(kIpv4HeaderBytes);
  WriteU16(segment, 0, packet.key.client.port);
  WriteU16(segment, 2, packet.key.service.port);
  if (is_tcp) {
    constexpr uint8_t kFiveWords = 0x50;
    WriteU32(segment, kTcpSequenceOffset, packet.sequence);
    segment[12] = kFiveWords;
    segment[kTcpFlagsOffset] = packet.tcp_flags;
  } else {
    WriteU16(segment, 4,
             static_cast<uint16_t>(kUdpHeaderBytes + packet.payload.size()));
  }
  std::copy(packet.payload.begin(), packet.payload.end(),
            segment.begin() + static_cast<ptrdiff_t>(transport_bytes));
  return bytes;
}

inner_packet ReadInnerPacket(std::span<const uint8_t> packet) {
  const auto parsed = ParsePacket(packet);
  if (const auto* fault = std::get_if<packet_fault>(&parsed)) {
    throw malformed_message("inner packet", std::string(NameOf(*fault)));
  }
  const auto header = std::get<network_header>(ReadIp(packet));
  const auto segment = packet.subspan(header.bytes);
  inner_packet inner;
  inner.key = std::get<packet_info>(parsed).key;
  const bool is_tcp = inner.key.protocol == kProtocolTcp;
  if (is_tcp) {
    inner.tcp_flags = segment[kTcpFlagsOffset];
    inner.sequence = ReadU32(segment, kTcpSequenceOffset);
  }
  const auto payload =
      segment.subspan(is_tcp ? kTcpHeaderBytes : kUdpHeaderBytes);
  inner.payload.assign(payload.begin(), payload.end());
  return inner;
}

}  // namespace poplarstair
