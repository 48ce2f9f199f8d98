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
        sum.witnesses += report.witnesses;
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
