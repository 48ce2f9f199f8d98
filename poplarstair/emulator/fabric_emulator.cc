#include "poplarstair/emulator/fabric_emulator.h"

#include "poplarstair/emulator/live_instances.h"

namespace poplarstair {

namespace {

constexpr duration kRefreshInterval = std::chrono::milliseconds(500);

}  // namespace

fabric_emulator::fabric_emulator(event_loop& loop, const endpoint& local,
                                 const endpoint& platform, uint64_t seed)
    : platform_(platform),
      client_(loop),
      refresh_timer_(loop, [this] { FetchInstances(); }),
      random_(seed),
      socket_(BindUdp(local)),
      watcher_(loop, socket_.Get(),
               [this](io_watcher::readiness) { Forward(); }) {
  watcher_.WaitFor({true, false});
  refresh_timer_.StartRepeating(kRefreshInterval);
  FetchInstances();
}

void fabric_emulator::FetchInstances() {
  ReadLiveInstances(client_, platform_,
                    [this](const std::vector<live_instance>& live) {
                      instances_.clear();
                      for (const live_instance& instance : live) {
                        instances_.push_back(instance.packet_address);
                      }
                    });
}

void fabric_emulator::Forward() {
  outgoing_.clear();
  for (const datagram& d : received_.Receive(socket_)) {
    if (instances_.empty()) continue;
    const size_t chosen = RandomBelow(random_, instances_.size());
    outgoing_.push_back({instances_[chosen], d.bytes});
  }
  if (!outgoing_.empty()) sent_.Send(socket_, outgoing_);
}

}  // namespace poplarstair
