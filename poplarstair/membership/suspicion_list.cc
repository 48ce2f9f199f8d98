#include "poplarstair/membership/suspicion_list.h"

#include <algorithm>

namespace poplarstair {

void suspicion_list::Begin(instance_id id, time_point deadline) {
  const auto [it, is_new] = deadlines_.try_emplace(id, deadline);
  next_ = std::min(next_, it->second);
}

void suspicion_list::Clear() {
  deadlines_.clear();
  next_ = kNever;
}

std::vector<instance_id> suspicion_list::Due(time_point now) {
  std::vector<instance_id> due;
  if (now < next_) return due;
  next_ = kNever;
  for (const auto& [id, deadline] : deadlines_) {
    if (deadline <= now) due.push_back(id);
    next_ = std::min(next_, deadline);
  }
  std::sort(due.begin(), due.end());
  return due;
}

void suspicion_list::Postpone(duration gap) {
  next_ = kNever;
  for (auto& [id, deadline] : deadlines_) {
    deadline += gap;
    next_ = std::min(next_, deadline);
  }
}

std::vector<instance_id> suspicion_list::All() const {
  std::vector<instance_id> all;
  for (const auto& [id, deadline] : deadlines_) all.push_back(id);
  std::sort(all.begin(), all.end());
  return all;
}

}  // namespace poplarstair
