// A token bucket that bounds the bytes sent in a second.
#ifndef POPLARSTAIR_MEMBERSHIP_BYTE_BUDGET_H_
#define POPLARSTAIR_MEMBERSHIP_BYTE_BUDGET_H_

#include <algorithm>
#include <cstdint>

#include "poplarstair/core/time.h"

namespace poplarstair {

/// Holds half a second's worth at most. May be overdrawn by one message, which
/// is then paid off.
class byte_budget {
 public:
  explicit byte_budget(uint64_t bytes_per_s)
      : bytes_per_s_(static_cast<int64_t>(bytes_per_s)),
        left_(bytes_per_s_ / 2) {}

  void Refill(duration elapsed) {
    constexpr int64_t kMicrosecondsPerSecond = 1'000'000;
    const int64_t us = std::min<int64_t>(elapsed.count(), kMaxElapsedUs);
    // The remainder is kept, so that short steps add up.
    remainder_ += us * bytes_per_s_;
    left_ += remainder_ / kMicrosecondsPerSecond;
    remainder_ %= kMicrosecondsPerSecond;
    left_ = std::min(left_, bytes_per_s_ / 2);
  }
  void Spend(size_t bytes) { left_ -= static_cast<int64_t>(bytes); }
  bool IsSpent() const { return left_ <= 0; }

 private:
  static constexpr int64_t kMaxElapsedUs = 10'000'000;

  const int64_t bytes_per_s_;
  int64_t left_;
  int64_t remainder_ = 0;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_MEMBERSHIP_BYTE_BUDGET_H_
