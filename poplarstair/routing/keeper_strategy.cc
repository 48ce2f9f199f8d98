#include "poplarstair/routing/keeper_strategy.h"

#include <nlohmann/json.hpp>

namespace poplarstair {

namespace {

/// Period after a change of the keepers in which the second keeper may have
/// records that the first one has not received yet.
constexpr duration kConfirmPeriod = std::chrono::seconds(30);
/// How long a leaving instance is still asked.
constexpr duration kLeavingAnswers = std::chrono::seconds(2);
/// A SYN that comes again so soon is a retransmission.
constexpr uint32_t kSynRepeatSeconds = 10;
constexpr double kOptionalMovesBurstSeconds = 1;

}  // namespace

keeper_strategy::keeper_strategy(const strategy_context& context)
    : settings_(context.settings),
      self_(context.self),
      actions_(context.actions),
      records_gauge_(context.metrics->Gauge("flow_records",
                                            "Flows recorded by this keeper.")),
      unsettled_gauge_(context.metrics->Gauge("unsettled_buckets",
                                              "Buckets whose keepers decide.")),
      handed_on_(context.metrics->Counter(
          "packets_handed_on", "Packets forwarded to other instances.")),
      full_(context.metrics->Counter(
          "flow_table_full", "Flows not entered because the table is full.")),
      peers_(context.self),
      exchange_(settings_.record_bytes_per_second,
                {[this](instance_id to, const records_message& message) {
                   Send(to, flow_message_kind::kRecords, message);
                 },
                 [this](service_id service, flow_fingerprint flow) {
                   return ServerOf(service, flow);
                 },
                 [this](const record_item& item) {
                   flow_entry* entry =
                       flows_ ? flows_->Find(item.flow) : nullptr;
                   if (entry == nullptr) return;
                   const keeper_pair& keepers = ring_.Of(SlotOf(*entry));
                   if (keepers.Has(item.peer)) entry->copied = 1;
                 }}) {}

packet_decision keeper_strategy::OnPacket(time_point now,
                                          const flow_packet& packet) {
  const bucket_map& map = maps_[packet.service];
  const uint32_t bucket = map.BucketOf(packet.flow_hash);
  const bucket_state& state = map.At(bucket);
  if (state.settled && has_buckets_) {
    if (state.base == kNoServer)
      return DropPacket(packet_reason::kNoBackendServer);
    return directory_->Deliver(packet.service, state.base,
                               packet_reason::kPlacement);
  }
  const keeper_pair& keepers = ring_.Of(map.SlotOf(bucket));
  const bool may_hand_on = packet.info.hops < settings_.max_hops;
  if (keepers.first == self_) return Decide(now, packet, bucket);
  if (!has_buckets_) {
    if (!may_hand_on || !keepers.first.IsSet()) {
      return DropPacket(packet_reason::kJoining);
    }
    return HandOn(packet, keepers.first, packet_reason::kJoining);
  }
  if (ShouldDecideLocally(packet, keepers)) return Decide(now, packet, bucket);
  if (!may_hand_on || !keepers.first.IsSet()) {
    return Decide(now, packet, bucket);
  }
  // After two hops the first keeper has been asked already.
  const bool was_asked =
      packet.info.hops > 1 && keepers.second.IsSet() && keepers.second != self_;
  return HandOn(packet, was_asked ? keepers.second : keepers.first,
                packet_reason::kUnsettledBucket);
}

bool keeper_strategy::ShouldDecideLocally(const flow_packet& packet,
                                          const keeper_pair& keepers) {
  // The instance that forwarded a packet did not know its flow. A leaving
  // instance may still have records that the other instances lack.
  if (packet.info.hops == 0 && !self_leaving_) return false;
  // The first keeper leaves new flows to the second while it is behind.
  if (packet.info.opens_flow) return keepers.second == self_;
  // After two hops the second keeper decides.
  if (packet.info.hops > 1 && keepers.second == self_) return true;
  return Find(packet) != nullptr;
}

bool keeper_strategy::IsBehind() const {
  return Known() > directory_->Config().number;
}

instance_id keeper_strategy::SelectInstanceToAsk(time_point now,
                                                 uint32_t slot) const {
  const keeper_pair& keepers = ring_.Of(slot);
  if (IsBehind()) return keepers.second;
  const instance_id previous = previous_ring_.Of(slot).first;
  const peer_progress* peer = peers_.Find(previous);
  if (peer == nullptr || previous == keepers.first) return keepers.second;
  const duration since = now - ring_changed_at_;
  // A restarted instance has no records until it is ready again.
  const bool can_answer =
      peer->IsReady() ||
      (peer->state == member_state::kLeaving && since < kLeavingAnswers);
  return can_answer ? previous : keepers.second;
}

packet_decision keeper_strategy::Decide(time_point now,
                                        const flow_packet& packet,
                                        uint32_t bucket) {
  const keeper_pair& keepers = ring_.Of(maps_[packet.service].SlotOf(bucket));
  const bool may_hand_on = packet.info.hops < settings_.max_hops &&
                           keepers.second.IsSet() && keepers.second != self_;
  if (packet.info.opens_flow) {
    return may_hand_on && IsBehind()
               ? HandOn(packet, keepers.second, packet_reason::kUnsettledBucket)
               : Place(now, packet, bucket);
  }
  if (flow_entry* known = Find(packet)) {
    known->last_seen_s = SecondsOf(now);
    if (packet.info.ends_flow) known->ending = 1;
    return directory_->Deliver(packet.service, known->server,
                               packet_reason::kKnownFlow);
  }
  const bucket_state& state = maps_[packet.service].At(bucket);
  const bool may_lack_records =
      IsBehind() || now - may_lack_since_ < kConfirmPeriod;
  if (may_hand_on && may_lack_records) {
    const uint32_t slot = maps_[packet.service].SlotOf(bucket);
    const instance_id asked = keepers.first == self_
                                  ? SelectInstanceToAsk(now, slot)
                                  : keepers.second;
    return HandOn(packet, asked, packet_reason::kUnsettledBucket);
  }
  if (state.base == kNoServer)
    return DropPacket(packet_reason::kNoBackendServer);
  if (!packet.info.ends_flow && keepers.first == self_) {
    Enter(now, packet, state.base);
  }
  return directory_->Deliver(packet.service, state.base,
                             packet_reason::kPlacement);
}

packet_decision keeper_strategy::Place(time_point now,
                                       const flow_packet& packet,
                                       uint32_t bucket) {
  const bucket_state& state = maps_[packet.service].At(bucket);
  if (flow_entry* known = Find(packet)) {
    const bool repeated =
        known->ending == 0 &&
        SecondsOf(now) <= known->last_seen_s + kSynRepeatSeconds;
    if (repeated) {
      return directory_->Deliver(packet.service, known->server,
                                 packet_reason::kKnownFlow);
    }
    Erase(known->flow);
  }
  if (state.base == kNoServer)
    return DropPacket(packet_reason::kNoBackendServer);
  if (state.base_lost && !IsAgreed(now, state)) {
    return DropPacket(packet_reason::kAwaitingInstances);
  }
  const server_index server = ServerForNew(now, packet.service, state);
  const auto id = directory_->Server(packet.service, server).id;
  if (moves_.IsPending(id)) {
    return DropPacket(packet_reason::kAwaitingInstances);
  }
  Enter(now, packet, server);
  LogPlaced(packet, server);
  return directory_->Deliver(packet.service, server, packet_reason::kNewFlow);
}

packet_decision keeper_strategy::HandOn(const flow_packet& packet,
                                        instance_id to, packet_reason reason) {
  const peer_progress* peer = peers_.Find(to);
  if (peer == nullptr) return DropPacket(packet_reason::kJoining);
  handed_on_.Add();
  return {packet_verdict::kHandOn,
          reason,
          peer->address.hand_on_address,
          {},
          directory_->Service(packet.service).id};
}

bool keeper_strategy::IsAgreed(time_point now,
                               const bucket_state& state) const {
  return common_ >= state.changed_in ||
         now - state.changed_at >= settings_.agree_timeout;
}

server_index keeper_strategy::ServerForNew(time_point now,
                                           service_index service,
                                           const bucket_state& state) {
  if (state.target != state.base && MayMove(now, service, state)) {
    return state.target;
  }
  const server_index previous = state.previous_target;
  const bool may_stay =
      !directory_->TakesNew(service, state.base) && previous != kNoServer &&
      directory_->TakesNew(service, previous) && IsAgreed(now, state);
  return may_stay ? previous : state.base;
}

bool keeper_strategy::MayMove(time_point now, service_index service,
                              const bucket_state& state) {
  if (state.target == kNoServer || now < state.active_at) return false;
  if (!IsAgreed(now, state)) return false;
  if (moves_.IsPending(directory_->Server(service, state.target).id)) {
    return false;
  }
  if (!directory_->TakesNew(service, state.base)) return true;
  return TakeOptionalMove(now);
}

bool keeper_strategy::TakeOptionalMove(time_point now) {
  const double rate = settings_.optional_moves_per_second;
  optional_moves_ += ToSeconds(now - optional_moves_at_) * rate;
  optional_moves_at_ = now;
  optional_moves_ =
      std::min(optional_moves_, rate * kOptionalMovesBurstSeconds);
  if (optional_moves_ < 1) return false;
  optional_moves_ -= 1;
  return true;
}

void keeper_strategy::LogPlaced(const flow_packet& packet,
                                server_index server) const {
  if (!actions_.log) return;
  actions_.log(
      log_record("place_flow", log_level::kDebug)
          .With("service", directory_->Service(packet.service).name)
          .With("server", directory_->Server(packet.service, server).name)
          .With("flow", packet.flow_hash)
          .With("generation", directory_->Config().number));
}

void keeper_strategy::OnMessage(time_point now, const peer_message& message) {
  message_at_ = now;
  const auto envelope = DecodeMessage<flow_envelope>(message.body);
  const instance_id from = message.from;
  switch (static_cast<flow_message_kind>(envelope.kind)) {
    case flow_message_kind::kStatus:
      return OnStatus(now, from, DecodeMessage<status_message>(envelope.body));
    case flow_message_kind::kBuckets:
      return OnBuckets(DecodeMessage<buckets_message>(envelope.body));
    case flow_message_kind::kRecords:
      return OnRecords(now, from,
                       DecodeMessage<records_message>(envelope.body));
    case flow_message_kind::kAcknowledge:
      return exchange_.OnAcknowledge(
          from, DecodeMessage<acknowledge_message>(envelope.body).number);
    case flow_message_kind::kSynced:
      return OnSynced(now, from);
  }
  throw malformed_message("flow message", "unknown kind");
}

void keeper_strategy::OnConfig(time_point now, const directory_ptr& directory) {
  const directory_ptr before = std::exchange(directory_, directory);
  // While this instance lacked the configuration, the second keepers placed
  // flows in its place.
  if (before && known_from_peers_ > before->Config().number) {
    may_lack_since_ = now;
  }
  std::vector<bucket_map> old_maps = std::move(maps_);
  maps_.clear();
  latest_unsettled_generations_.assign(directory_->ServiceCount(), 0);
  for (service_index s = 0; s < directory_->ServiceCount(); ++s) {
    maps_.emplace_back(*directory_, s);
    if (!before) continue;
    const service_index old = before->FindById(directory_->Service(s).id);
    if (old != kNoService) maps_[s].Inherit(old_maps[old], *before, old, now);
  }
  if (before) moves_.OnConfig(*before, *directory_);
  InheritFlows(before ? *before : *directory_);
  config_at_ = now;
  BroadcastStatus(false, false);
  UpdateRing(now);
}

void keeper_strategy::OnTick(time_point now) {
  if (!directory_) return;
  if (stage_ == keeper_stage::kJoining) Join(now);
  exchange_.OnTick(now);
  Sweep(now);
  constexpr duration kSlowTick = std::chrono::milliseconds(250);
  if (now < next_slow_tick_) return;
  next_slow_tick_ = now + kSlowTick;
  InformLateInstances(now);
  ContinueSyncs();
  moves_.Release(std::min(peers_.CommonGenerationOfAll(), Known()));
  SettleBuckets(now);
}

void keeper_strategy::AddState(nlohmann::json& state) const {
  state["stage"] = stage_ == keeper_stage::kReady ? "ready" : "joining";
  state["flows"] = flows_ ? flows_->Size() : 0;
  state["flow_table_bytes"] = flows_ ? flows_->MemoryBytes() : 0;
  state["queued_records"] = exchange_.QueuedItems();
  state["generation_known_by_all"] = common_;
  state["unsettled_buckets"] = nlohmann::json::object();
  if (!directory_) return;
  for (service_index s = 0; s < directory_->ServiceCount(); ++s) {
    size_t unsettled = 0;
    for (const uint32_t b : maps_[s].Unsettled()) {
      unsettled += maps_[s].At(b).settled ? 0 : 1;
    }
    state["unsettled_buckets"][directory_->Service(s).name] = unsettled;
  }
  state["pending_servers"] = nlohmann::json::array();
  for (const auto& [id, since] : moves_.Pending()) {
    const server_position p = directory_->FindServer(id);
    state["pending_servers"].push_back(
        directory_->Server(p.service, p.server).name);
  }
}

strategy_hooks MakeKeeperStrategy(const strategy_context& context) {
  return HooksOf(std::make_shared<keeper_strategy>(context));
}

}  // namespace poplarstair
