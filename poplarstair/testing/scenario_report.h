// Prints scenario runs, the promises table and the mutants table.
#ifndef POPLARSTAIR_TESTING_SCENARIO_REPORT_H_
#define POPLARSTAIR_TESTING_SCENARIO_REPORT_H_

#include <map>
#include <string>
#include <vector>

#include "poplarstair/testing/known_red.h"
#include "poplarstair/testing/scenario_run.h"

namespace poplarstair {

/// Collects results and prints them to standard output.
class scenario_report {
 public:
  explicit scenario_report(known_red known) : known_(std::move(known)) {}

  /// Prints one scenario's line, and one for each way in which it failed.
  void Add(const scenario& ran, uint64_t seed, const scenario_result& result);
  /// The same scenario under the baseline strategy.
  void AddBaseline(const scenario_result& result);
  void AddMutant(mutant planted, promise expected,
                 const scenario_result& with_fault,
                 const scenario_result& without);

  void PrintPromises() const;
  void PrintMutants() const;
  /// The closing line; true if nothing failed that is not listed as known.
  bool PrintSummary() const;

 private:
  struct promise_row {
    uint64_t scenarios = 0;
    uint64_t violations = 0;
    uint64_t known = 0;
    uint64_t baseline = 0;
  };
  struct mutant_row {
    mutant planted = mutant::kNone;
    promise expected = promise::kFlowsSurvive;
    uint64_t with_fault = 0;
    uint64_t without = 0;
  };

  bool PrintViolations(const scenario& ran, uint64_t seed,
                       const scenario_result& result);
  bool PrintExpectations(const scenario& ran, uint64_t seed,
                         const scenario_result& result);

  const known_red known_;
  std::map<promise, promise_row> promises_;
  std::vector<mutant_row> mutants_;
  uint64_t scenarios_ = 0;
  uint64_t failed_ = 0;
  uint64_t known_count_ = 0;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_TESTING_SCENARIO_REPORT_H_
