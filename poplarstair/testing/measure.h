// Figures that a scenario may expect something of.
#ifndef POPLARSTAIR_TESTING_MEASURE_H_
#define POPLARSTAIR_TESTING_MEASURE_H_

#include "poplarstair/testing/history.h"

namespace poplarstair {

enum class measure : uint8_t {
  kFlowsOpened,
  kBrokenFlows,
  kMisroutedPackets,
  /// Packets delivered to a domain while it is taken out.
  kPacketsToDomain,
  /// New flows and requests at a draining server.
  kNewWorkOnDraining,
  kRunsTwice,
  kCalls,
  /// Percentages of the calls that ended.
  kAnsweredPercent,
  kNotRunPercent,
  kUnknownPercent,
  /// Calls without an end, which callers asked for long ago.
  kCallsWithoutEnd,
  kColdRefusals,
  kSlotRefusals,
  /// Lowest generation in force at the end, relative to the accepted one.
  kGenerationsBehind,
  kGeneration,
  /// Most new flows at a server of a service, relative to the mean.
  kImbalance,
};

template <>
struct enum_names<measure> {
  static constexpr std::string_view kNames[] = {"flows_opened",
                                                "broken_flows",
                                                "misrouted_packets",
                                                "packets_to_domain",
                                                "new_work_on_draining",
                                                "runs_twice",
                                                "calls",
                                                "answered_percent",
                                                "not_run_percent",
                                                "unknown_percent",
                                                "calls_without_end",
                                                "cold_refusals",
                                                "slot_refusals",
                                                "generations_behind",
                                                "generation",
                                                "imbalance"};
};

/// The value of `what`, counting events from `since` on.
double Measure(measure what, const history& events, const site_facts& facts,
               time_point since);

}  // namespace poplarstair

#endif  // POPLARSTAIR_TESTING_MEASURE_H_
