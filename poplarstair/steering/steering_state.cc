#include "poplarstair/steering/steering_state.h"

#include <algorithm>
#include <string>
#include <utility>

namespace poplarstair {

steering_state::steering_state(const steering_settings& chosen,
                               metric_registry& metrics,
                               flow_steering::hooks hooks,
                               flow_tracker::hooks tracker_hooks)
    : settings(chosen),
      servers(chosen.promises.longest_flow),
      actions(std::move(hooks)),
      flows(chosen.estimates, metrics, std::move(tracker_hooks)),
      estimates(flows.Estimates()) {
  for (size_t i = 0; i < decisions_.size(); ++i) {
    const auto reason = std::string(NameOf(static_cast<steer_reason>(i)));
    decisions_[i] = &metrics.Counter(
        "flow_decisions{reason=\"" + reason + "\"}", "Packets by reason");
  }
}

steer_decision steering_state::Forward(server_row row,
                                       steer_reason reason) const {
  const known_server& server = servers.At(row);
  return {steer_verdict::kForward, reason, server.id, server.address,
          server.cookie};
}

steer_decision steering_state::End(time_point now, const segment& packet,
                                   uint64_t hash, const flow_record& record,
                                   steer_reason reason) {
  actions.log(ResetLine(Facts(now), packet, record.row, reason,
                        now - record.request_at));
  flows.Close(now, hash);
  return Reset(reason);
}

}  // namespace poplarstair
