// Chooses the backend server of a new flow.
#ifndef POPLARSTAIR_STEERING_SERVER_CHOICE_H_
#define POPLARSTAIR_STEERING_SERVER_CHOICE_H_

#include <functional>
#include <string>

#include "poplarstair/admission/server_estimates.h"
#include "poplarstair/core/random.h"
#include "poplarstair/steering/server_set.h"

namespace poplarstair {

struct choice_settings {
  /// A server of another failure domain has to be this many times better:
  /// its flows cost bytes between domains and end with a cut between them.
  double other_domain_factor = 6;
  /// Servers of a domain that are compared for one flow. With more, instances
  /// that share the same picture all take the same server.
  uint32_t compared = 5;
  /// New flows a second that a cold server gets when the operators state no
  /// bound and no warm server is left.
  double cold_flows_per_second = 3;
  /// Part of a stated bound that an owner uses: two instances that both take
  /// themselves for the owner for a moment stay within one and a half times it.
  double cold_share = 0.7;
};

/// What the choice is made from.
struct choice_context {
  const server_set& servers;
  const server_estimates& estimates;
  /// The instance's own failure domain.
  const std::string& domain;
  /// True if this instance alone may open flows to a cold server.
  const std::function<bool(const known_server&)>& owns_cold;
};

struct server_choice {
  server_row row = kNoServer;
  /// Microseconds.
  double expected_wait = 0;
  uint32_t eligible = 0;
  bool is_cold = false;
};

/// The server with the least expected wait among a few of `service`; `avoided`
/// only if it is the last.
server_choice ChooseServer(time_point now, const choice_context& context,
                           const choice_settings& settings,
                           const std::string& service, server_row avoided,
                           random_source& random);

}  // namespace poplarstair

#endif  // POPLARSTAIR_STEERING_SERVER_CHOICE_H_
