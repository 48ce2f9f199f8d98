#include "poplarstair/daemon/packet_task.h"

#include "poplarstair/io/socket.h"
#include "poplarstair/wire/encapsulation.h"

// Its macros clash with Abseil's headers, so it comes last.
#include <criterion/criterion.h>

using namespace poplarstair;
using std::chrono::milliseconds;

namespace {

const endpoint kAnyPort = endpoint::Parse("127.0.0.1:0");

/// A packet task, a socket that sends to it and a clock that stops it all.
struct packet_task_bench {
  event_loop loop;
  task_mailboxes board;
  std::vector<log_record> logged;
  packet_task subject{loop, kAnyPort, packet_source::kFabric, board,
                      [this](const log_record& r) { logged.push_back(r); }};
  unique_fd caller = BindUdp(kAnyPort);
  udp_batch batch;
  timer_watcher stop{loop, [this] { loop.Stop(); }};

  void SendPacket() {
    const auto bytes = BuildPacket(
        {{endpoint::Parse("10.0.0.1:1000"), endpoint::Parse("10.9.0.1:443")},
         kTcpAck,
         0,
         {}});
    const datagram d{subject.Local(), bytes};
    batch.Send(caller, {&d, 1});
  }

  void RunFor(duration length) {
    stop.StartOnce(length);
    loop.Run();
  }
};

}  // namespace

Test(packet_task, reads_on_after_a_batch_that_nobody_decided) {
  packet_task_bench bench;
  // Nobody reads the mailbox: the balancer task is being restarted.
  bench.SendPacket();
  bench.RunFor(milliseconds(500));
  cr_assert_eq(bench.logged.size(), 1);
  cr_assert_eq(bench.logged[0].Event(), "packet_batch_dropped");
  size_t decided = 0;
  bench.board.balancer.Bind(bench.loop, [&](balancer_event event) {
    decided += std::get<packet_batch_ptr>(event)->packets.size();
  });
  bench.SendPacket();
  bench.RunFor(milliseconds(50));
  cr_assert_eq(decided, 1);
}

Test(packet_task, ignores_a_decision_that_comes_after_it_gave_up) {
  packet_task_bench bench;
  std::vector<packet_batch_ptr> kept;
  bench.board.balancer.Bind(bench.loop, [&](balancer_event event) {
    kept.push_back(std::get<packet_batch_ptr>(event));
  });
  bench.SendPacket();
  bench.RunFor(milliseconds(500));
  bench.SendPacket();
  bench.RunFor(milliseconds(50));
  cr_assert_eq(kept.size(), 2);
  cr_assert_neq(kept[0], kept[1]);
  bench.board.fabric_packets.Post(kept[0]);
  bench.RunFor(milliseconds(20));
  kept[1]->decisions.resize(kept[1]->packets.size());
  bench.board.fabric_packets.Post(kept[1]);
  bench.SendPacket();
  bench.RunFor(milliseconds(50));
  cr_assert_eq(kept.size(), 3);
}
