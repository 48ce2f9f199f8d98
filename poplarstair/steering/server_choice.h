// Chooses the backend server of a new flow.
#ifndef POPLARSTAIR_STEERING_SERVER_CHOICE_H_
#define POPLARSTAIR_STEERING_SERVER_CHOICE_H_

#include <functional>
#include <span>
#include <string>

#include "poplarstair/admission/server_estimates.h"
#include "poplarstair/core/random.h"
#include "poplarstair/steering/server_set.h"

namespace poplarstair {

struct choice_settings {
  /// Number of randomly drawn servers that are compared for one flow. With
  /// more, instances that have the same load data would all choose the same
  /// server.
  uint32_t compared = 5;
};

/// Inputs of ChooseServer.
struct choice_context {
  const server_set& servers;
  const server_estimates& estimates;
  /// Failure domain of this instance.
  const std::string& domain;
  /// See flow_steering::hooks.
  const std::function<uint32_t(const known_server&)>& cold_owners;
  /// If not empty, the only warm servers to choose from, and how many requests
  /// of this instance each of them has in progress.
  std::span<const server_row> candidates = {};
  std::function<uint32_t(server_row)> in_progress = nullptr;
};

/// True if the server is cold, or may be for all that is known.
inline bool IsCold(time_point now, const server_set& servers,
                   const server_estimates& estimates, server_row row) {
  return servers.At(row).IsCold(now) || estimates.MayHaveRestarted(now, row);
}

struct server_choice {
  server_row row = kNoServer;
  /// Expected wait in microseconds.
  double expected_wait = 0;
  uint32_t eligible = 0;
  /// Upper bound on the instances that open flows to the server while it is
  /// cold; 0 for a warm server.
  uint32_t cold_owners = 0;
};

/// Chooses the server with the least expected wait among a random sample of the
/// servers of `service`. One of another failure domain is chosen only if the
/// flow would have to wait for a slot in the own one: it would break if the
/// domains are partitioned. Cold servers are
/// considered only if no warm server is available. The row is kNoServer if
/// there is none. If candidates are given, the one where the own requests end
/// first is chosen.
server_choice ChooseServer(time_point now, const choice_context& context,
                           const choice_settings& settings,
                           const std::string& service, random_source& random);

}  // namespace poplarstair

#endif  // POPLARSTAIR_STEERING_SERVER_CHOICE_H_
