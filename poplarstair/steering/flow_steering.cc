#include "poplarstair/steering/flow_steering.h"

#include <algorithm>

#include "poplarstair/steering/awaited_handshakes.h"
#include "poplarstair/steering/cold_flow_limits.h"
#include "poplarstair/steering/flow_tracker.h"
#include "poplarstair/steering/peer_loads.h"
#include "poplarstair/steering/route_index.h"
#include "poplarstair/steering/steering_log.h"

namespace poplarstair {

namespace {

/// Most servers that are tested in one tick.
constexpr uint32_t kChecksPerTick = 4;
/// With so many servers silent, and no answer from any for as long as clients
/// try to open a flow, it is this instance that is cut off.
constexpr uint32_t kCutOffServers = 3;

}  // namespace

class flow_steering::impl {
 public:
  impl(const steering_settings& settings, random_source random,
       metric_registry& metrics, hooks actions)
      : settings_(settings),
        random_(random),
        metrics_(metrics),
        actions_(std::move(actions)),
        flows_(settings.estimates, metrics, TrackerHooks()),
        estimates_(flows_.Estimates()),
        cold_limits_(settings.promises),
        admission_(settings.admission, metrics, actions_.log) {
    for (size_t i = 0; i < decisions_.size(); ++i) {
      const auto reason = std::string(NameOf(static_cast<steer_reason>(i)));
      decisions_[i] = &metrics_.Counter(
          "flow_decisions{reason=\"" + reason + "\"}", "Packets by reason");
    }
    samples_received_ =
        &metrics_.Counter("server_samples_received",
                          "Work times of servers that other instances "
                          "have reported");
  }

  steer_decision OnSegment(time_point now, const segment& packet,
                           std::span<const uint8_t> bytes) {
    const uint64_t hash = packet.FlowHash();
    const steer_decision decision = packet.opens_flow
                                        ? OnOpening(now, packet, hash, bytes)
                                        : OnOpenFlow(now, packet, hash);
    if (packet.opens_flow && decision.verdict == steer_verdict::kForward) {
      AwaitHandshake(now, packet, hash, bytes);
    }
    decisions_[static_cast<size_t>(decision.reason)]->Add();
    // Its answer may have ended a request that left room.
    if (!packet.opens_flow) DecideHeld(now);
    return decision;
  }

  time_point NextHandshakeCheck() const {
    return std::min(awaited_.NextDue(), admission_.NextDue());
  }

  void OnHandshakeTimer(time_point now) {
    while (auto overdue = awaited_.TakeDue(now)) {
      OnOverdue(now, std::move(*overdue));
    }
    DecideHeld(now);
  }

  void OnCatalog(time_point now, const catalog& current) {
    if (complete_since_ == kNever) complete_since_ = now;
    const server_changes changes = servers_.Update(now, current);
    for (const server_row row : changes.restarted) {
      actions_.log(log_record("server_started_anew")
                       .With("server", ServerName(servers_.At(row).id)));
      estimates_.Forget(row);
    }
    for (const rejected_entry& entry : changes.rejected) {
      actions_.log(log_record("server_entry_rejected", log_level::kWarning)
                       .With("name", entry.name)
                       .With("service", entry.service)
                       .With("reason", NameOf(entry.reason))
                       .With("routes_version", current.routes.version));
    }
    estimates_.Resize(servers_.Size());
    NumberServices();
    routes_.Update(current.routes);
    admission_.OnRoutes(current.routes);
    UpdateRoom(now);
    services_.clear();
    for (const service_limits& s : current.routes.services) {
      services_.push_back(s.name);
    }
    cold_limits_.SetBounds(current.routes.services);
    idle_timeout_ = current.routes.idle_timeout;
    longest_request_ = duration::zero();
    for (const service_route& route : current.routes.routes) {
      longest_request_ = std::max(longest_request_, route.timeout);
    }
    if (longest_request_ == duration::zero())
      longest_request_ = duration::max();
  }

  void OnConfirmed(time_point confirmed_at) {
    confirmed_at_ = std::max(confirmed_at_, confirmed_at);
    estimates_.SetConfirmed(confirmed_at_);
  }

  void OnPause(time_point now) {
    paused_at_ = now;
    hold_until_ = now + kLastOpeningCopy;
    OnLate(now);
  }

  void SetHasNeighbours(bool has_neighbours) {
    has_neighbours_ = has_neighbours;
  }

  void OnLate(time_point now) {
    // Until then come copies of packets that waited here.
    flows_.SetLateUntil(now + kLastOpeningCopy);
  }

  void OnPeerReports(time_point now, uint64_t peer,
                     const std::vector<server_report>& reports) {
    peer_loads_.Update(now, peer, reports);
    for (const server_report& report : reports) {
      const server_row row = servers_.FindCookie(report.server);
      if (row == kNoServer) continue;
      const server_report sum = peer_loads_.Sum(
          now, settings_.estimates.peer_load_age, report.server);
      estimates_.SetPeerLoad(now, row, sum.load);
      if (report.work.count > 0) {
        estimates_.AddPeerWorkTime(now, row, report.work);
        samples_received_->Add();
      }
      if (estimates_.OnPeerWitnesses(now, row, sum.witnesses)) {
        LogSilence(now, row, "peer");
      }
    }
  }

  std::vector<service_load> ServiceLoads() const { return admission_.Loads(); }

  void OnFarLoads(time_point now, const std::string& domain,
                  const std::vector<service_load>& loads) {
    admission_.OnPeerLoads(now, domain, loads);
  }

  void OnServerChecked(time_point now, server_row row, bool is_reachable) {
    if (!is_reachable) return estimates_.OnUnreachable(row);
    estimates_.OnReachable(now, row);
    actions_.log(log_record("server_reachable")
                     .With("server", ServerName(servers_.At(row).id)));
  }

  void OnTick(time_point now) {
    if (now >= next_sweep_) {
      next_sweep_ = now + std::chrono::seconds(1);
      flows_.Sweep(now, idle_timeout_, longest_request_);
    }
    TestSilentServers(now);
    if (now >= next_room_update_) UpdateRoom(now);
    DecideHeld(now);
    admission_.OnTick(now);
  }

  std::vector<service_admission::named_summary> Admission(time_point now) {
    return admission_.Summaries(now);
  }

  std::vector<server_report> Reports(time_point now) {
    return reporter_.Reports(now, servers_, estimates_);
  }

  std::vector<server_belief> ServerBeliefs(time_point now, size_t most) const {
    return SlowestServers(now, servers_, estimates_, most);
  }

  size_t OpenFlows() const { return flows_.Size(); }

  bool CanServe() const {
    return std::all_of(services_.begin(), services_.end(),
                       [this](const std::string& s) { return HasServer(s); });
  }

  bool HasSilentServers() const {
    for (server_row row = 0; row < servers_.Size(); ++row) {
      if (estimates_.IsSilent(row) && servers_.At(row).TakesNewFlows()) {
        return true;
      }
    }
    return false;
  }

  bool IsCutOff(time_point now) const {
    if (now - flows_.LastProgress() < kOpeningGivenUp) return false;
    uint32_t silent = 0;
    for (server_row row = 0; row < servers_.Size(); ++row) {
      if (estimates_.IsSilent(row) && estimates_.OwnWitnesses(now, row) > 0) {
        ++silent;
      }
    }
    return silent >= kCutOffServers;
  }

 private:
  /// Tells the estimates which servers have the same service.
  void NumberServices() {
    for (server_row row = 0; row < servers_.Size(); ++row) {
      const known_server& server = servers_.At(row);
      estimates_.SetServer(row, admission_.NumberOf(server.service),
                           server.slots);
    }
  }

  void NoteStarted(time_point now, uint64_t flow, server_row row) {
    admission_.OnStarted(now, flow, row, servers_.At(row),
                         settings_.failure_domain);
  }

  void UpdateRoom(time_point now) {
    next_room_update_ = now + service_admission::kUpdateInterval;
    admission_.UpdateRoom(now, servers_, estimates_, settings_.failure_domain,
                          actions_.fleet(now));
  }

  void AwaitHandshake(time_point now, const segment& packet, uint64_t hash,
                      std::span<const uint8_t> bytes) {
    awaited_handshake sent;
    sent.hash = hash;
    sent.packet = packet;
    sent.bytes.assign(bytes.begin(), bytes.end());
    sent.next_copy_at = now + TimeToNextCopy(packet.copy);
    Await(now, std::move(sent));
  }

  /// Places held flows for which there is room, and refuses those that can't
  /// be placed in time any more.
  void DecideHeld(time_point now) {
    while (auto held = admission_.TakeNext(now)) {
      if (flows_.Find(held->hash) != nullptr) continue;
      const service_route* route = routes_.Find(held->packet.service);
      steer_decision decision;
      if (route == nullptr) {
        decision = Refuse(now, held->packet, steer_reason::kUnknownRoute);
      } else if (held->verdict == admission_verdict::kRefuse || held->is_late) {
        decision = RefuseForRoom(now, held->packet);
      } else if (IsHolding(now)) {
        continue;
      } else {
        decision = Place(now, held->packet, held->hash, *route, held->service);
      }
      decisions_[static_cast<size_t>(decision.reason)]->Add();
      if (decision.verdict == steer_verdict::kForward) {
        actions_.send_again(held->bytes, decision);
        AwaitHandshake(now, held->packet, held->hash, held->bytes);
      } else if (decision.verdict == steer_verdict::kReset) {
        actions_.reset(held->packet);
      }
    }
  }

  /// True if a server of the service answers, or there is none to be silent.
  bool HasServer(const std::string& service) const {
    bool has_silent = false;
    for (const server_row row : servers_.OfService(service)) {
      if (!servers_.At(row).TakesNewFlows()) continue;
      if (!estimates_.IsSilent(row)) return true;
      has_silent = true;
    }
    return !has_silent;
  }

  /// True if a server of the service may turn out to be warm within the time
  /// of the client's next copy.
  bool HasUnconfirmed(const std::string& service) const {
    const auto rows = servers_.OfService(service);
    return std::any_of(rows.begin(), rows.end(), [this](server_row row) {
      const known_server& server = servers_.At(row);
      return server.TakesNewFlows() && !estimates_.IsSilent(row) &&
             (server.is_unconfirmed || estimates_.MayHaveRestarted(row));
    });
  }

  /// True if a copy of the client's packet may be served, here or at another
  /// instance, though a new flow is not now.
  bool MayBeServedLater(time_point now, const std::string& service) const {
    return HasUnconfirmed(service) ||
           (!HasServer(service) && actions_.others_may_serve(now));
  }

  /// True if every change that has to be in force by now is known.
  bool IsFresh(time_point now) const {
    const service_promises& promises = settings_.promises;
    return now - confirmed_at_ <= std::min(promises.routes_in_force,
                                           promises.leaving_servers_in_force);
  }

  /// After a pause, data from before it must not decide.
  bool IsHolding(time_point now) const {
    return now < hold_until_ && confirmed_at_ <= paused_at_;
  }

  /// Places a new flow. A flow is placed once: two servers that answer its
  /// handshake would leave each instance to guess which of them has it.
  steer_decision OnOpening(time_point now, const segment& packet, uint64_t hash,
                           std::span<const uint8_t> bytes) {
    flow_record* record = flows_.Find(hash);
    const bool is_placed = record != nullptr && !record->is_finished &&
                           record->opening == packet.sequence;
    if (is_placed && record->is_open) {
      return {steer_verdict::kDrop, steer_reason::kOpenFlow, {}, {}, 0};
    }
    if (complete_since_ == kNever || IsHolding(now)) {
      return {steer_verdict::kDrop, steer_reason::kNotReady, {}, {}, 0};
    }
    if (is_placed) {
      record->copied_at = now;
      record->is_repeated = true;
      flows_.OnRepeat(now, *record, hash);
      return PlaceAgain(now, packet, hash, *record, true);
    }
    if (admission_.IsHeld(hash)) {
      return {steer_verdict::kDrop, steer_reason::kHeld, {}, {}, 0};
    }
    if (packet.copy > 0) return OnUnknownCopy(now, packet, hash);
    // The client uses the port again: the earlier flow has ended.
    flows_.Close(now, hash);
    const service_route* route = routes_.Find(packet.service);
    const std::string* service =
        route == nullptr ? nullptr : ServiceFor(*route, hash);
    if (service == nullptr) {
      return Refuse(now, packet, steer_reason::kUnknownRoute);
    }
    const admission_verdict verdict =
        Admit(now, packet, hash, bytes, *route, service);
    if (verdict == admission_verdict::kHold) {
      return {steer_verdict::kDrop, steer_reason::kHeld, {}, {}, 0};
    }
    if (verdict == admission_verdict::kRefuse) {
      return RefuseForRoom(now, packet);
    }
    return Place(now, packet, hash, *route, *service);
  }

  /// Another instance may have placed the flow. The reset makes the client open
  /// another flow at once; if this one has opened meanwhile, its client ignores
  /// the reset, whose sequence number is not near what it expects. A new flow
  /// would fare no better while this instance has no server for it.
  steer_decision OnUnknownCopy(time_point now, const segment& packet,
                               uint64_t hash) {
    const service_route* route = routes_.Find(packet.service);
    const std::string* service =
        route == nullptr ? nullptr : ServiceFor(*route, hash);
    if (service != nullptr && MayBeServedLater(now, *service)) {
      return Refuse(now, packet, steer_reason::kNoneEligible, true);
    }
    actions_.log(RefusedLine(Facts(now), packet, steer_reason::kUnknownOpening,
                             routes_.Version(), true));
    return {steer_verdict::kReset, steer_reason::kUnknownOpening, {}, {}, 0};
  }

  /// Another service of the route replaces `service` if it has a free slot and
  /// that one has no room.
  admission_verdict Admit(time_point now, const segment& packet, uint64_t hash,
                          std::span<const uint8_t> bytes,
                          const service_route& route,
                          const std::string*& service) {
    // Requests seem to take long at an instance that is late itself.
    if (flows_.IsLate(now)) return admission_verdict::kForward;
    const duration handshake = flows_.Handshakes().Timeout();
    if (route.services.size() > 1 && !admission_.HasRoom(now, *service)) {
      const std::string* other =
          route_index::ServiceOf(route, hash, [&](const std::string& name) {
            return name != *service && IsServed(name) &&
                   admission_.HasFreeSlot(now, name);
          });
      if (other != nullptr) service = other;
    }
    return admission_.Offer(now, packet, hash, bytes, *service, route.priority,
                            handshake);
  }

  /// True if a server of the service takes flows and answers.
  bool IsServed(const std::string& service) const {
    const auto rows = servers_.OfService(service);
    return std::any_of(rows.begin(), rows.end(), [this](server_row row) {
      return servers_.At(row).TakesNewFlows() && !estimates_.IsSilent(row);
    });
  }

  /// The service that the weights choose; another one of the route while that
  /// one has no server that takes flows and answers.
  const std::string* ServiceFor(const service_route& route,
                                uint64_t hash) const {
    const std::string* chosen = route_index::ServiceOf(route, hash);
    if (chosen == nullptr || route.services.size() == 1) return chosen;
    if (IsServed(*chosen)) return chosen;
    const std::string* other = route_index::ServiceOf(
        route, hash,
        [this](const std::string& name) { return IsServed(name); });
    return other == nullptr ? chosen : other;
  }

  /// Checks a handshake when it is overdue, unless the client will have sent
  /// its packet again by then, or this instance has done so often enough.
  void Await(time_point now, awaited_handshake sent) {
    sent.sent_at = now;
    sent.due_at = now + flows_.Handshakes().Timeout();
    const bool is_useful = sent.sent_again < kOpeningCopies;
    if (is_useful && sent.due_at < sent.next_copy_at) {
      awaited_.Add(std::move(sent));
    }
  }

  /// The caller would repeat its packet only after its own timeout.
  void OnOverdue(time_point now, awaited_handshake overdue) {
    flow_record* const known = flows_.Find(overdue.hash);
    if (known == nullptr || known->is_open ||
        known->opening != overdue.packet.sequence) {
      return;
    }
    flow_record& record = *known;
    if (record.copied_at > overdue.sent_at || flows_.IsLate(now)) return;
    // The answer may wait here unread: it gets as long again as the check has
    // come late.
    const duration late = now - overdue.due_at;
    if (late > handshake_timer::kGranularity && !overdue.is_put_off) {
      overdue.is_put_off = true;
      overdue.due_at = now + late;
      return awaited_.Add(std::move(overdue));
    }
    flows_.Handshakes().OnOverdue();
    if (estimates_.OnOverdue(now, record.row, overdue.hash, record.sent_at)) {
      LogSilence(now, record.row, "handshakes");
    }
    if (IsHolding(now)) return;
    // A flow alone may have lost its packets, or met a server that is late.
    const bool is_silent = estimates_.IsSilent(record.row);
    const steer_decision decision =
        PlaceAgain(now, overdue.packet, overdue.hash, record, is_silent);
    decisions_[static_cast<size_t>(decision.reason)]->Add();
    if (decision.verdict == steer_verdict::kReset) {
      actions_.reset(overdue.packet);
    }
    if (decision.verdict != steer_verdict::kForward) return;
    actions_.send_again(overdue.bytes, decision);
    record.is_repeated = true;
    ++overdue.sent_again;
    overdue.is_put_off = false;
    Await(now, std::move(overdue));
  }

  /// Sends the packet that opened a flow to its server again, or ends the flow
  /// if another server would be better for its client: the reset makes it open
  /// a new one at once. `is_silent` tells whether the server has let this flow
  /// wait for long, or others too.
  steer_decision PlaceAgain(time_point now, const segment& packet,
                            uint64_t hash, const flow_record& record,
                            bool is_silent) {
    const service_route* route = routes_.Find(packet.service);
    if (route == nullptr) {
      return Refuse(now, packet, steer_reason::kUnknownRoute);
    }
    steer_reason problem = steer_reason::kServerSilent;
    if (!MayOpen(now, *route, record)) {
      problem = steer_reason::kServerGone;
    } else if (!is_silent || AnswersOthers(now, record) ||
               IsOutOfReach(now, record) ||
               !HasOtherServer(now, *route, record.row)) {
      return Forward(record.row, steer_reason::kPlacedAgain);
    } else if (estimates_.OnGivenUp(now, record.row)) {
      LogSilence(now, record.row, "handshakes");
    }
    actions_.log(ResetLine(Facts(now), packet, record.row, problem,
                           now - record.request_at));
    flows_.Close(now, hash);
    return {steer_verdict::kReset, problem, {}, {}, 0};
  }

  /// True if it may be the way to the flow's server that is cut, and with it
  /// those to the others of other domains: a client would lose all its tries.
  bool IsOutOfReach(time_point now, const flow_record& record) const {
    const known_server& server = servers_.At(record.row);
    return server.failure_domain != settings_.failure_domain &&
           actions_.others_may_serve(now);
  }

  /// True if the flow would still be placed where it was placed.
  bool MayOpen(time_point now, const service_route& route,
               const flow_record& record) const {
    const known_server& server = servers_.At(record.row);
    const bool is_cold = IsCold(now, servers_, estimates_, record.row);
    return server.TakesNewFlows() && (!is_cold || record.is_placed_cold) &&
           std::any_of(route.services.begin(), route.services.end(),
                       [&server](const weighted_service& s) {
                         return s.weight > 0 && s.service == server.service;
                       });
  }

  /// True if the route has another warm server that takes flows and answers.
  bool HasOtherServer(time_point now, const service_route& route,
                      server_row row) const {
    const auto is_usable = [this, now, row](server_row other) {
      const known_server& server = servers_.At(other);
      return other != row && server.TakesNewFlows() &&
             !IsCold(now, servers_, estimates_, other) &&
             estimates_.TakesFlow(now, other);
    };
    return std::any_of(route.services.begin(), route.services.end(),
                       [this, &is_usable](const weighted_service& s) {
                         const auto rows = servers_.OfService(s.service);
                         return s.weight > 0 &&
                                std::any_of(rows.begin(), rows.end(),
                                            is_usable);
                       });
  }

  /// True if the flow's server has answered others since it got the flow.
  bool AnswersOthers(time_point now, const flow_record& record) const {
    return estimates_.LastProgress(record.row) >= record.sent_at ||
           flows_.IsLate(now);
  }

  steer_decision Place(time_point now, const segment& packet, uint64_t hash,
                       const service_route& route, const std::string& service) {
    const choice_context context{
        servers_,
        estimates_,
        settings_.failure_domain,
        actions_.cold_owners,
        admission_.Candidates(now, service, servers_),
        [&](server_row row) { return admission_.InProgressAt(service, row); }};
    server_choice choice =
        ChooseServer(now, context, settings_.choice, service, random_);
    if (choice.cold_owners > 0 &&
        !cold_limits_.Take(now, choice.row, service, choice.cold_owners)) {
      choice.row = kNoServer;
    }
    if (choice.row == kNoServer) {
      return Refuse(now, packet, steer_reason::kNoneEligible,
                    MayBeServedLater(now, service));
    }
    estimates_.OnPlaced(now, choice.row);
    flow_record& record = flows_.Add(hash);
    record.row = choice.row;
    record.opening = packet.sequence;
    record.known_since = now;
    record.next_sequence = packet.sequence + 1;
    record.is_placed_cold = choice.cold_owners > 0;
    record.kind = route.kind;
    record.sent_at = now;
    record.last_seen = now;
    record.request_at = now;
    NoteStarted(now, hash, choice.row);
    const steer_reason reason = record.is_placed_cold
                                    ? steer_reason::kPlacedCold
                                    : steer_reason::kPlaced;
    actions_.log(PlacedLine(Facts(now), packet, service, choice, reason));
    return Forward(choice.row, reason);
  }

  steer_decision OnOpenFlow(time_point now, const segment& packet,
                            uint64_t hash) {
    flow_record* record = flows_.Find(hash);
    if (record == nullptr) return OnUnknownFlow(now, packet, hash);
    if (!flow_tracker::IsOfFlow(*record, packet)) {
      return OnOtherFlow(now, packet, hash, *record);
    }
    return OnKnownFlow(now, packet, hash, *record, steer_reason::kOpenFlow);
  }

  steer_decision OnKnownFlow(time_point now, const segment& packet,
                             uint64_t hash, flow_record& record,
                             steer_reason reason) {
    flows_.OnPacket(now, packet, hash, record);
    const server_row row = record.row;
    const steer_reason problem = ProblemOf(now, packet, record);
    if (problem != steer_reason::kOpenFlow) {
      actions_.log(
          ResetLine(Facts(now), packet, row, problem, now - record.request_at));
      flows_.Close(now, hash);
      return {steer_verdict::kReset, problem, {}, {}, 0};
    }
    if (packet.resets) flows_.Close(now, hash);
    return Forward(row, reason);
  }

  /// Another instance has placed the flow.
  steer_decision OnUnknownFlow(time_point now, const segment& packet,
                               uint64_t hash) {
    const server_row named = servers_.FindCookie(packet.cookie);
    if (named == kNoServer) return OnUnknownCookie(now, packet);
    // A new configuration may have dropped the service, or another writer may
    // have overwritten the entry until its server writes again.
    const known_server& server = servers_.At(named);
    if (!server.is_service_known &&
        now - server.known_since < settings_.gone_to_reset) {
      return {steer_verdict::kDrop, steer_reason::kUnknownCookie, {}, {}, 0};
    }
    flow_record& record = flows_.Add(hash);
    record.row = named;
    record.known_since = now;
    if (const auto kind = KindOf(packet)) record.kind = *kind;
    return OnKnownFlow(now, packet, hash, record, steer_reason::kCookie);
  }

  /// The client has used the port for two flows, of which `record` is one.
  steer_decision OnOtherFlow(time_point now, const segment& packet,
                             uint64_t hash, const flow_record& record) {
    const server_row named = servers_.FindCookie(packet.cookie);
    // A late packet of the flow before the one that waits for its handshake,
    // or a reset, must not end what is recorded.
    const bool is_stray = (record.opening && !record.is_open) || packet.resets;
    if (is_stray && named != kNoServer) {
      return Forward(named, steer_reason::kCookie);
    }
    if (is_stray) {
      return {steer_verdict::kDrop, steer_reason::kUnknownCookie, {}, {}, 0};
    }
    flows_.Close(now, hash);
    return OnUnknownFlow(now, packet, hash);
  }

  std::optional<request_kind> KindOf(const segment& packet) const {
    const service_route* route = routes_.Find(packet.service);
    if (route == nullptr) return std::nullopt;
    return route->kind;
  }

  /// Why an open flow has no future at its server; kOpenFlow if it has one.
  steer_reason ProblemOf(time_point now, const segment& packet,
                         const flow_record& record) const {
    if (packet.payload_bytes == 0 || packet.resets) {
      return steer_reason::kOpenFlow;
    }
    const known_server& server = servers_.At(record.row);
    const bool has_no_answer =
        estimates_.IsSilent(record.row) || estimates_.IsOnTrial(record.row);
    if (server.is_address_taken && has_no_answer) {
      return steer_reason::kServerGone;
    }
    const time_point progress = estimates_.LastProgress(record.row);
    // An entry can lapse while its server lives, so silence has to join in.
    if (server.gone_at != kNever && estimates_.IsSilent(record.row) &&
        now - server.gone_at >= settings_.gone_to_reset && IsFresh(now)) {
      return steer_reason::kServerGone;
    }
    // A request that may not be repeated is lost with its flow: it stays.
    if (!IsIdempotent(record.kind)) {
      return steer_reason::kOpenFlow;
    }
    // Callers and a connection can't tell a lost server from an own link that
    // carries nothing; another instance can.
    const bool is_certain =
        estimates_.IsUnreachable(record.row) &&
        estimates_.HasOwnRepeats(record.row) &&
        estimates_.Witnesses(record.row) >= settings_.witnesses_to_reset &&
        (!has_neighbours_ || estimates_.PeerWitnesses(record.row) > 0);
    if (is_certain && !flows_.IsLate(now) &&
        now - progress >= settings_.silence_to_reset) {
      return steer_reason::kServerSilent;
    }
    return steer_reason::kOpenFlow;
  }

  steer_decision OnUnknownCookie(time_point now, const segment& packet) {
    // A server that this instance has not heard of yet must not lose a flow.
    const bool is_settled = complete_since_ != kNever &&
                            now - complete_since_ >= settings_.gone_to_reset;
    if (!is_settled || !IsFresh(now) || packet.resets) {
      return {steer_verdict::kDrop, steer_reason::kUnknownCookie, {}, {}, 0};
    }
    actions_.log(ResetLine(Facts(now), packet, kNoServer,
                           steer_reason::kUnknownCookie, {}));
    return {steer_verdict::kReset, steer_reason::kUnknownCookie, {}, {}, 0};
  }

  /// Refuses a new flow at once if what is known is current; else, or if it may
  /// be served later, its copy may find more.
  steer_decision Refuse(time_point now, const segment& packet,
                        steer_reason reason, bool may_be_served = false) {
    // Room does not depend on how old the catalog is.
    const bool is_known = reason == steer_reason::kNoRoom || IsFresh(now);
    const bool is_final = is_known && !may_be_served;
    actions_.log(
        RefusedLine(Facts(now), packet, reason, routes_.Version(), is_final));
    return {is_final ? steer_verdict::kReset : steer_verdict::kDrop,
            reason,
            {},
            {},
            0};
  }

  steer_decision RefuseForRoom(time_point now, const segment& packet) {
    return Refuse(now, packet, steer_reason::kNoRoom);
  }

  steer_decision Forward(server_row row, steer_reason reason) const {
    const known_server& server = servers_.At(row);
    return {steer_verdict::kForward, reason, server.id, server.address,
            server.cookie};
  }

  void TestSilentServers(time_point now) {
    uint32_t checks = 0;
    for (size_t i = 0; i < servers_.Size() && checks < kChecksPerTick; ++i) {
      next_checked_ = (next_checked_ + 1) % servers_.Size();
      const known_server& server = servers_.At(next_checked_);
      if (!estimates_.NeedsTest(now, next_checked_)) continue;
      if (server.gone_at != kNever || server.is_address_taken) continue;
      ++checks;
      estimates_.OnTested(now, next_checked_);
      actions_.check_server(next_checked_, server.address);
    }
  }

  steering_facts Facts(time_point now) const {
    return {servers_, estimates_, now, now - confirmed_at_};
  }

  void LogSilence(time_point now, server_row row, std::string_view source) {
    actions_.log(SilentLine(Facts(now), row, source));
  }

  flow_tracker::hooks TrackerHooks() {
    return {
        [this](server_row row) {
          actions_.log(log_record("server_answers")
                           .With("server", ServerName(servers_.At(row).id)));
        },
        [this](time_point now, server_row row, std::string_view source) {
          LogSilence(now, row, source);
        },
        [this](time_point now, uint64_t flow, server_row row) {
          NoteStarted(now, flow, row);
        },
        [this](time_point now, uint64_t flow, std::optional<duration> took) {
          admission_.OnEnded(now, flow, took);
        }};
  }

  const steering_settings settings_;
  random_source random_;
  metric_registry& metrics_;
  const hooks actions_;
  server_set servers_;
  route_index routes_;
  std::vector<std::string> services_;
  metric* samples_received_ = nullptr;
  flow_tracker flows_;
  server_estimates& estimates_;
  peer_loads peer_loads_;
  std::array<metric*, std::size(enum_names<steer_reason>::kNames)> decisions_{};
  awaited_handshakes awaited_;
  cold_flow_limits cold_limits_;
  service_admission admission_;
  server_reporter reporter_;
  duration idle_timeout_ = std::chrono::seconds(15);
  /// Longest timeout of any route; duration::max() if none is stated.
  duration longest_request_ = duration::max();

  bool has_neighbours_ = false;
  time_point complete_since_ = kNever;
  time_point confirmed_at_{};
  time_point paused_at_{};
  time_point hold_until_{};
  time_point next_sweep_{};
  time_point next_room_update_{};
  server_row next_checked_ = 0;
};

flow_steering::flow_steering(const steering_settings& settings,
                             random_source random, metric_registry& metrics,
                             hooks actions)
    : impl_(std::make_unique<impl>(settings, random, metrics,
                                   std::move(actions))) {}
flow_steering::~flow_steering() = default;
steer_decision flow_steering::OnSegment(time_point now, const segment& packet,
                                        std::span<const uint8_t> bytes) {
  return impl_->OnSegment(now, packet, bytes);
}
void flow_steering::OnHandshakeTimer(time_point now) {
  impl_->OnHandshakeTimer(now);
}
time_point flow_steering::NextHandshakeCheck() const {
  return impl_->NextHandshakeCheck();
}
void flow_steering::OnCatalog(time_point now, const catalog& current) {
  impl_->OnCatalog(now, current);
}
void flow_steering::OnConfirmed(time_point confirmed_at) {
  impl_->OnConfirmed(confirmed_at);
}
void flow_steering::OnPause(time_point now) { impl_->OnPause(now); }
void flow_steering::SetHasNeighbours(bool has_neighbours) {
  impl_->SetHasNeighbours(has_neighbours);
}
void flow_steering::OnLate(time_point now) { impl_->OnLate(now); }
void flow_steering::OnPeerReports(time_point now, uint64_t peer,
                                  const std::vector<server_report>& reports) {
  impl_->OnPeerReports(now, peer, reports);
}
std::vector<service_load> flow_steering::ServiceLoads() const {
  return impl_->ServiceLoads();
}
void flow_steering::OnFarLoads(time_point now, const std::string& domain,
                               const std::vector<service_load>& loads) {
  impl_->OnFarLoads(now, domain, loads);
}
void flow_steering::OnServerChecked(time_point now, server_row server,
                                    bool is_reachable) {
  impl_->OnServerChecked(now, server, is_reachable);
}
void flow_steering::OnTick(time_point now) { impl_->OnTick(now); }
std::vector<server_report> flow_steering::Reports(time_point now) {
  return impl_->Reports(now);
}
std::vector<server_belief> flow_steering::ServerBeliefs(time_point now,
                                                        size_t most) const {
  return impl_->ServerBeliefs(now, most);
}
std::vector<service_admission::named_summary> flow_steering::Admission(
    time_point now) {
  return impl_->Admission(now);
}
size_t flow_steering::OpenFlows() const { return impl_->OpenFlows(); }
bool flow_steering::CanServe() const { return impl_->CanServe(); }
bool flow_steering::HasSilentServers() const {
  return impl_->HasSilentServers();
}
bool flow_steering::IsCutOff(time_point now) const {
  return impl_->IsCutOff(now);
}

}  // namespace poplarstair
