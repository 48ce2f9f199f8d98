#include "poplarstair/routing/peer_registry.h"

#include <algorithm>
#include <limits>

namespace poplarstair {

std::vector<instance_id> peer_registry::OnMembers(const member_view& view) {
  std::vector<instance_id> new_or_returned;
  std::map<instance_id, peer_progress> next;
  for (const member& m : view.members) {
    if (m.address.id == self_) {
      self_domain_ = m.address.failure_domain;
      self_life_ = m.life;
      self_leaving_ = m.state == member_state::kLeaving;
      continue;
    }
    const auto known = peers_.find(m.address.id);
    peer_progress peer;
    bool is_new_or_returned = known == peers_.end();
    if (!is_new_or_returned) {
      const bool new_life =
          known->second.life != 0 && known->second.life < m.life;
      const bool returns =
          !known->second.IsLive() && m.state != member_state::kDead;
      is_new_or_returned = new_life || returns;
      if (!new_life) peer = known->second;
      if (returns) peer.heard = false;
    }
    peer.address = m.address;
    peer.life = std::max(peer.life, m.life);
    // A peer that announced its leave does not become a keeper again when it is
    // suspected.
    const bool left = peer.state == member_state::kLeaving &&
                      m.state == member_state::kSuspect;
    if (!left) peer.state = m.state;
    if (is_new_or_returned && peer.IsLive())
      new_or_returned.push_back(m.address.id);
    next[m.address.id] = peer;
  }
  peers_ = std::move(next);
  return new_or_returned;
}

bool peer_registry::OnStatus(instance_id from, const status_message& status) {
  const auto it = peers_.find(from);
  if (it == peers_.end()) return false;
  peer_progress& peer = it->second;
  if (status.life < peer.life) return false;
  if (status.life > peer.life) {
    // It has restarted, and the membership does not say so yet.
    peer.life = status.life;
    peer.known = 0;
    peer.status_number = 0;
  }
  if (status.number < peer.status_number) return false;
  peer.status_number = status.number;
  peer.heard = true;
  peer.stage = static_cast<keeper_stage>(status.stage);
  // Messages may overtake each other; knowledge only grows within a life.
  peer.known = std::max<generation>(peer.known, status.generation);
  return true;
}

const peer_progress* peer_registry::Find(instance_id id) const {
  const auto it = peers_.find(id);
  return it == peers_.end() ? nullptr : &it->second;
}

std::vector<keeper_candidate> peer_registry::Candidates(bool self_ready) const {
  std::vector<keeper_candidate> candidates;
  if (self_ready) candidates.push_back({self_, self_domain_});
  for (const auto& [id, peer] : peers_) {
    if (peer.IsReady()) candidates.push_back({id, peer.address.failure_domain});
  }
  return candidates;
}

generation peer_registry::CommonGeneration() const {
  generation common = std::numeric_limits<generation>::max();
  for (const auto& [id, peer] : peers_) {
    if (!peer.IsLive()) continue;
    if (!peer.heard) return 0;
    if (peer.stage == keeper_stage::kJoining) continue;
    common = std::min(common, peer.known);
  }
  return common;
}

generation peer_registry::CommonGenerationOfAll() const {
  generation common = std::numeric_limits<generation>::max();
  for (const auto& [id, peer] : peers_) common = std::min(common, peer.known);
  return common;
}

bool peer_registry::AnyUnheard() const {
  return std::any_of(peers_.begin(), peers_.end(), [](const auto& entry) {
    return entry.second.IsLive() && !entry.second.heard;
  });
}

bool peer_registry::AnyReady() const {
  return std::any_of(peers_.begin(), peers_.end(),
                     [](const auto& entry) { return entry.second.IsReady(); });
}

}  // namespace poplarstair
