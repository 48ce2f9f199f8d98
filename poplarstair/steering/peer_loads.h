// Work in progress at each backend server as other instances report it.
#ifndef POPLARSTAIR_STEERING_PEER_LOADS_H_
#define POPLARSTAIR_STEERING_PEER_LOADS_H_

#include <cstdint>
#include <map>
#include <vector>

#include "poplarstair/core/time.h"
#include "poplarstair/steering/server_report.h"

namespace poplarstair {

class peer_loads {
 public:
  /// Replaces what `peer` said before.
  void Update(time_point now, uint64_t peer,
              const std::vector<server_report>& reports) {
    peers_[peer] = {now, reports};
  }

  /// What all peers heard of within `max_age` see at `server` together.
  server_report Sum(time_point now, duration max_age,
                    flow_cookie server) const {
    server_report sum{server, 0, 0};
    for (const auto& [peer, said] : peers_) {
      if (now - said.at > max_age) continue;
      for (const server_report& report : said.reports) {
        if (report.server != server) continue;
        sum.load += report.load;
        // One instance is one witness, however many flows it has: its own link
        // may be what is broken.
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
