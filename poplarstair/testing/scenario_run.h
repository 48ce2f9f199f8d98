// Runs one scenario and judges it.
#ifndef POPLARSTAIR_TESTING_SCENARIO_RUN_H_
#define POPLARSTAIR_TESTING_SCENARIO_RUN_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "poplarstair/routing/flow_plane.h"
#include "poplarstair/testing/history_checks.h"
#include "poplarstair/testing/measure.h"
#include "poplarstair/testing/mutant.h"
#include "poplarstair/testing/scenario.h"

namespace poplarstair {

struct scenario_options {
  std::string samples = "samples";
  uint64_t seed = 1;
  flow_strategy strategy = flow_plane_settings{}.strategy;
  mutant planted = mutant::kNone;
  std::function<void(const std::string&)> trace;
};

/// An expectation that did not hold.
struct failed_expectation {
  scenario_expectation wanted;
  double value = 0;
};

struct scenario_result {
  /// Of the promises that the scenario is about, and of those that hold in
  /// every run whatever happens.
  std::vector<violation> violations;
  std::vector<failed_expectation> failed;
  /// Number of violations of each promise.
  std::map<promise, uint64_t> counts;
  size_t events = 0;

  bool Passed() const { return violations.empty() && failed.empty(); }
};

/// Deterministic in the scenario and the options.
scenario_result RunScenario(const scenario& wanted,
                            const scenario_options& options);

}  // namespace poplarstair

#endif  // POPLARSTAIR_TESTING_SCENARIO_RUN_H_
