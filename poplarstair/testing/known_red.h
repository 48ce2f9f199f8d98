// Failures that are known and listed, so that only they are passed over.
#ifndef POPLARSTAIR_TESTING_KNOWN_RED_H_
#define POPLARSTAIR_TESTING_KNOWN_RED_H_

#include <string>
#include <vector>

#include "poplarstair/testing/scenario_run.h"

namespace poplarstair {

/// The lines `scenario=NAME promise=NAME seed=N ...` and
/// `scenario=NAME expect=MEASURE seed=N ...` of KNOWN-RED.txt; other lines
/// belong to other tests.
class known_red {
 public:
  known_red() = default;
  explicit known_red(const std::string& text);

  bool CoversPromise(const std::string& scenario_name, promise broken,
                     uint64_t seed) const;
  bool CoversMeasure(const std::string& scenario_name,
                     const std::string& measure_name, uint64_t seed) const;
  /// The promises and measures listed for this run that did not fail in it.
  std::vector<std::string> NoLongerSeen(const std::string& scenario_name,
                                        uint64_t seed,
                                        const scenario_result& result) const;

 private:
  struct entry {
    std::string scenario_name;
    std::string promise_name;
    std::string measure_name;
    uint64_t seed = 0;
  };

  std::vector<entry> entries_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_TESTING_KNOWN_RED_H_
