// The three measures of the brief and the violated promises, computed from the
// emulators' reports.
#ifndef POPLARSTAIR_EMULATOR_MEASURES_H_
#define POPLARSTAIR_EMULATOR_MEASURES_H_

#include <cstdint>
#include <string>

namespace poplarstair {

/// Results of a run with emulated clients and servers.
struct measures {
  // Violations of promises; all must be 0.
  uint64_t broken_flows = 0;
  uint64_t wrong_service = 0;
  uint64_t packets_after_withdrawal = 0;
  uint64_t new_work_after_drain = 0;
  uint64_t requests_run_twice = 0;
  uint64_t mixed_answers = 0;
  /// Requests of the whole run that ended with an unknown outcome. Planned
  /// changes must cause none.
  uint64_t unanswered_requests = 0;

  // Measures.
  uint64_t flows_opened = 0;
  uint64_t flows_given_up = 0;
  uint64_t failed_opens = 0;
  /// Ratio of the busiest server's flows to the mean over the servers of its
  /// service, at the servers' snapshot; the highest of all services.
  double imbalance = 0;
  /// Fraction (0 to 1) of the requests sent while a failure domain was out that
  /// were answered.
  double service_while_out = 0;
  /// Fraction (0 to 1) of all requests that were answered.
  double service_overall = 0;

  /// Sum of the violations of all promises.
  uint64_t Violations() const;
  /// A table, followed by a line `result name=NAME ...` for scripts.
  std::string ToText(const std::string& name) const;
};

/// Computes the measures from the JSON reports of the client emulator and the
/// server emulator. Throws malformed_message if a report cannot be parsed.
measures ComputeMeasures(const std::string& client_report,
                         const std::string& server_report);

}  // namespace poplarstair

#endif  // POPLARSTAIR_EMULATOR_MEASURES_H_
