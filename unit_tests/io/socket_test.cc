#include "poplarstair/io/socket.h"

#include <criterion/criterion.h>

#include <array>
#include <vector>

using namespace poplarstair;

// The kernel refuses a datagram to port 0 or of another address family. All
// datagrams after it in the batch were lost, whoever they were for.
Test(udp_batch, a_datagram_that_cant_be_sent_costs_no_other) {
  const endpoint any = endpoint::Parse("127.0.0.1:0");
  const unique_fd sender = BindUdp(any);
  const unique_fd receiver = BindUdp(any);
  const endpoint good = LocalEndpoint(receiver);
  const std::array<uint8_t, 3> bytes = {1, 2, 3};
  const std::vector<datagram> batch = {
      {endpoint::Parse("127.0.0.1:0"), bytes}, {good, bytes},
      {endpoint::Parse("[::1]:80"), bytes},    {good, bytes},
      {endpoint::Parse("127.0.0.1:0"), bytes}, {good, bytes}};
  udp_batch out;
  cr_assert_eq(out.Send(sender, batch), 3u);
  udp_batch in;
  cr_assert_eq(in.Receive(receiver).size(), 3u);
}
