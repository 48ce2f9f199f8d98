// Bucket states: how instances tell each other, and how buckets settle again.
#include <algorithm>

#include "poplarstair/routing/keeper_strategy.h"

namespace poplarstair {

namespace {

/// An instance that is behind by so long is told of the unsettled buckets.
constexpr duration kLateAfter = std::chrono::milliseconds(300);
/// Between two messages to it, and until the next instance tells it as well.
constexpr duration kInformInterval = std::chrono::seconds(1);
constexpr duration kSettleInterval = std::chrono::seconds(2);
/// After a change of the keepers, records may still be on their way.
constexpr duration kStableBeforeSettling = std::chrono::seconds(30);
constexpr size_t kMaxAnnounced = 24;
constexpr size_t kMaxRebased = 16;

}  // namespace

service_buckets keeper_strategy::StatesOf(
    service_index service, const std::vector<uint32_t>& buckets) const {
  const bucket_map& map = maps_[service];
  service_buckets message;
  message.service = directory_->Service(service).id.Value();
  message.bucket_count = map.Count();
  std::map<server_index, uint16_t> position_of;
  std::vector<bucket_entry> entries;
  for (const uint32_t b : buckets) {
    const bucket_state& state = map.At(b);
    if (state.base == kNoServer) continue;
    const auto next = static_cast<uint16_t>(message.servers.size());
    const auto [it, is_new] = position_of.try_emplace(state.base, next);
    if (is_new) {
      const auto& server = directory_->Server(service, state.base);
      message.servers.push_back(server.id.Value());
    }
    entries.push_back(
        {b, it->second, state.epoch, state.settled, state.changed_in});
  }
  message.entries = EncodeBuckets(std::move(entries));
  return message;
}

void keeper_strategy::SendBuckets(instance_id to) {
  // All states go in one message, so that a receiver never mistakes a part of
  // them for all.
  buckets_message message;
  message.generation = Known();
  message.complete = true;
  for (service_index s = 0; s < directory_->ServiceCount(); ++s) {
    maps_[s].PruneUnsettled();
    if (maps_[s].Unsettled().empty()) continue;
    message.services.push_back(StatesOf(s, maps_[s].Unsettled()));
  }
  for (const auto& [id, since] : moves_.Pending()) {
    message.pending_servers.push_back(id.Value());
  }
  Send(to, flow_message_kind::kBuckets, message);
}

void keeper_strategy::OnBuckets(const buckets_message& message) {
  if (!directory_) return;
  for (const service_buckets& states : message.services) {
    const service_index service =
        directory_->FindById(service_id(states.service));
    if (service == kNoService || states.bucket_count == 0) continue;
    for (const bucket_entry& entry : DecodeBuckets(states.entries)) {
      MergeEntry(service, message.generation, states, entry);
    }
  }
  if (!message.complete) return;
  for (const uint64_t id : message.pending_servers) {
    moves_.Adopt(backend_server_id(id), message.generation);
  }
  const bool learned = !has_buckets_ || message.generation > Known();
  has_buckets_ = true;
  known_from_peers_ = std::max(known_from_peers_, message.generation);
  if (learned) BroadcastStatus(false, false);
}

void keeper_strategy::MergeEntry(service_index service, generation number,
                                 const service_buckets& states,
                                 const bucket_entry& entry) {
  if (entry.bucket >= states.bucket_count ||
      entry.base >= states.servers.size()) {
    throw malformed_message("bucket states", "position out of range");
  }
  const uint32_t count = maps_[service].Count();
  const backend_server_id base(states.servers[entry.base]);
  if (states.bucket_count >= count) {
    // One settled bucket of a finer table does not settle the coarser bucket.
    const uint32_t ratio = states.bucket_count / count;
    if (ratio > 1 && entry.settled) return;
    return ApplyEntry(service, entry.bucket / ratio, number, base, entry);
  }
  const uint32_t ratio = count / states.bucket_count;
  for (uint32_t i = 0; i < ratio; ++i) {
    ApplyEntry(service, entry.bucket * ratio + i, number, base, entry);
  }
}

void keeper_strategy::ApplyEntry(service_index service, uint32_t bucket,
                                 generation number, backend_server_id base_id,
                                 const bucket_entry& entry) {
  bucket_state& state = maps_[service].At(bucket);
  const server_position base = directory_->FindServer(base_id);
  const bool usable = base.service == service && base.server != kNoServer &&
                      directory_->MayReceive(service, base.server);
  if (usable && (entry.epoch > state.epoch || !has_buckets_)) {
    state.base = base.server;
    state.epoch = entry.epoch;
  }
  if (!entry.settled) {
    latest_unsettled_generations_[service] =
        std::max(latest_unsettled_generations_[service], number);
    if (state.settled) {
      state.changed_in = entry.changed_in;
      state.changed_at = message_at_;
    }
    maps_[service].Unsettle(bucket);
    return;
  }
  // A late answer about an older change must not hide a newer one.
  const bool current = number >= latest_unsettled_generations_[service] &&
                       number == directory_->Config().number;
  const bool same = state.base == base.server && state.target == state.base &&
                    state.epoch == entry.epoch;
  const keeper_pair& keepers = ring_.Of(maps_[service].SlotOf(bucket));
  const bool decides = keepers.first == self_;
  if (current && same && !(decides && state.records > 0)) state.settled = true;
}

void keeper_strategy::SettleBuckets(time_point now) {
  if (now < next_settle_ || stage_ != keeper_stage::kReady) return;
  next_settle_ = now + kSettleInterval;
  uint64_t unsettled = 0;
  const bool stable = now - ring_changed_at_ >= kStableBeforeSettling;
  const bool current = Known() == directory_->Config().number;
  const auto idle = directory_->Config().limits.flow_idle_timeout;
  for (service_index s = 0; s < directory_->ServiceCount(); ++s) {
    maps_[s].PruneUnsettled();
    unsettled += maps_[s].Unsettled().size();
    if (!stable || !current) continue;
    std::vector<uint32_t> settled;
    std::vector<uint32_t> rebased;
    for (const uint32_t b : maps_[s].Unsettled()) {
      bucket_state& state = maps_[s].At(b);
      if (ring_.Of(maps_[s].SlotOf(b)).first != self_) continue;
      if (common_ < state.changed_in) continue;
      if (state.target == state.base) {
        if (state.records > 0 || settled.size() >= kMaxAnnounced) continue;
        state.settled = true;
        state.base_lost = false;
        settled.push_back(b);
      } else if (now - state.watched_since > idle && now >= state.active_at &&
                 rebased.size() < kMaxRebased) {
        rebased.push_back(b);
      }
    }
    if (!rebased.empty()) Rebase(now, s, rebased);
    settled.insert(settled.end(), rebased.begin(), rebased.end());
    if (!settled.empty()) Announce(s, settled);
  }
  unsettled_gauge_.Set(unsettled);
  records_gauge_.Set(flows_->Size());
}

void keeper_strategy::Rebase(time_point now, service_index service,
                             const std::vector<uint32_t>& buckets) {
  bucket_map& map = maps_[service];
  for (const uint32_t b : buckets) {
    bucket_state& state = map.At(b);
    state.base = state.target;
    ++state.epoch;
    state.records = 0;
    state.watched_since = now;
  }
  // Every flow that still lives has been seen here since watched_since.
  flows_->ForEach([&](flow_entry& entry) {
    if (entry.service != service) return;
    const uint32_t b = map.BucketOf(entry.Hash());
    if (std::find(buckets.begin(), buckets.end(), b) == buckets.end()) return;
    bucket_state& state = map.At(b);
    entry.is_base = entry.server == state.base ? 1 : 0;
    if (entry.is_base != 0) return;
    ++state.records;
    OfferCopies(now, entry);
  });
}

void keeper_strategy::Announce(service_index service,
                               const std::vector<uint32_t>& buckets) {
  buckets_message message;
  message.generation = Known();
  message.services = {StatesOf(service, buckets)};
  for (const auto& [id, peer] : peers_.All()) {
    if (peer.IsLive()) Send(id, flow_message_kind::kBuckets, message);
  }
}

uint32_t keeper_strategy::InformerRank(instance_id late) const {
  const uint64_t own = HashCombine(self_.Value(), late.Value());
  uint32_t rank = 0;
  for (const auto& [id, peer] : peers_.All()) {
    const bool may_inform = peer.IsReady() && peer.known >= Known();
    if (may_inform && HashCombine(id.Value(), late.Value()) < own) ++rank;
  }
  return rank;
}

void keeper_strategy::InformLateInstances(time_point now) {
  const duration waited = now - config_at_;
  if (waited < kLateAfter || stage_ != keeper_stage::kReady) return;
  if (common_ >= Known()) return;
  for (const auto& [id, peer] : peers_.All()) {
    if (!peer.IsLive() || peer.known >= Known()) continue;
    // The bucket states may be large, so one instance sends them at a time.
    if (waited < kLateAfter + InformerRank(id) * kInformInterval) continue;
    const auto [it, is_new] = informed_at_.try_emplace(id, now);
    if (!is_new && now - it->second < kInformInterval) continue;
    it->second = now;
    if (!peer.heard) {
      SendStatus(id, true, false);
    } else if (peer.stage == keeper_stage::kReady) {
      SendBuckets(id);
    }
  }
}

}  // namespace poplarstair
