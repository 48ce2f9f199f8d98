// What the decisions about new flows and about open ones share.
#ifndef POPLARSTAIR_STEERING_STEERING_STATE_H_
#define POPLARSTAIR_STEERING_STEERING_STATE_H_

#include <array>
#include <string_view>

#include "poplarstair/core/counters.h"
#include "poplarstair/steering/flow_steering.h"
#include "poplarstair/steering/flow_tracker.h"
#include "poplarstair/steering/route_index.h"
#include "poplarstair/steering/server_set.h"
#include "poplarstair/steering/steer_decision.h"
#include "poplarstair/steering/steering_log.h"

namespace poplarstair {

struct steering_state {
  steering_state(const steering_settings& chosen, metric_registry& metrics,
                 flow_steering::hooks hooks, flow_tracker::hooks tracker_hooks);

  steering_state(const steering_state&) = delete;
  steering_state& operator=(const steering_state&) = delete;

  const steering_settings settings;
  server_set servers;
  const flow_steering::hooks actions;
  route_index routes;
  flow_tracker flows;
  server_estimates& estimates;
  /// When the first catalog was complete.
  time_point complete_since = kNever;
  catalog_times times;
  time_point paused_at{};
  /// Until then a pause holds new flows, unless the catalog is confirmed.
  time_point hold_until{};

  /// True if every change that has to be in force by now is known.
  bool IsFresh(time_point now) const { return now <= times.covers_until; }
  /// After a pause, data from before it must not decide: not until the store or
  /// another instance was in touch, and has told of what has to be in force.
  bool IsHolding(time_point now) const {
    const bool is_current = times.in_touch_at > paused_at && IsFresh(now);
    return now < hold_until && !is_current;
  }

  steer_decision Forward(server_row row, steer_reason reason) const;
  static steer_decision Drop(steer_reason reason) {
    return {steer_verdict::kDrop, reason, {}, {}, 0};
  }
  static steer_decision Reset(steer_reason reason) {
    return {steer_verdict::kReset, reason, {}, {}, 0};
  }
  /// Forgets the flow and resets it at its client.
  steer_decision End(time_point now, const segment& packet, uint64_t hash,
                     const flow_record& record, steer_reason reason);

  void Count(steer_reason reason) {
    decisions_[static_cast<size_t>(reason)]->Add();
  }
  steering_facts Facts(time_point now) const {
    return {servers, estimates, now, now - times.servers_known_at};
  }
  void LogSilence(time_point now, server_row row, std::string_view source) {
    actions.log(SilentLine(Facts(now), row, source));
  }

 private:
  std::array<metric*, std::size(enum_names<steer_reason>::kNames)> decisions_{};
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_STEERING_STEERING_STATE_H_
