#include "platform/flow_packet.h"

#include <criterion/criterion.h>

#include <vector>

using namespace poplarstair;

namespace {

// The example of the platform's protocol page: a SYN and a reset for it.
const std::vector<uint8_t> kSyn = {
    0x9c, 0x41, 0xc6, 0x12, 0x00, 0x01, 0x01, 0xbb, 0x64, 0x40, 0x00,
    0x07, 0x04, 0x00, 0xa1, 0xb2, 0xc3, 0xd5, 0x00, 0x00, 0x00, 0x00,
    0x11, 0x22, 0x33, 0x44, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00};
const std::vector<uint8_t> kReset = {
    0x01, 0xbb, 0x64, 0x40, 0x00, 0x07, 0x9c, 0x41, 0xc6, 0x12, 0x00,
    0x01, 0x10, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
    0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00};

}  // namespace

Test(flow_packet, reads_a_packet_that_opens_a_flow) {
  const auto packet = ParseFlowPacket(kSyn);
  cr_assert(packet.has_value());
  cr_assert(packet->opens_flow);
  cr_assert_eq(packet->caller, endpoint::Parse("100.64.0.7:40001"));
  cr_assert_eq(packet->service, endpoint::Parse("198.18.0.1:443"));
  cr_assert_eq(packet->sequence, 0x11223344u);
  cr_assert_eq(packet->copy, 0u);
  cr_assert_eq(packet->cookie, 0u);
}

Test(flow_packet, resets_as_the_protocol_shows) {
  const auto reset = MakeFlowReset(*ParseFlowPacket(kSyn));
  cr_assert(std::equal(reset.begin(), reset.end(), kReset.begin()));
}

Test(flow_packet, resets_an_open_flow_near_its_next_byte) {
  std::vector<uint8_t> data = kSyn;
  data[12] = 1;
  data[26] = 0xab;
  const auto reset = MakeFlowReset(*ParseFlowPacket(data));
  cr_assert_eq(reset[22], 0xab);
}

Test(flow_packet, wraps_without_touching_what_the_sender_signed) {
  std::vector<uint8_t> datagram;
  WrapForServer(kSyn, backend_server_id(0x7f3a91c2), 0x01020304, datagram);
  const std::vector<uint8_t> id = {0, 0, 0, 0, 0x7f, 0x3a, 0x91, 0xc2};
  cr_assert_eq(datagram.size(), id.size() + kSyn.size());
  cr_assert(std::equal(id.begin(), id.end(), datagram.begin()));
  std::vector<uint8_t> expected = kSyn;
  for (uint8_t i = 0; i < 4; ++i) expected[18 + i] = i + 1;
  cr_assert(std::equal(expected.begin(), expected.end(), datagram.begin() + 8));
}

Test(flow_packet, refuses_what_is_no_packet) {
  std::vector<uint8_t> bytes = kSyn;
  bytes.pop_back();
  cr_assert_not(ParseFlowPacket(bytes).has_value());
  bytes = kSyn;
  bytes[31] = 1;  // Says one byte of data, has none.
  cr_assert_not(ParseFlowPacket(bytes).has_value());
  bytes.assign(kFlowHeaderBytes + kFlowPayloadBytes + 1, 0);
  cr_assert_not(ParseFlowPacket(bytes).has_value());
  cr_assert_not(ParseFlowPacket({}).has_value());
}
