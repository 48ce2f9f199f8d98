// Which instances are keepers, and how an instance becomes one.
#include <algorithm>

#include "poplarstair/routing/keeper_strategy.h"

namespace poplarstair {

namespace {

/// How long a new instance waits to hear from all its live peers while none
/// that it heard from is ready. It then becomes ready without the others, as
/// they may be out of reach or it may be alone.
constexpr duration kAloneAfter = std::chrono::milliseconds(1500);
/// How long a new instance waits for records that others have for it.
constexpr duration kSyncTimeout = std::chrono::seconds(120);
constexpr duration kJoinRetry = std::chrono::milliseconds(500);

bool Contains(const std::vector<keeper_candidate>& candidates, instance_id id) {
  return std::any_of(candidates.begin(), candidates.end(),
                     [id](const keeper_candidate& c) { return c.id == id; });
}

}  // namespace

generation keeper_strategy::Known() const {
  const generation own = directory_ ? directory_->Config().number : 0;
  return std::max(own, known_from_peers_);
}

void keeper_strategy::SendStatus(instance_id to, bool wants_status,
                                 bool wants_buckets) {
  status_message status;
  status.life = peers_.SelfLife();
  status.number = ++last_status_;
  status.generation = Known();
  status.stage = static_cast<uint8_t>(stage_);
  status.wants_status = wants_status;
  status.wants_buckets = wants_buckets;
  Send(to, flow_message_kind::kStatus, status);
}

void keeper_strategy::BroadcastStatus(bool wants_status, bool wants_buckets) {
  for (const auto& [id, peer] : peers_.All()) {
    if (peer.IsLive()) SendStatus(id, wants_status, wants_buckets);
  }
}

void keeper_strategy::OnMembers(time_point now, const member_view& view) {
  const std::vector<instance_id> new_or_returned = peers_.OnMembers(view);
  for (const instance_id id : new_or_returned) {
    exchange_.Forget(id);
    joining_.erase(id);
    // A returning peer may know of buckets that became unsettled meanwhile.
    SendStatus(id, true, stage_ == keeper_stage::kReady);
  }
  self_leaving_ = peers_.SelfIsLeaving();
  common_ = peers_.CommonGeneration();
  if (directory_) UpdateRing(now);
}

void keeper_strategy::OnStatus(time_point now, instance_id from,
                               const status_message& status) {
  if (!peers_.OnStatus(from, status)) return;
  common_ = peers_.CommonGeneration();
  if (status.wants_status) SendStatus(from, false, false);
  if (!directory_) return;
  UpdateRing(now);
  const bool ready = stage_ == keeper_stage::kReady;
  if (status.wants_buckets && ready) SendBuckets(from);
  const bool joins =
      static_cast<keeper_stage>(status.stage) == keeper_stage::kJoining;
  if (!joins) {
    joining_.erase(from);
  } else if (ready && !joining_.contains(from)) {
    StartSync(now, from);
  }
}

void keeper_strategy::UpdateRing(time_point now) {
  const bool self_ready = stage_ == keeper_stage::kReady && !self_leaving_;
  std::vector<keeper_candidate> candidates = peers_.Candidates(self_ready);
  if (candidates == candidates_) return;
  const auto old_candidates = std::exchange(candidates_, candidates);
  const keeper_ring before = std::exchange(ring_, keeper_ring(candidates_));
  previous_ring_ = before;
  ring_changed_at_ = now;
  may_lack_since_ = now;
  MoveRecords(now, before, old_candidates);
  for (service_index s = 0; s < directory_->ServiceCount(); ++s) {
    for (const uint32_t b : maps_[s].Unsettled()) {
      const uint32_t slot = maps_[s].SlotOf(b);
      if (ring_.Of(slot).first == before.Of(slot).first) continue;
      maps_[s].At(b).watched_since = now;
    }
  }
  std::vector<instance_id> joiners;
  for (const auto& [id, ring] : joining_) {
    if (!Contains(candidates_, id)) joiners.push_back(id);
  }
  joining_.clear();
  for (const instance_id id : joiners) StartSync(now, id);
}

void keeper_strategy::MoveRecords(
    time_point now, const keeper_ring& before,
    const std::vector<keeper_candidate>& old_candidates) {
  std::vector<record_item> at_once;
  flows_->ForEach([&](flow_entry& entry) {
    if (entry.is_base != 0) return;
    const uint32_t slot = SlotOf(entry);
    const keeper_pair& old = before.Of(slot);
    const keeper_pair& next = ring_.Of(slot);
    if (old == next) return;
    const bool first_stays = Contains(candidates_, old.first);
    // One of the old keepers sends, so that the new ones get it once.
    const bool sends = old.first == self_ ? first_stays || entry.copied == 0
                                          : old.second == self_ && !first_stays;
    if (!sends) return;
    bool lacks_copy = false;
    for (const instance_id peer : {next.first, next.second}) {
      if (!peer.IsSet() || peer == self_) continue;
      const bool has_it = (peer == old.second && entry.copied != 0) ||
                          (peer == old.first && entry.copied != 0);
      if (has_it) continue;
      const bool was_synced = joining_.contains(peer) && entry.copied != 0;
      if (was_synced && !Contains(old_candidates, peer)) continue;
      const bool only_copy = entry.copied == 0;
      if (only_copy && peer == next.first) {
        at_once.push_back(ItemFor(peer, entry, now));
      } else {
        exchange_.OfferRepair(ItemFor(peer, entry, now));
        lacks_copy = lacks_copy || next.Has(self_);
      }
    }
    if (lacks_copy) entry.copied = 0;
  });
  exchange_.SendNow(now, at_once);
}

void keeper_strategy::StartSync(time_point now, instance_id peer) {
  const peer_progress* joiner = peers_.Find(peer);
  if (joiner == nullptr || !joiner->IsUsable()) return;
  std::vector<keeper_candidate> candidates = candidates_;
  candidates.push_back({peer, joiner->address.failure_domain});
  std::sort(candidates.begin(), candidates.end(),
            [](const auto& a, const auto& b) { return a.id < b.id; });
  const keeper_ring& ring = joining_[peer] = keeper_ring(candidates);
  exchange_.Forget(peer);
  flows_->ForEach([&](const flow_entry& entry) {
    if (entry.is_base != 0) return;
    const uint32_t slot = SlotOf(entry);
    const keeper_pair& keepers = ring_.Of(slot);
    // The second keeper sends records that the first one may not have yet.
    const bool sends = keepers.first == self_ ||
                       (keepers.second == self_ && entry.copied == 0);
    if (sends && ring.Of(slot).Has(peer)) {
      exchange_.OfferRepair(ItemFor(peer, entry, now));
    }
  });
}

void keeper_strategy::ContinueSyncs() {
  for (const auto& [peer, ring] : joining_) {
    if (exchange_.OpenRepairs(peer) > 0) continue;
    Send(peer, flow_message_kind::kSynced, synced_message{Known()});
  }
}

void keeper_strategy::OnSynced(time_point now, instance_id from) {
  synced_from_.insert(from);
  if (stage_ == keeper_stage::kJoining && directory_) Join(now);
}

void keeper_strategy::Join(time_point now) {
  if (!joining_since_) joining_since_ = now;
  const duration waited = now - *joining_since_;
  if (!peers_.AnyReady()) {
    // All others start as well, or there are none that can be reached.
    if (!peers_.AnyUnheard() || waited >= kAloneAfter) BecomeReady(now);
  } else {
    const auto& all = peers_.All();
    const bool synced =
        std::all_of(all.begin(), all.end(), [this](const auto& entry) {
          return !entry.second.IsReady() || synced_from_.contains(entry.first);
        });
    if (has_buckets_ && (synced || waited >= kSyncTimeout)) BecomeReady(now);
  }
  if (stage_ == keeper_stage::kReady || now < next_status_) return;
  next_status_ = now + kJoinRetry;
  BroadcastStatus(true, !has_buckets_);
}

void keeper_strategy::BecomeReady(time_point now) {
  has_buckets_ = true;
  stage_ = keeper_stage::kReady;
  actions_.log(log_record("keeper_ready")
                   .With("records", flows_->Size())
                   .With("generation", Known()));
  BroadcastStatus(false, false);
  UpdateRing(now);
}

}  // namespace poplarstair
