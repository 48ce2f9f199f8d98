#include "poplarstair/steering/flow_openings.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

#include "poplarstair/steering/client_timing.h"

namespace poplarstair {

flow_openings::flow_openings(steering_state& state, random_source random,
                             metric_registry& metrics)
    : state_(state),
      services_(state.servers, state.estimates),
      random_(random),
      cold_limits_(state.settings.promises),
      admission_(state.settings.admission, metrics, state.actions.log) {}

void flow_openings::OnRoutes(time_point now, const route_table& routes) {
  std::map<std::string_view, duration> cold_times;
  for (const service_limits& s : routes.services) {
    cold_times[s.name] = s.cold_time;
  }
  for (server_row row = 0; row < state_.servers.Size(); ++row) {
    const known_server& server = state_.servers.At(row);
    state_.estimates.SetServer(row, admission_.NumberOf(server.service),
                               server.slots, cold_times[server.service]);
  }
  admission_.OnRoutes(routes);
  cold_limits_.SetBounds(routes.services);
  UpdateRoom(now);
}

void flow_openings::OnTick(time_point now) {
  if (now >= next_room_update_) UpdateRoom(now);
  DecideHeld(now);
  admission_.OnTick(now);
}

steer_decision flow_openings::OnPacket(time_point now, const segment& packet,
                                       uint64_t hash,
                                       std::span<const uint8_t> bytes) {
  const steer_decision decision = Decide(now, packet, hash, bytes);
  if (decision.verdict == steer_verdict::kForward) {
    AwaitHandshake(now, packet, hash, bytes);
  }
  return decision;
}

void flow_openings::OnTimer(time_point now) {
  while (auto overdue = awaited_.TakeDue(now)) {
    OnOverdue(now, std::move(*overdue));
  }
  DecideHeld(now);
}

void flow_openings::OnStarted(time_point now, uint64_t flow, server_row row) {
  admission_.OnStarted(now, flow, row, state_.servers.At(row),
                       state_.settings.failure_domain);
}

void flow_openings::UpdateRoom(time_point now) {
  next_room_update_ = now + service_admission::kUpdateInterval;
  admission_.UpdateRoom(now, state_.servers, state_.estimates,
                        state_.settings.failure_domain,
                        state_.actions.fleet(now));
}

steer_decision flow_openings::Decide(time_point now, const segment& packet,
                                     uint64_t hash,
                                     std::span<const uint8_t> bytes) {
  flow_record* record = state_.flows.Find(hash);
  const bool is_placed = record != nullptr && !record->is_finished &&
                         record->opening == packet.sequence;
  if (is_placed && record->is_open) {
    return steering_state::Drop(steer_reason::kOpenFlow);
  }
  if (state_.complete_since == kNever || state_.IsHolding(now)) {
    return steering_state::Drop(steer_reason::kNotReady);
  }
  if (is_placed) {
    record->copied_at = now;
    record->is_repeated = true;
    state_.flows.OnRepeat(now, *record, hash);
    return PlaceAgain(now, packet, hash, *record, true);
  }
  if (admission_.IsHeld(hash)) {
    return steering_state::Drop(steer_reason::kHeld);
  }
  if (packet.copy > 0) return OnUnknownCopy(now, packet, hash);
  // The client uses the port again: the earlier flow has ended.
  state_.flows.Close(now, hash);
  const service_route* route = state_.routes.Find(packet.service);
  const std::string* service =
      route == nullptr ? nullptr : services_.ServiceFor(*route, hash);
  if (service == nullptr) {
    return Refuse(now, packet, steer_reason::kUnknownRoute);
  }
  const admission_verdict verdict =
      Admit(now, packet, hash, bytes, *route, service);
  if (verdict == admission_verdict::kHold) {
    return steering_state::Drop(steer_reason::kHeld);
  }
  if (verdict == admission_verdict::kRefuse) {
    return Refuse(now, packet, steer_reason::kNoRoom);
  }
  return Place(now, packet, hash, *route, *service);
}

steer_decision flow_openings::OnUnknownCopy(time_point now,
                                            const segment& packet,
                                            uint64_t hash) {
  const service_route* route = state_.routes.Find(packet.service);
  const std::string* service =
      route == nullptr ? nullptr : services_.ServiceFor(*route, hash);
  if (service != nullptr && MayBeServedLater(now, *service)) {
    return Refuse(now, packet, steer_reason::kNoneEligible, true);
  }
  state_.actions.log(RefusedLine(state_.Facts(now), packet,
                                 steer_reason::kUnknownOpening,
                                 state_.routes.Version(), true));
  return steering_state::Reset(steer_reason::kUnknownOpening);
}

admission_verdict flow_openings::Admit(time_point now, const segment& packet,
                                       uint64_t hash,
                                       std::span<const uint8_t> bytes,
                                       const service_route& route,
                                       const std::string*& service) {
  // Requests seem to take long at an instance that is late itself.
  if (state_.flows.IsLate(now)) return admission_verdict::kForward;
  const duration handshake = state_.flows.Handshakes().Timeout();
  if (route.services.size() > 1 && !admission_.HasRoom(now, *service)) {
    const std::string* other =
        route_index::ServiceOf(route, hash, [&](const std::string& name) {
          return name != *service && services_.IsServed(name) &&
                 admission_.HasFreeSlot(now, name);
        });
    if (other != nullptr) service = other;
  }
  return admission_.Offer(now, packet, hash, bytes, *service, route.priority,
                          handshake);
}

void flow_openings::AwaitHandshake(time_point now, const segment& packet,
                                   uint64_t hash,
                                   std::span<const uint8_t> bytes) {
  awaited_handshake sent;
  sent.hash = hash;
  sent.packet = packet;
  sent.bytes.assign(bytes.begin(), bytes.end());
  sent.next_copy_at = now + TimeToNextCopy(packet.copy);
  Await(now, std::move(sent));
}

void flow_openings::Await(time_point now, awaited_handshake sent) {
  sent.sent_at = now;
  sent.due_at = now + state_.flows.Handshakes().Timeout();
  const bool is_useful = sent.sent_again < kOpeningCopies;
  if (is_useful && sent.due_at < sent.next_copy_at) {
    awaited_.Add(std::move(sent));
  }
}

void flow_openings::OnOverdue(time_point now, awaited_handshake overdue) {
  flow_record* const known = state_.flows.Find(overdue.hash);
  if (known == nullptr || known->is_open ||
      known->opening != overdue.packet.sequence) {
    return;
  }
  flow_record& record = *known;
  if (record.copied_at > overdue.sent_at || state_.flows.IsLate(now)) return;
  // The answer may wait here unread: it gets as long again as the check has
  // come late.
  const duration late = now - overdue.due_at;
  if (late > handshake_timer::kGranularity && !overdue.is_put_off) {
    overdue.is_put_off = true;
    overdue.due_at = now + late;
    return awaited_.Add(std::move(overdue));
  }
  state_.flows.Handshakes().OnOverdue();
  if (state_.estimates.OnOverdue(now, record.row, overdue.hash,
                                 record.sent_at)) {
    state_.LogSilence(now, record.row, "handshakes");
  }
  if (state_.IsHolding(now)) return;
  // A flow alone may have lost its packets, or met a server that is late.
  const bool is_silent = state_.estimates.IsSilent(record.row);
  const steer_decision decision =
      PlaceAgain(now, overdue.packet, overdue.hash, record, is_silent);
  state_.Count(decision.reason);
  if (decision.verdict == steer_verdict::kReset) {
    state_.actions.reset(overdue.packet);
  }
  if (decision.verdict != steer_verdict::kForward) return;
  state_.actions.send_again(overdue.bytes, decision);
  record.is_repeated = true;
  ++overdue.sent_again;
  overdue.is_put_off = false;
  Await(now, std::move(overdue));
}

steer_decision flow_openings::PlaceAgain(time_point now, const segment& packet,
                                         uint64_t hash,
                                         const flow_record& record,
                                         bool is_silent) {
  const service_route* route = state_.routes.Find(packet.service);
  if (route == nullptr) {
    return Refuse(now, packet, steer_reason::kUnknownRoute);
  }
  steer_reason problem = steer_reason::kServerSilent;
  if (!services_.MayOpen(now, *route, record.row, record.is_placed_cold)) {
    problem = steer_reason::kServerGone;
  } else if (!is_silent || AnswersOthers(now, record) ||
             IsOutOfReach(now, record) ||
             !services_.HasOtherServer(now, *route, record.row)) {
    return state_.Forward(record.row, steer_reason::kPlacedAgain);
  } else if (state_.estimates.OnGivenUp(now, record.row)) {
    state_.LogSilence(now, record.row, "handshakes");
  }
  return state_.End(now, packet, hash, record, problem);
}

bool flow_openings::IsOutOfReach(time_point now,
                                 const flow_record& record) const {
  const known_server& server = state_.servers.At(record.row);
  return server.failure_domain != state_.settings.failure_domain &&
         state_.actions.others_may_serve(now);
}

bool flow_openings::AnswersOthers(time_point now,
                                  const flow_record& record) const {
  return state_.estimates.LastProgress(record.row) >= record.sent_at ||
         state_.flows.IsLate(now);
}

steer_decision flow_openings::Place(time_point now, const segment& packet,
                                    uint64_t hash, const service_route& route,
                                    const std::string& service) {
  const choice_context context{
      state_.servers,
      state_.estimates,
      state_.settings.failure_domain,
      state_.actions.cold_owners,
      admission_.Candidates(now, service, state_.servers),
      [&](server_row row) { return admission_.InProgressAt(service, row); }};
  server_choice choice =
      ChooseServer(now, context, state_.settings.choice, service, random_);
  if (choice.cold_owners > 0 &&
      !cold_limits_.Take(now, choice.row, service, choice.cold_owners)) {
    choice.row = kNoServer;
  }
  if (choice.row == kNoServer) {
    return Refuse(now, packet, steer_reason::kNoneEligible,
                  MayBeServedLater(now, service));
  }
  state_.estimates.OnPlaced(now, choice.row);
  flow_record& record = state_.flows.Add(hash);
  record.row = choice.row;
  record.opening = packet.sequence;
  record.known_since = now;
  record.next_sequence = packet.sequence + 1;
  record.is_placed_cold = choice.cold_owners > 0;
  record.kind = route.kind;
  record.sent_at = now;
  record.last_seen = now;
  record.request_at = now;
  OnStarted(now, hash, choice.row);
  const steer_reason reason =
      record.is_placed_cold ? steer_reason::kPlacedCold : steer_reason::kPlaced;
  state_.actions.log(
      PlacedLine(state_.Facts(now), packet, service, choice, reason));
  return state_.Forward(choice.row, reason);
}

void flow_openings::DecideHeld(time_point now) {
  while (auto held = admission_.TakeNext(now)) {
    if (state_.flows.Find(held->hash) != nullptr) continue;
    const service_route* route = state_.routes.Find(held->packet.service);
    steer_decision decision;
    if (route == nullptr) {
      decision = Refuse(now, held->packet, steer_reason::kUnknownRoute);
    } else if (held->verdict == admission_verdict::kRefuse || held->is_late) {
      decision = Refuse(now, held->packet, steer_reason::kNoRoom);
    } else if (state_.IsHolding(now)) {
      continue;
    } else {
      decision = Place(now, held->packet, held->hash, *route, held->service);
    }
    state_.Count(decision.reason);
    if (decision.verdict == steer_verdict::kForward) {
      state_.actions.send_again(held->bytes, decision);
      AwaitHandshake(now, held->packet, held->hash, held->bytes);
    } else if (decision.verdict == steer_verdict::kReset) {
      state_.actions.reset(held->packet);
    }
  }
}

bool flow_openings::MayBeServedLater(time_point now,
                                     const std::string& service) const {
  return services_.HasUnconfirmed(now, service) ||
         (!services_.IsServedOrEmpty(service) &&
          state_.actions.others_may_serve(now));
}

steer_decision flow_openings::Refuse(time_point now, const segment& packet,
                                     steer_reason reason, bool may_be_served) {
  // Room does not depend on how old the catalog is.
  const bool is_known = reason == steer_reason::kNoRoom || state_.IsFresh(now);
  const bool is_final = is_known && !may_be_served;
  state_.actions.log(RefusedLine(state_.Facts(now), packet, reason,
                                 state_.routes.Version(), is_final));
  return {is_final ? steer_verdict::kReset : steer_verdict::kDrop,
          reason,
          {},
          {},
          0};
}

}  // namespace poplarstair
