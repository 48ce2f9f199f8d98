#include "poplarstair/testing/config_history.h"

#include <algorithm>

namespace poplarstair {

void config_history::Accepted(generation number, const std::string& edit) {
  accepted_[number].push_back(edit);
}

void config_history::InForce(size_t index, generation number,
                             const std::string& edit) {
  if (number < highest_[index]) found_.push_back(config_violation::kReverted);
  highest_[index] = std::max(highest_[index], number);
  const auto [it, is_new] = seen_.emplace(number, edit);
  if (it->second != edit) found_.push_back(config_violation::kLostEdit);
}

std::vector<config_violation> config_history::Check(
    const std::vector<generation>& at_end) const {
  std::vector<config_violation> found = found_;
  for (const auto& [number, edits] : accepted_) {
    if (edits.size() > 1) found.push_back(config_violation::kAcceptedTwice);
    const auto seen = seen_.find(number);
    if (seen != seen_.end() && seen->second != edits.front()) {
      found.push_back(config_violation::kLostEdit);
    }
  }
  const generation newest =
      accepted_.empty() ? generation{0} : accepted_.rbegin()->first;
  for (const generation number : at_end) {
    if (number < newest) found.push_back(config_violation::kLostEdit);
  }
  for (const auto& [number, edit] : seen_) {
    if (std::find(refused_.begin(), refused_.end(), edit) != refused_.end()) {
      found.push_back(config_violation::kRefusedInForce);
    }
  }
  return found;
}

}  // namespace poplarstair
