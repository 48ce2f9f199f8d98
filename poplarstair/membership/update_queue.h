// Members whose change is still to be told to others.
#ifndef POPLARSTAIR_MEMBERSHIP_UPDATE_QUEUE_H_
#define POPLARSTAIR_MEMBERSHIP_UPDATE_QUEUE_H_

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <vector>

#include "poplarstair/core/ids.h"

namespace poplarstair {

/// Each change is told a bounded number of times, the least told first. Only
/// identifiers wait here: what is sent is the newest claim.
class update_queue {
 public:
  /// Starts again for `id` if it waits already.
  void Add(instance_id id);
  void Remove(instance_id id) { sent_.erase(id); }
  /// Another has told the same change, which spreads it as well as telling it:
  /// counts as sent once.
  void CountHeard(instance_id id, uint32_t limit);
  bool IsEmpty() const { return sent_.empty(); }
  size_t Size() const { return sent_.size(); }

  /// Calls `offer` with identifiers until it returns false; those taken count
  /// as sent once more and go after `limit` times.
  template <typename Offer>
  void Take(uint32_t limit, Offer offer);

 private:
  void MoveTo(instance_id id, uint32_t level, uint32_t limit);

  absl::flat_hash_map<instance_id, uint32_t> sent_;
  /// By the number of times sent; entries that no longer agree with `sent_` are
  /// left over from an earlier change.
  std::vector<std::deque<instance_id>> levels_;
};

template <typename Offer>
void update_queue::Take(uint32_t limit, Offer offer) {
  std::vector<std::pair<instance_id, uint32_t>> taken;
  bool goes_on = true;
  for (uint32_t level = 0; level < levels_.size() && goes_on; ++level) {
    auto& waiting = levels_[level];
    while (!waiting.empty()) {
      const instance_id id = waiting.front();
      const auto it = sent_.find(id);
      if (it != sent_.end() && it->second == level) {
        goes_on = offer(id);
        if (!goes_on) break;
        taken.emplace_back(id, level + 1);
      }
      waiting.pop_front();
    }
  }
  for (const auto& [id, level] : taken) MoveTo(id, level, limit);
}

}  // namespace poplarstair

#endif  // POPLARSTAIR_MEMBERSHIP_UPDATE_QUEUE_H_
