// Checks a history against the specification of each promise.
#ifndef POPLARSTAIR_TESTING_HISTORY_CHECKS_H_
#define POPLARSTAIR_TESTING_HISTORY_CHECKS_H_

#include <string>
#include <vector>

#include "poplarstair/testing/history.h"
#include "poplarstair/testing/promise.h"

namespace poplarstair {

struct violation {
  promise broken = promise::kFlowsSurvive;
  time_point when;
  std::string what;
};

// Bounds on "after a few seconds" and "within seconds".
inline constexpr duration kWithdrawalBound = std::chrono::seconds(3);
inline constexpr duration kDrainBound = std::chrono::seconds(3);
/// Nobody announces a crash or a cold start; instances see it by outcomes.
inline constexpr duration kColdNoticeBound = std::chrono::seconds(1);

/// Every violation, in order of promise and time.
std::vector<violation> CheckHistory(const history& events,
                                    const site_facts& facts);

}  // namespace poplarstair

#endif  // POPLARSTAIR_TESTING_HISTORY_CHECKS_H_
