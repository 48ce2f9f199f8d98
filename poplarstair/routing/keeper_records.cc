// Records of flows that are not at their bucket's base server.
#include "poplarstair/routing/keeper_strategy.h"

namespace poplarstair {

namespace {

/// How long an ended flow is kept for its last packets.
constexpr uint32_t kLingerSeconds = 15;
/// A sweep over the whole table takes this many ticks.
constexpr size_t kTicksPerSweep = 2'000;
constexpr size_t kMinSweepSlots = 16;

}  // namespace

flow_entry* keeper_strategy::Find(const flow_packet& packet) {
  flow_entry* entry = flows_->Find(FingerprintOf(packet.flow_hash));
  const bool matches = entry != nullptr && entry->service == packet.service;
  return matches ? entry : nullptr;
}

uint32_t keeper_strategy::SlotOf(const flow_entry& entry) const {
  const bucket_map& map = maps_[entry.service];
  return map.SlotOf(map.BucketOf(entry.Hash()));
}

record_item keeper_strategy::ItemFor(instance_id peer, const flow_entry& entry,
                                     time_point due) const {
  return {peer, directory_->Service(entry.service).id, entry.flow, due};
}

backend_server_id keeper_strategy::ServerOf(service_id service,
                                            flow_fingerprint flow) {
  const flow_entry* entry = flows_ ? flows_->Find(flow) : nullptr;
  if (entry == nullptr || entry->is_base != 0 || entry->ending != 0) return {};
  if (directory_->Service(entry->service).id != service) return {};
  return directory_->Server(entry->service, entry->server).id;
}

void keeper_strategy::Enter(time_point now, const flow_packet& packet,
                            server_index server) {
  bucket_map& map = maps_[packet.service];
  bucket_state& state = map.At(map.BucketOf(packet.flow_hash));
  flow_entry entry;
  entry.flow = FingerprintOf(packet.flow_hash);
  entry.last_seen_s = SecondsOf(now);
  entry.service = packet.service;
  entry.server = server;
  entry.is_base = server == state.base ? 1 : 0;
  if (flows_->Put(entry) == nullptr) return full_.Add();
  if (entry.is_base != 0) return;
  ++state.records;
  OfferCopies(now, entry);
}

void keeper_strategy::OfferCopies(time_point now, const flow_entry& entry) {
  const uint32_t slot = SlotOf(entry);
  const time_point due = now + settings_.record_after;
  const keeper_pair& keepers = ring_.Of(slot);
  if (keepers.first != self_ && keepers.first.IsSet()) {
    // Placed for another keeper, which gets the flow's next packet.
    return exchange_.SendNow(now, {ItemFor(keepers.first, entry, now),
                                   ItemFor(keepers.second, entry, now)});
  }
  if (keepers.second.IsSet()) {
    exchange_.OfferNew(ItemFor(keepers.second, entry, due));
  }
  OfferToJoiningPeers(entry, due);
}

void keeper_strategy::OfferToJoiningPeers(const flow_entry& entry,
                                          time_point due) {
  const uint32_t slot = SlotOf(entry);
  for (const auto& [peer, ring] : joining_) {
    if (ring.Of(slot).Has(peer)) {
      exchange_.OfferNew(ItemFor(peer, entry, due));
    }
  }
}

void keeper_strategy::CountErased(const flow_entry& entry) {
  if (entry.is_base != 0) return;
  bucket_map& map = maps_[entry.service];
  bucket_state& state = map.At(map.BucketOf(entry.Hash()));
  if (state.records > 0) --state.records;
  const keeper_pair& keepers = ring_.Of(SlotOf(entry));
  if (keepers.first == self_ && entry.copied != 0 && keepers.second.IsSet()) {
    exchange_.OfferEnd(ItemFor(keepers.second, entry, {}));
  }
}

void keeper_strategy::Erase(flow_fingerprint flow) {
  const flow_entry* entry = flows_->Find(flow);
  if (entry == nullptr) return;
  CountErased(*entry);
  flows_->Erase(flow);
}

bool keeper_strategy::IsExpired(time_point now, const flow_entry& entry) {
  const uint32_t now_s = SecondsOf(now);
  const uint32_t silent_s =
      now_s > entry.last_seen_s ? now_s - entry.last_seen_s : 0;
  const bucket_map& map = maps_[entry.service];
  const bool settled = map.At(map.BucketOf(entry.Hash())).settled;
  const auto limit = directory_->Config().limits.flow_idle_timeout;
  return settled || silent_s > ToSeconds(limit) ||
         (entry.ending != 0 && silent_s > kLingerSeconds);
}

void keeper_strategy::Sweep(time_point now) {
  const size_t slots = flows_->Slots() / kTicksPerSweep + kMinSweepSlots;
  flows_->SweepSome(slots, [&](const flow_entry& entry) {
    if (!IsExpired(now, entry)) return false;
    CountErased(entry);
    return true;
  });
}

void keeper_strategy::OnRecords(time_point now, instance_id from,
                                const records_message& message) {
  // A record can't be stored without its bucket state; the sender retries.
  if (!has_buckets_) return;
  const service_index service =
      directory_->FindById(service_id(message.service));
  if (service == kNoService) return;
  bool complete = true;
  for (const flow_record& record : DecodeRecords(message.records)) {
    if (message.ended) {
      Erase(record.flow);
      continue;
    }
    const server_position p = directory_->FindServer(record.server);
    if (p.service == service) {
      TakeRecord(now, service, record.flow, p.server);
    } else {
      complete = false;  // One of the two configurations is older.
    }
  }
  if (!complete) return;
  Send(from, flow_message_kind::kAcknowledge,
       acknowledge_message{message.number});
}

void keeper_strategy::TakeRecord(time_point now, service_index service,
                                 flow_fingerprint flow, server_index server) {
  flow_entry entry;
  entry.flow = flow;
  entry.last_seen_s = SecondsOf(now);
  entry.service = service;
  entry.server = server;
  entry.copied = 1;
  bucket_map& map = maps_[service];
  const uint32_t bucket = map.BucketOf(entry.Hash());
  bucket_state& state = map.At(bucket);
  const flow_entry* known = flows_->Find(flow);
  // This instance's own entry is at least as recent as the received record.
  if (known != nullptr && known->is_base == 0) return;
  map.Unsettle(bucket);
  if (flows_->Put(entry) == nullptr) return full_.Add();
  ++state.records;
  if (ring_.Of(SlotOf(entry)).first == self_) OfferToJoiningPeers(entry, now);
}

void keeper_strategy::InheritFlows(const service_directory& before) {
  std::optional<flow_table> old = std::move(flows_);
  flows_.emplace(directory_->Config().limits.max_flows);
  if (!old) return;
  old->ForEach([&](const flow_entry& entry) { InheritFlow(before, entry); });
}

void keeper_strategy::InheritFlow(const service_directory& before,
                                  flow_entry entry) {
  const auto id = before.Server(entry.service, entry.server).id;
  const server_position p = directory_->FindServer(id);
  if (p.server == kNoServer) return;
  if (directory_->Service(p.service).id != before.Service(entry.service).id) {
    return;
  }
  if (!directory_->MayReceive(p.service, p.server)) return;
  entry.service = p.service;
  entry.server = p.server;
  bucket_map& map = maps_[p.service];
  bucket_state& state = map.At(map.BucketOf(entry.Hash()));
  // A flow at the base server needs no record.
  if (entry.is_base == 0 && state.base == p.server) entry.is_base = 1;
  if (entry.is_base != 0 && state.base != p.server) return;
  if (entry.is_base == 0) ++state.records;
  flows_->Put(entry);
}

}  // namespace poplarstair
