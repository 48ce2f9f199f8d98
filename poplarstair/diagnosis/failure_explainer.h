// Finds the cause of a failed request, using only the instances' logs.
#ifndef POPLARSTAIR_DIAGNOSIS_FAILURE_EXPLAINER_H_
#define POPLARSTAIR_DIAGNOSIS_FAILURE_EXPLAINER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "poplarstair/core/enum_names.h"
#include "poplarstair/diagnosis/log_line.h"

namespace poplarstair {

/// Why a request or flow failed.
enum class failure_cause : uint8_t {
  kUnknown,
  /// The configuration in force had no route for the request.
  kNoRoute,
  /// No server of the service accepted new flows.
  kNoServer,
  /// The flow's server did not answer.
  kServerSilent,
  /// The instance could reach no failure domain with servers, or several
  /// servers of one domain were unreachable at once.
  kDomainUnreachable,
  /// The instance that handled the flow was not running. If the logs do not
  /// show which one handled it: some instance was not running.
  kInstanceLost,
  /// The instance's process had been paused, after which new flows wait for
  /// a confirmed catalog, or the instance was cut off from the domains that
  /// have servers.
  kInstanceNotReady,
  /// The service had no room for a flow of its priority.
  kNoRoom,
  /// The store had come back from a copy and lacked what was needed.
  kStoreRestored,
};

template <>
struct enum_names<failure_cause> {
  static constexpr std::string_view kNames[] = {
      "unknown",        "no_route",      "no_server",          "server_silent",
      "domain_cut_off", "instance_lost", "instance_not_ready", "no_room",
      "store_restored"};
};

/// A failed request as its client saw it.
struct failed_request {
  /// The flow as `CLIENT:PORT>SERVICE:PORT`, or a request id.
  std::string key;
  /// When the client sent the request and when it gave up, by the client's
  /// clock. The flow may have been opened before the request was sent.
  log_time sent_at{};
  log_time ended_at{};
};

/// The cause of a failure and the log lines that show it.
struct explanation {
  failure_cause cause = failure_cause::kUnknown;
  /// One sentence for an operator.
  std::string summary;
  /// The log lines that support the conclusion, in order of time. They point
  /// into the lines given to ExplainFailure.
  std::vector<const log_line*> evidence;
};

/// Explains why `failed` failed; kUnknown if the logs do not show a cause.
/// `lines` holds the logs of all instances in order of time and must outlive
/// the result.
explanation ExplainFailure(const std::vector<log_line>& lines,
                           const failed_request& failed);

}  // namespace poplarstair

#endif  // POPLARSTAIR_DIAGNOSIS_FAILURE_EXPLAINER_H_
