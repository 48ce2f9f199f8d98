#include "poplarstair/wire/encapsulation.h"

#include <criterion/criterion.h>

using namespace poplarstair;

namespace {

std::vector<uint8_t> SampleSyn() {
  inner_packet packet;
  packet.key.client = endpoint::Parse("127.0.0.9:5000");
  packet.key.service = endpoint::Parse("10.10.0.1:443");
  packet.tcp_flags = kTcpSyn;
  packet.sequence = 17;
  packet.payload = {1, 2, 3};
  return BuildPacket(packet);
}

packet_fault FaultOf(const std::vector<uint8_t>& bytes) {
  return std::get<packet_fault>(ParsePacket(bytes));
}

}  // namespace

Test(encapsulation, reads_what_it_builds) {
  const auto bytes = SampleSyn();
  const auto info = std::get<packet_info>(ParsePacket(bytes));
  cr_assert_eq(info.key.service.ToString(), "10.10.0.1:443");
  cr_assert_eq(info.key.client.ToString(), "127.0.0.9:5000");
  cr_assert(info.opens_flow);
  cr_assert(!info.ends_flow);
  const inner_packet inner = ReadInnerPacket(bytes);
  cr_assert_eq(inner.sequence, 17u);
  cr_assert_eq(inner.payload.size(), 3u);
}

Test(encapsulation, names_each_fault) {
  cr_assert_eq(FaultOf({}), packet_fault::kTruncated);
  cr_assert_eq(FaultOf({0x10, 0x00}), packet_fault::kNotIp);
  auto bytes = SampleSyn();
  bytes[0] = 0x42;
  cr_assert_eq(FaultOf(bytes), packet_fault::kBadHeaderLength);
  bytes = SampleSyn();
  bytes[6] = 0x20;
  cr_assert_eq(FaultOf(bytes), packet_fault::kFragment);
  bytes = SampleSyn();
  bytes[9] = 1;
  cr_assert_eq(FaultOf(bytes), packet_fault::kUnsupportedProtocol);
}

Test(encapsulation, survives_every_truncation) {
  const auto whole = SampleSyn();
  for (size_t length = 0; length < whole.size(); ++length) {
    const std::vector<uint8_t> cut(whole.begin(),
                                   whole.begin() + ptrdiff_t(length));
    cr_assert(std::holds_alternative<packet_fault>(ParsePacket(cut)));
  }
}
