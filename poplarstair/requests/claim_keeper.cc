#include "poplarstair/requests/claim_keeper.h"

namespace poplarstair {

std::optional<claim_holder> claim_keeper::Vote(time_point now,
                                               const claim_message& wanted) {
  const auto it = votes_.find(wanted.key);
  if (it != votes_.end()) return it->second;
  if (!synced_ || votes_.size() >= settings_.max_votes) return std::nullopt;
  Put(now, wanted.key, wanted.holder);
  return wanted.holder;
}

void claim_keeper::Void(time_point now, const request_key& key) {
  // Adopting the reported holder would be unsafe: before its restart this
  // instance may have voted for another holder, which may have won.
  if (!votes_.contains(key)) Put(now, key, {});
}

void claim_keeper::Forget(time_point now) {
  while (!by_age_.empty() && by_age_.front().forget_at <= now) {
    votes_.erase(by_age_.front().key);
    by_age_.pop_front();
  }
}

void claim_keeper::ForEach(
    const std::function<void(const claim_entry&)>& visit) const {
  for (const request_key& key : SortedKeys(votes_)) {
    visit({key, votes_.at(key)});
  }
}

void claim_keeper::Put(time_point now, const request_key& key,
                       const claim_holder& holder) {
  votes_[key] = holder;
  by_age_.push_back({now + settings_.remember, key});
}

}  // namespace poplarstair
