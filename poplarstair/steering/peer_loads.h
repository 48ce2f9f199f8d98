// Work in progress at each backend server as other instances report it.
#ifndef POPLARSTAIR_STEERING_PEER_LOADS_H_
#define POPLARSTAIR_STEERING_PEER_LOADS_H_

#include <cstdint>
#include <map>
#include <vector>

#include "poplarstair/core/time.h"
#include "poplarstair/steering/server_report.h"

namespace poplarstair {

/// Latest server reports of the other instances.
class peer_loads {
 public:
  /// Replaces the earlier reports of `peer`.
  void Update(time_point now, uint64_t peer,
              const std::vector<server_report>& reports) {
    peers_[peer] = {now, reports};
  }

  /// Sum of the reports on `server` from all peers that have reported within
  /// `max_age`.
  server_report Sum(time_point now, duration max_age,
                    backend_server_id server) const {
    server_report sum{server, 0, 0, {}};
    for (const auto& [peer, said] : peers_) {
      if (now - said.at > max_age) continue;
      for (const server_report& report : said.reports) {
        if (report.server != server) continue;
        sum.load += report.load;
        // An instance counts once, however many unanswered flows it has: the
        // fault may be in its own link.
        sum.witnesses += report.witnesses > 0 ? 1 : 0;
      }
    }
    return sum;
  }

 private:
  struct statement {
    time_point at{};
    std::vector<server_report> reports;
  };

  std::map<uint64_t, statement> peers_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_STEERING_PEER_LOADS_H_
