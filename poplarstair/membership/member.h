// The instances that an instance knows of.
#ifndef POPLARSTAIR_MEMBERSHIP_MEMBER_H_
#define POPLARSTAIR_MEMBERSHIP_MEMBER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "poplarstair/core/endpoint.h"
#include "poplarstair/core/enum_names.h"
#include "poplarstair/core/ids.h"

namespace poplarstair {

enum class member_state : uint8_t { kAlive, kSuspect, kLeaving, kDead };

template <>
struct enum_names<member_state> {
  static constexpr std::string_view kNames[] = {"alive", "suspect", "leaving",
                                                "dead"};
};

/// Where the other instances reach an instance.
struct instance_address {
  instance_id id;
  std::string name;
  failure_domain_id failure_domain;
  /// TCP: frames between instances.
  endpoint peer_address;
  /// UDP: packets that are handed on.
  endpoint hand_on_address;

  friend bool operator==(const instance_address&,
                         const instance_address&) = default;
};

struct member {
  instance_address address;
  /// Grows with a restart, and when an instance returns that was declared dead.
  incarnation life = 0;
  member_state state = member_state::kAlive;
};

/// All members, in order of identifier; includes the instance itself.
struct member_view {
  /// Grows with every change.
  uint64_t version = 0;
  /// Half of the members or more are out of sight: this instance is cut off,
  /// they are not dead. They are shown as suspect meanwhile. Also true from the
  /// start until half of the listed instances have been heard.
  bool partitioned = false;
  std::vector<member> members;

  /// Null when unknown.
  const member* Find(instance_id id) const;
  size_t CountUsable() const;
};

/// True if `m` may be given work or state to keep.
inline bool IsUsable(const member& m) {
  return m.state == member_state::kAlive || m.state == member_state::kSuspect;
}

}  // namespace poplarstair

#endif  // POPLARSTAIR_MEMBERSHIP_MEMBER_H_
