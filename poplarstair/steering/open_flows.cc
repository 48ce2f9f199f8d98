#include "poplarstair/steering/open_flows.h"

#include <algorithm>

namespace poplarstair {

namespace {

/// Cookies that name no server are remembered for as long as the client of a
/// flow repeats its packets.
constexpr duration kUnknownTime = std::chrono::seconds(10);
constexpr size_t kMostUnknown = 1024;

}  // namespace

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
  const bool is_gone_for_good =
      server.gone_at != kNever &&
      state_.times.servers_known_at >=
          server.gone_at + state_.settings.gone_to_reset;
  if (is_gone_for_good && state_.estimates.IsSilent(record.row)) {
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
  const bool is_missing = IsKnownMissing(now, packet.cookie) &&
                          !state_.servers.IsUndecided(packet.cookie);
  if (!is_settled || !is_missing || packet.resets) {
    return steering_state::Drop(steer_reason::kUnknownCookie);
  }
  state_.actions.log(ResetLine(state_.Facts(now), packet, kNoServer,
                               steer_reason::kUnknownCookie, {}));
  return steering_state::Reset(steer_reason::kUnknownCookie);
}

bool open_flows::IsKnownMissing(time_point now, flow_cookie cookie) {
  // The instance that placed the flow knew the server before this packet came.
  if (unknown_cookies_.size() >= kMostUnknown) {
    absl::erase_if(unknown_cookies_, [now](const auto& unknown) {
      return now - unknown.second >= kUnknownTime;
    });
    if (unknown_cookies_.size() >= kMostUnknown) return false;
  }
  const auto [it, is_new] = unknown_cookies_.try_emplace(cookie, now);
  if (now - it->second >= kUnknownTime) it->second = now;
  return state_.times.servers_known_at > it->second;
}

time_point open_flows::ConfirmationNeeded(time_point now) const {
  time_point needed{};
  for (const auto& [cookie, since] : unknown_cookies_) {
    if (now - since < kUnknownTime) needed = std::max(needed, since);
  }
  return needed;
}

}  // namespace poplarstair
