// Planted faults, which show that each check can fail.
#ifndef POPLARSTAIR_TESTING_MUTANT_H_
#define POPLARSTAIR_TESTING_MUTANT_H_

#include "poplarstair/core/enum_names.h"

namespace poplarstair {

/// Each is planted between a balancer's hooks and the fakes.
enum class mutant : uint8_t {
  kNone,
  /// Now and then a packet of an open flow goes to another server.
  kForgetFlow,
  /// Now and then a packet goes to a server of the other service.
  kWrongService,
  /// Attempts go to a cold server while there is one.
  kFloodColdServer,
  /// Now and then a packet goes to a withdrawn domain.
  kIgnoreWithdrawal,
  /// An answer is handed to the next call instead.
  kSwapAnswers,
  /// Now and then an answer is replaced by "not run".
  kFalseNotRun,
  /// Now and then an attempt is made twice.
  kDuplicateAttempt,
  /// New flows go to a draining server while there is one.
  kIgnoreDrain,
  /// A stop does not wait for the requests under way.
  kStopAtOnce,
  /// An instance goes back to the generation before.
  kRevertGeneration,
  /// An instance never hears of configuration.
  kDeafInstance,
  /// All attempts go to one server.
  kOverrunSlots,
  /// An instance uses a lease that another has been granted since.
  kStaleLease,
};

template <>
struct enum_names<mutant> {
  static constexpr std::string_view kNames[] = {"none",
                                                "forget_flow",
                                                "wrong_service",
                                                "flood_cold_server",
                                                "ignore_withdrawal",
                                                "swap_answers",
                                                "false_not_run",
                                                "duplicate_attempt",
                                                "ignore_drain",
                                                "stop_at_once",
                                                "revert_generation",
                                                "deaf_instance",
                                                "overrun_slots",
                                                "stale_lease"};
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_TESTING_MUTANT_H_
