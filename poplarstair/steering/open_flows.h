// Packets of flows that are open: the flow's server, or why the flow has ended.
#ifndef POPLARSTAIR_STEERING_OPEN_FLOWS_H_
#define POPLARSTAIR_STEERING_OPEN_FLOWS_H_

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>

#include "poplarstair/steering/steering_state.h"

namespace poplarstair {

/// Deterministic: it reads no clock and does no I/O.
class open_flows {
 public:
  explicit open_flows(steering_state& state) : state_(state) {}

  /// Any packet but one that opens a flow; as flow_steering::OnSegment.
  steer_decision OnPacket(time_point now, const segment& packet, uint64_t hash);
  /// As flow_steering::SetHasNeighbours.
  void SetHasNeighbours(bool has_neighbours) {
    has_neighbours_ = has_neighbours;
  }
  /// As flow_steering::ConfirmationNeeded.
  time_point ConfirmationNeeded(time_point now) const;

 private:
  steer_decision OnKnownFlow(time_point now, const segment& packet,
                             uint64_t hash, flow_record& record,
                             steer_reason reason);
  /// Another instance has placed the flow.
  steer_decision OnUnknownFlow(time_point now, const segment& packet,
                               uint64_t hash);
  /// The client has used the port for two flows, of which `record` is one.
  steer_decision OnOtherFlow(time_point now, const segment& packet,
                             uint64_t hash, const flow_record& record);
  std::optional<request_kind> KindOf(const segment& packet) const;
  /// Why an open flow has no future at its server; kOpenFlow if it has one.
  steer_reason ProblemOf(time_point now, const segment& packet,
                         const flow_record& record) const;
  steer_decision OnUnknownCookie(time_point now, const segment& packet);
  /// True if the server would be known if there were one.
  bool IsKnownMissing(time_point now, flow_cookie cookie);

  steering_state& state_;
  /// When a cookie that names no server first came.
  absl::flat_hash_map<flow_cookie, time_point> unknown_cookies_;
  bool has_neighbours_ = false;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_STEERING_OPEN_FLOWS_H_
