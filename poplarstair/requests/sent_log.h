// Records the requests that this instance has recently sent to backend servers.
#ifndef POPLARSTAIR_REQUESTS_SENT_LOG_H_
#define POPLARSTAIR_REQUESTS_SENT_LOG_H_

#include <absl/container/flat_hash_set.h>

#include <deque>

#include "poplarstair/core/time.h"
#include "poplarstair/requests/request_key.h"

namespace poplarstair {

/// Holds at most `max_keys` keys. After it has discarded a key before its time,
/// it answers for any request that it may have been sent, until that time has
/// passed.
class sent_log {
 public:
  sent_log(duration remember, size_t max_keys)
      : remember_(remember), max_keys_(max_keys) {}

  void Add(time_point now, const request_key& key) {
    if (!keys_.insert(key).second) return;
    by_age_.push_back({now + remember_, key});
    if (by_age_.size() <= max_keys_) return;
    unsure_until_ = by_age_.front().forget_at;
    unsure_ = true;
    PopOldest();
  }

  bool MayHaveSent(const request_key& key) const {
    return unsure_ || keys_.contains(key);
  }

  void Forget(time_point now) {
    if (now >= unsure_until_) unsure_ = false;
    while (!by_age_.empty() && by_age_.front().forget_at <= now) PopOldest();
  }

 private:
  struct aged_key {
    time_point forget_at;
    request_key key;
  };

  void PopOldest() {
    keys_.erase(by_age_.front().key);
    by_age_.pop_front();
  }

  const duration remember_;
  const size_t max_keys_;
  absl::flat_hash_set<request_key> keys_;
  std::deque<aged_key> by_age_;
  bool unsure_ = false;
  time_point unsure_until_{};
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_REQUESTS_SENT_LOG_H_
