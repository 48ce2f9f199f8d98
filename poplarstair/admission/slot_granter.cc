#include "poplarstair/admission/slot_granter.h"

#include <algorithm>

namespace poplarstair {

slot_granter::slot_granter(time_point now, backend_server_id server,
                           uint32_t slots, duration longest_attempt,
                           grant_hook grant)
    : server_(server),
      longest_attempt_(longest_attempt),
      grant_(std::move(grant)),
      speed_(slots),
      ready_at_(now + kSlotLease + longest_attempt) {}

void slot_granter::OnAsk(time_point now, instance_id from,
                         const slot_ask& ask) {
  client& c = clients_[from];
  if (ask.life < c.life || (ask.life == c.life && ask.number <= c.number)) {
    return;
  }
  if (ask.life > c.life && c.committed > 0) {
    // What the earlier life had started may still run.
    orphaned_.emplace(c.free_at, c.committed);
  }
  const bool waited = c.life == ask.life && c.wanted > c.committed;
  c.life = ask.life;
  c.number = ask.number;
  c.committed = ask.held;
  c.wanted = ask.wanted;
  c.free_at = now + kSlotLease + longest_attempt_;
  if (!waited) c.waits_since = now;
  Learn(ask);
  c.recalled = false;
  Distribute(now);
  Reply(from);
  if (c.wanted > c.committed) Recall();
}

void slot_granter::OnTick(time_point now, const member_view& view) {
  expected_.clear();
  bool all_seen = true;
  for (const member& m : view.members) {
    const auto it = clients_.find(m.address.id);
    if (it != clients_.end() && it->second.life >= m.life) continue;
    all_seen = false;
    if (m.state != member_state::kDead) expected_.insert(m.address.id);
  }
  // Whoever holds permits of an earlier granting instance has told by now, or
  // its last attempt has ended.
  if (!ready_ && (all_seen || now >= ready_at_)) ready_ = true;
  for (auto& [id, c] : clients_) {
    if (c.free_at > now) continue;
    c.committed = 0;
    c.wanted = 0;
  }
  orphaned_.erase(orphaned_.begin(), orphaned_.upper_bound(now));
  Distribute(now);
}

void slot_granter::SetSlots(uint32_t slots) { speed_.SetSlots(slots); }

std::set<instance_id> slot_granter::Missing() const {
  return ready_ ? std::set<instance_id>() : expected_;
}

uint32_t slot_granter::Committed() const {
  uint32_t sum = 0;
  for (const auto& [id, c] : clients_) sum += c.committed;
  for (const auto& [until, count] : orphaned_) sum += count;
  return sum;
}

void slot_granter::Distribute(time_point now) {
  if (!ready_) return;
  uint32_t committed = Committed();
  while (committed < speed_.Limit()) {
    instance_id who;
    client* next = LongestWaiting(who);
    if (next == nullptr) return;
    ++next->committed;
    ++committed;
    next->waits_since = now;
    Reply(who);
  }
}

slot_granter::client* slot_granter::LongestWaiting(instance_id& who) {
  client* best = nullptr;
  for (auto& [id, c] : clients_) {
    if (c.wanted <= c.committed) continue;
    if (best != nullptr && best->waits_since <= c.waits_since) continue;
    best = &c;
    who = id;
  }
  return best;
}

bool slot_granter::OthersWait(instance_id who) const {
  return std::any_of(clients_.begin(), clients_.end(), [who](const auto& c) {
    return c.first != who && c.second.wanted > c.second.committed;
  });
}

/// Asks the others for idle permits that they may keep.
void slot_granter::Recall() {
  for (const auto& [id, c] : clients_) {
    if (c.committed > 0 && !c.recalled && OthersWait(id)) Reply(id);
  }
}

void slot_granter::Reply(instance_id to) {
  client& c = clients_[to];
  // More is promised than the server bears now: ask this one for its idle
  // permits. They count until it has agreed.
  const uint32_t over =
      Committed() > speed_.Limit() ? Committed() - speed_.Limit() : 0;
  const uint32_t permits = c.committed - std::min(c.committed, over);
  c.recalled = OthersWait(to) || over > 0;
  grant_(to, {server_.Value(), c.number, permits, c.recalled,
              static_cast<uint32_t>(speed_.Usual().count())});
}

void slot_granter::Learn(const slot_ask& ask) {
  const uint32_t before = speed_.Limit();
  speed_.OnHint(duration(ask.usual_us));
  for (const uint32_t time_us : ask.service_times_us) {
    speed_.OnCompleted(duration(time_us));
  }
  for (uint32_t i = 0; i < ask.refused; ++i) speed_.OnRefused();
  speed_.OnRunning(duration(ask.oldest_running_us));
  if (speed_.Limit() >= before) return;
  for (const auto& [id, c] : clients_) {
    if (c.committed > 0) Reply(id);
  }
}

}  // namespace poplarstair
