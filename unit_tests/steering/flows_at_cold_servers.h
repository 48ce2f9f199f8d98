// Counts the flows that cold servers of a fleet get, for tests.
#ifndef UNIT_TESTS_STEERING_FLOWS_AT_COLD_SERVERS_H_
#define UNIT_TESTS_STEERING_FLOWS_AT_COLD_SERVERS_H_

#include <algorithm>
#include <map>
#include <vector>

#include "poplarstair/testing/entry_fleet.h"

namespace poplarstair {

/// Callers open flows through every instance, each of which counts at its
/// server while that is cold.
class flows_at_cold_servers {
 public:
  flows_at_cold_servers(entry_fleet& fleet, size_t instances)
      : fleet_(fleet), instances_(instances) {}

  void TurnCold(uint64_t id) {
    cold_until_[id] = fleet_.queue.Now() + std::chrono::seconds(2);
    fleet_.SetServer(id, server_state::kReady, cold_until_[id]);
  }

  /// The server's process ends, and starts again under its id after `down`: its
  /// entry is in the store before it answers, or as much later as `untold`.
  void Crash(uint64_t id, duration down, duration untold = duration::zero()) {
    fleet_.servers_down.insert(id);
    fleet_.queue.After(down, [this, id, untold] {
      cold_until_[id] = fleet_.queue.Now() + std::chrono::seconds(2);
      const auto tell = [this, id, born = ++last_born_] {
        fleet_.SetServer(id, server_state::kReady, cold_until_[id], born);
      };
      if (untold == duration::zero())
        tell();
      else
        fleet_.queue.After(untold, tell);
      fleet_.servers_down.erase(id);
    });
  }

  void RunFor(duration length) {
    const time_point end = fleet_.queue.Now() + length;
    while (fleet_.queue.Now() < end) {
      for (size_t i = 0; i < instances_; ++i) {
        const steer_decision placed = fleet_.OpenAndAnswer(i, ++last_port_);
        if (placed.verdict != steer_verdict::kForward) continue;
        if (fleet_.servers_down.contains(placed.server.Value())) continue;
        const uint64_t id = placed.server.Value();
        if (fleet_.queue.Now() < cold_until_[id]) {
          opened_[id].push_back(fleet_.queue.Now());
        }
      }
      fleet_.RunFor(std::chrono::milliseconds(20));
    }
  }

  /// Most flows in any second at one server.
  size_t MostFlows() const {
    size_t most = 0;
    for (const auto& [id, opened] : opened_) {
      size_t first = 0;
      for (size_t last = 0; last < opened.size(); ++last) {
        while (opened[last] - opened[first] >= std::chrono::seconds(1)) ++first;
        most = std::max(most, last + 1 - first);
      }
    }
    return most;
  }

 private:
  entry_fleet& fleet_;
  const size_t instances_;
  uint16_t last_port_ = 0;
  int64_t last_born_ = 1;
  std::map<uint64_t, time_point> cold_until_;
  std::map<uint64_t, std::vector<time_point>> opened_;
};

}  // namespace poplarstair

#endif  // UNIT_TESTS_STEERING_FLOWS_AT_COLD_SERVERS_H_
