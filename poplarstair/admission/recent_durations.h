// The latest of a series of measured durations.
#ifndef POPLARSTAIR_ADMISSION_RECENT_DURATIONS_H_
#define POPLARSTAIR_ADMISSION_RECENT_DURATIONS_H_

#include <algorithm>
#include <array>
#include <numeric>

#include "poplarstair/core/time.h"

namespace poplarstair {

class recent_durations {
 public:
  void Add(duration added) {
    kept_[next_] = added;
    next_ = (next_ + 1) % kMost;
    count_ = std::min(count_ + 1, kMost);
  }

  /// Number of durations that are kept.
  size_t Count() const { return count_; }
  duration Sum() const {
    return std::accumulate(kept_.begin(), kept_.end(), duration::zero());
  }
  /// Zero if there are none, as for Longest.
  duration Mean() const {
    return count_ == 0 ? duration::zero()
                       : Sum() / static_cast<int64_t>(count_);
  }
  duration Longest() const {
    return *std::max_element(kept_.begin(), kept_.end());
  }

 private:
  /// A mean over so many is accurate to about a sixth of itself if the
  /// durations are exponentially distributed.
  static constexpr size_t kMost = 32;

  /// Zero where nothing has been added.
  std::array<duration, kMost> kept_{};
  size_t count_ = 0;
  size_t next_ = 0;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_ADMISSION_RECENT_DURATIONS_H_
