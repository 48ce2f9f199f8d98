// Random schedules of faults, and the shrinking of those that fail.
#ifndef POPLARSTAIR_TESTING_RANDOM_SCENARIO_H_
#define POPLARSTAIR_TESTING_RANDOM_SCENARIO_H_

#include <functional>
#include <string>

#include "poplarstair/testing/scenario.h"

namespace poplarstair {

/// The schedule that `seed` stands for: some faults, each with its end. It
/// promises that flows survive if everything in it is planned.
scenario RandomScenario(const std::string& site, uint64_t seed,
                        const std::string& samples);

/// Leaves out actions as long as `still_fails` says that the rest still does.
/// No single one of those that are left can go.
scenario ShrinkScenario(
    scenario failing, const std::function<bool(const scenario&)>& still_fails);

}  // namespace poplarstair

#endif  // POPLARSTAIR_TESTING_RANDOM_SCENARIO_H_
