// What must hold in every run.
#ifndef POPLARSTAIR_TESTING_PROMISE_H_
#define POPLARSTAIR_TESTING_PROMISE_H_

#include "poplarstair/core/enum_names.h"

namespace poplarstair {

enum class promise : uint8_t {
  /// An established flow survives, unless its failure domain is taken out.
  kFlowsSurvive,
  kOwnService,
  /// A backend server that has just started gets no more than it bears.
  kColdServerLoad,
  kWithdrawnDomainQuiet,
  kWholeOwnAnswer,
  kNotRunIsTrue,
  kAtMostOnce,
  kLeavingServerQuiet,
  kGracefulStop,
  kConfigInForce,
  // Properties below the users' promises.
  kSlotsNotOverrun,
  kOneLeaseHolder,
};

template <>
struct enum_names<promise> {
  static constexpr std::string_view kNames[] = {
      "flows_survive",          "own_service",          "cold_server_load",
      "withdrawn_domain_quiet", "whole_own_answer",     "not_run_is_true",
      "at_most_once",           "leaving_server_quiet", "graceful_stop",
      "config_in_force",        "slots_not_overrun",    "one_lease_holder"};
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_TESTING_PROMISE_H_
