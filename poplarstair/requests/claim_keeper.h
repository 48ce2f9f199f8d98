// One instance's votes on which instance may execute a request.
#ifndef POPLARSTAIR_REQUESTS_CLAIM_KEEPER_H_
#define POPLARSTAIR_REQUESTS_CLAIM_KEEPER_H_

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <functional>
#include <optional>

#include "poplarstair/core/time.h"
#include "poplarstair/requests/request_message.h"

namespace poplarstair {

/// Casts one vote for each request and never changes it. Casts no vote while it
/// may have lost earlier votes, as after a restart.
class claim_keeper {
 public:
  struct settings {
    duration remember = std::chrono::minutes(5);
    size_t max_votes = 200'000;
  };

  explicit claim_keeper(const settings& limits) : settings_(limits) {}

  /// Returns the holder that this keeper votes for: the one that it voted for
  /// before, otherwise `wanted`. Returns nothing for a new key while votes may
  /// be lost or while `max_votes` votes are stored.
  std::optional<claim_holder> Vote(time_point now, const claim_message& wanted);

  /// Records an empty vote for `key`, unless there is a vote already. Used when
  /// another instance knows of a claim on `key` for which this instance may
  /// have voted before its restart.
  void Void(time_point now, const request_key& key);

  /// True once every earlier vote that could still matter is known.
  bool IsSynced() const { return synced_; }
  void SetSynced(bool synced) { synced_ = synced; }

  void Forget(time_point now);
  void ForEach(const std::function<void(const claim_entry&)>& visit) const;
  size_t Size() const { return votes_.size(); }

 private:
  struct aged_key {
    time_point forget_at;
    request_key key;
  };

  void Put(time_point now, const request_key& key, const claim_holder& holder);

  const settings settings_;
  bool synced_ = false;
  absl::flat_hash_map<request_key, claim_holder> votes_;
  std::deque<aged_key> by_age_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_REQUESTS_CLAIM_KEEPER_H_
