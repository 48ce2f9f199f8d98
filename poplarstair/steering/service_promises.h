// What the operators of a site promise to those who use it.
#ifndef POPLARSTAIR_STEERING_SERVICE_PROMISES_H_
#define POPLARSTAIR_STEERING_SERVICE_PROMISES_H_

#include "poplarstair/catalog/catalog.h"
#include "poplarstair/core/time.h"

namespace poplarstair {

/// From the settings file. Waits of an instance follow from them.
struct service_promises {
  /// Time in which a change that the store has confirmed is in force at every
  /// instance: of the routes, of a server that leaves, of a withdrawn domain.
  duration routes_in_force = std::chrono::seconds(3);
  duration leaving_servers_in_force = std::chrono::seconds(3);
  duration withdrawals_in_force = std::chrono::seconds(5);
  /// A cold server gets at most `cold_flow_factor` times the flows a second
  /// that it bears, as far as that is stated, and `cold_flow_slack` more.
  double cold_flow_factor = 1.5;
  double cold_flow_slack = 5;
  /// A flow that is older may be forgotten.
  duration longest_flow = std::chrono::seconds(60);

  /// The same for all changes of a collection.
  duration InForce(collection what) const {
    switch (what) {
      case collection::kRoutes:
        return routes_in_force;
      case collection::kServers:
        return leaving_servers_in_force;
      case collection::kWithdrawals:
        return withdrawals_in_force;
    }
    return routes_in_force;
  }

  friend bool operator==(const service_promises&,
                         const service_promises&) = default;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_STEERING_SERVICE_PROMISES_H_
