#include "poplarstair/membership/update_queue.h"

namespace poplarstair {

void update_queue::Add(instance_id id) {
  if (levels_.empty()) levels_.resize(1);
  const auto [it, is_new] = sent_.try_emplace(id, 0);
  if (!is_new && it->second == 0) return;
  it->second = 0;
  levels_.front().push_back(id);
}

void update_queue::CountHeard(instance_id id, uint32_t limit) {
  const auto it = sent_.find(id);
  if (it != sent_.end()) MoveTo(id, it->second + 1, limit);
}

void update_queue::MoveTo(instance_id id, uint32_t level, uint32_t limit) {
  if (level >= limit) {
    sent_.erase(id);
    return;
  }
  if (levels_.size() <= level) levels_.resize(level + 1);
  levels_[level].push_back(id);
  sent_[id] = level;
}

}  // namespace poplarstair
