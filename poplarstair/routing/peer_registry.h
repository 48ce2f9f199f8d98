// What an instance knows of the others' progress in the flow plane.
#ifndef POPLARSTAIR_ROUTING_PEER_REGISTRY_H_
#define POPLARSTAIR_ROUTING_PEER_REGISTRY_H_

#include <map>
#include <vector>

#include "poplarstair/membership/member.h"
#include "poplarstair/routing/flow_messages.h"
#include "poplarstair/routing/keeper_ring.h"

namespace poplarstair {

struct peer_progress {
  instance_address address;
  incarnation life = 0;
  member_state state = member_state::kSuspect;
  /// False until its first status in this life.
  bool heard = false;
  keeper_stage stage = keeper_stage::kJoining;
  /// Generation whose unsettled buckets it knows.
  generation known = 0;
  /// Number of its last status in this life.
  uint32_t status_number = 0;

  bool IsLive() const { return state != member_state::kDead; }
  bool IsUsable() const {
    return state == member_state::kAlive || state == member_state::kSuspect;
  }
  bool IsReady() const {
    return IsUsable() && heard && stage == keeper_stage::kReady;
  }
};

/// Without the instance itself.
class peer_registry {
 public:
  explicit peer_registry(instance_id self) : self_(self) {}

  /// Returns the peers that are new, in a new life, or back from the dead.
  std::vector<instance_id> OnMembers(const member_view& view);
  /// False when the sender is not a member or the status is an old one.
  bool OnStatus(instance_id from, const status_message& status);

  const peer_progress* Find(instance_id id) const;
  const std::map<instance_id, peer_progress>& All() const { return peers_; }
  bool SelfIsLeaving() const { return self_leaving_; }
  incarnation SelfLife() const { return self_life_; }

  /// Ready members; with the instance itself if `self_ready`.
  std::vector<keeper_candidate> Candidates(bool self_ready) const;
  /// The latest generation that each live peer knows; 0 if one was not heard.
  /// Joining peers forward every packet and so don't count.
  generation CommonGeneration() const;
  /// The latest generation that each member knows, including members that are
  /// unreachable or dead.
  generation CommonGenerationOfAll() const;
  /// True if there is a live peer whose status has not been heard.
  bool AnyUnheard() const;
  /// True if a peer is ready.
  bool AnyReady() const;

 private:
  const instance_id self_;
  failure_domain_id self_domain_;
  bool self_leaving_ = false;
  incarnation self_life_ = 0;
  std::map<instance_id, peer_progress> peers_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_ROUTING_PEER_REGISTRY_H_
