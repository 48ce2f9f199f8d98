// How often an owner opens a flow to a cold backend server.
#ifndef POPLARSTAIR_STEERING_COLD_FLOW_LIMITS_H_
#define POPLARSTAIR_STEERING_COLD_FLOW_LIMITS_H_

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

#include "poplarstair/catalog/catalog.h"
#include "poplarstair/steering/server_set.h"
#include "poplarstair/steering/service_promises.h"

namespace poplarstair {

/// Limits the rate of new flows to each cold backend server, so that all owners
/// together keep the promise: any number of them that know that there may be
/// others, and one that does not.
class cold_flow_limits {
 public:
  explicit cold_flow_limits(const service_promises& promises)
      : promises_(promises) {}

  /// Sets what cold servers of the services bear.
  void SetBounds(const std::vector<service_limits>& services) {
    bounds_.clear();
    for (const service_limits& s : services) {
      if (s.cold_flows_per_second > 0) {
        bounds_[s.name] = s.cold_flows_per_second;
      }
    }
  }

  /// True if this instance, one of `owners`, may open a flow to the server now.
  /// Flows are evenly spaced, so that no second has more new flows
  /// than a cold server can handle.
  bool Take(time_point now, server_row row, const std::string& service,
            uint32_t owners) {
    time_point& next = next_[row];
    if (now < next) return false;
    const double rate = Rate(service, owners);
    if (rate <= 0) return false;
    const double interval_us = std::ceil(1e6 / rate);
    next = now + duration(static_cast<int64_t>(interval_us));
    return true;
  }

 private:
  /// Rate limit in flows per second.
  double Rate(const std::string& service, uint32_t owners) const {
    const auto it = bounds_.find(service);
    const double borne = it == bounds_.end() ? 0 : it->second;
    // Flows in any second, from all owners.
    const double promised = std::floor(promises_.cold_flow_factor * borne +
                                       promises_.cold_flow_slack);
    if (promised < 1) return 0;
    const double alone = std::ceil(promised / 2);
    const double share =
        owners == 1 ? alone
                    : std::max(std::floor((promised - 1) / owners), 1.0);
    return borne > 0 ? std::min(share, borne / owners) : share;
  }

  const service_promises promises_;
  absl::flat_hash_map<std::string, double> bounds_;
  absl::flat_hash_map<server_row, time_point> next_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_STEERING_COLD_FLOW_LIMITS_H_
