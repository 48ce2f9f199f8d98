// Members under suspicion, each with the time at which it counts as dead.
#ifndef POPLARSTAIR_MEMBERSHIP_SUSPICION_LIST_H_
#define POPLARSTAIR_MEMBERSHIP_SUSPICION_LIST_H_

#include <absl/container/flat_hash_map.h>

#include <vector>

#include "poplarstair/core/ids.h"
#include "poplarstair/core/time.h"

namespace poplarstair {

class suspicion_list {
 public:
  /// Keeps the deadline of a member that is on the list already.
  void Begin(instance_id id, time_point deadline);
  void End(instance_id id) { deadlines_.erase(id); }
  void Clear();
  bool Contains(instance_id id) const { return deadlines_.contains(id); }
  size_t Size() const { return deadlines_.size(); }

  /// Members whose deadline has come, in order of identifier. They stay on the
  /// list.
  std::vector<instance_id> Due(time_point now);
  void Postpone(duration gap);
  /// In order of identifier.
  std::vector<instance_id> All() const;

 private:
  absl::flat_hash_map<instance_id, time_point> deadlines_;
  /// No deadline comes before it.
  time_point next_ = kNever;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_MEMBERSHIP_SUSPICION_LIST_H_
