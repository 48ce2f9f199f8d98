#include "poplarstair/steering/open_flows.h"

namespace poplarstair {

steer_decision open_flows::OnPacket(time_point now, const segment& packet,
                                    uint64_t hash) {
  flow_record* record = state_.flows.Find(hash);
  if (record == nullptr) return OnUnknownFlow(now, packet, hash);
  if (!flow_tracker::IsOfFlow(*record, packet)) {
    return OnOtherFlow(now, packet, hash, *record);
  }
  return OnKnownFlow(now, packet, hash, *record, steer_reason::kOpenFlow);
}

steer_decision open_flows::OnKnownFlow(time_point now, const segment& packet,
                                       uint64_t hash, flow_record& record,
                                       steer_reason reason) {
  state_.flows.OnPacket(now, packet, hash, record);
  const server_row row = record.row;
  const steer_reason problem = ProblemOf(now, packet, record);
  if (problem != steer_reason::kOpenFlow) {
    return state_.End(now, packet, hash, record, problem);
  }
  if (packet.resets) state_.flows.Close(now, hash);
  return state_.Forward(row, reason);
}

steer_decision open_flows::OnUnknownFlow(time_point now, const segment& packet,
                                         uint64_t hash) {
  const server_row named = state_.servers.FindCookie(packet.cookie);
  if (named == kNoServer) return OnUnknownCookie(now, packet);
  // A new configuration may have dropped the service, or another writer may
  // have overwritten the entry until its server writes again.
  const known_server& server = state_.servers.At(named);
  if (!server.is_service_known &&
      now - server.known_since < state_.settings.gone_to_reset) {
    return steering_state::Drop(steer_reason::kUnknownCookie);
  }
  flow_record& record = state_.flows.Add(hash);
  record.row = named;
  record.known_since = now;
  if (const auto kind = KindOf(packet)) record.kind = *kind;
  return OnKnownFlow(now, packet, hash, record, steer_reason::kCookie);
}

steer_decision open_flows::OnOtherFlow(time_point now, const segment& packet,
                                       uint64_t hash,
                                       const flow_record& record) {
  const server_row named = state_.servers.FindCookie(packet.cookie);
  // A late packet of the flow before the one that waits for its handshake,
  // or a reset, must not end what is recorded.
  const bool is_stray = (record.opening && !record.is_open) || packet.resets;
  if (is_stray && named != kNoServer) {
    return state_.Forward(named, steer_reason::kCookie);
  }
  if (is_stray) {
    return steering_state::Drop(steer_reason::kUnknownCookie);
  }
  state_.flows.Close(now, hash);
  return OnUnknownFlow(now, packet, hash);
}

std::optional<request_kind> open_flows::KindOf(const segment& packet) const {
  const service_route* route = state_.routes.Find(packet.service);
  if (route == nullptr) return std::nullopt;
  return route->kind;
}

steer_reason open_flows::ProblemOf(time_point now, const segment& packet,
                                   const flow_record& record) const {
  if (packet.payload_bytes == 0 || packet.resets) {
    return steer_reason::kOpenFlow;
  }
  const known_server& server = state_.servers.At(record.row);
  const bool has_no_answer = state_.estimates.IsSilent(record.row) ||
                             state_.estimates.IsOnTrial(record.row);
  if (server.is_address_taken && has_no_answer) {
    return steer_reason::kServerGone;
  }
  const time_point progress = state_.estimates.LastProgress(record.row);
  // An entry can lapse while its server lives, so silence has to join in.
  if (server.gone_at != kNever && state_.estimates.IsSilent(record.row) &&
      now - server.gone_at >= state_.settings.gone_to_reset &&
      state_.IsFresh(now)) {
    return steer_reason::kServerGone;
  }
  // A request that may not be repeated is lost with its flow: it stays.
  if (!IsIdempotent(record.kind)) {
    return steer_reason::kOpenFlow;
  }
  // Callers and a connection can't tell a lost server from an own link that
  // carries nothing; another instance can.
  const bool is_certain =
      state_.estimates.IsUnreachable(record.row) &&
      state_.estimates.HasOwnRepeats(record.row) &&
      state_.estimates.Witnesses(record.row) >=
          state_.settings.witnesses_to_reset &&
      (!has_neighbours_ || state_.estimates.PeerWitnesses(record.row) > 0);
  if (is_certain && !state_.flows.IsLate(now) &&
      now - progress >= state_.settings.silence_to_reset) {
    return steer_reason::kServerSilent;
  }
  return steer_reason::kOpenFlow;
}

steer_decision open_flows::OnUnknownCookie(time_point now,
                                           const segment& packet) {
  // A server that this instance has not heard of yet must not lose a flow.
  const bool is_settled =
      state_.complete_since != kNever &&
      now - state_.complete_since >= state_.settings.gone_to_reset;
  if (!is_settled || !state_.IsFresh(now) || packet.resets) {
    return steering_state::Drop(steer_reason::kUnknownCookie);
  }
  state_.actions.log(ResetLine(state_.Facts(now), packet, kNoServer,
                               steer_reason::kUnknownCookie, {}));
  return steering_state::Reset(steer_reason::kUnknownCookie);
}

}  // namespace poplarstair
