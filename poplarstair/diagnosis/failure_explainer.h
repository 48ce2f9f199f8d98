// From a failed request to its cause, by the instances' logs alone.
#ifndef POPLARSTAIR_DIAGNOSIS_FAILURE_EXPLAINER_H_
#define POPLARSTAIR_DIAGNOSIS_FAILURE_EXPLAINER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "poplarstair/core/enum_names.h"
#include "poplarstair/diagnosis/log_line.h"

namespace poplarstair {

enum class failure_cause : uint8_t {
  kUnknown,
  /// No route of the configuration in force led anywhere.
  kNoRoute,
  /// No server of the service took new flows.
  kNoServer,
  /// The flow's server answered nobody.
  kServerSilent,
  /// Servers of a whole failure domain were out of reach.
  kDomainUnreachable,
  /// The instance that carried the flow, or every one, was not running.
  kInstanceLost,
  /// The instance stood still, or had no confirmed catalog.
  kInstanceNotReady,
};

template <>
struct enum_names<failure_cause> {
  static constexpr std::string_view kNames[] = {
      "unknown",        "no_route",      "no_server",         "server_silent",
      "domain_cut_off", "instance_lost", "instance_not_ready"};
};

/// What the caller knows of the failure.
struct failed_request {
  /// `CALLER:PORT>SERVICE:PORT`, or the id of a request.
  std::string key;
  /// When it was asked and when its caller gave up, by the caller's clock. A
  /// flow may be older than its request.
  log_time sent_at{};
  log_time ended_at{};
};

struct explanation {
  failure_cause cause = failure_cause::kUnknown;
  /// One sentence for an operator.
  std::string summary;
  /// The lines that it rests on, by time.
  std::vector<const log_line*> evidence;
};

/// `lines` of all instances, by time; they have to outlive the result.
explanation ExplainFailure(const std::vector<log_line>& lines,
                           const failed_request& failed);

}  // namespace poplarstair

#endif  // POPLARSTAIR_DIAGNOSIS_FAILURE_EXPLAINER_H_
