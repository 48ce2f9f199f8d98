// Measures how often waiting requests get a slot, and of which priority they
// are.
#ifndef POPLARSTAIR_ADMISSION_SLOT_SUPPLY_H_
#define POPLARSTAIR_ADMISSION_SLOT_SUPPLY_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>

#include "poplarstair/admission/recent_durations.h"
#include "poplarstair/core/time.h"

namespace poplarstair {

/// Predicts the wait of a request from the latest starts of waiting requests.
/// Before the first start nothing is known, and no wait is predicted.
///
/// Deterministic: it reads no clock and does no I/O.
class slot_supply {
 public:
  /// A request begins to wait.
  void OnWaiting(time_point now) {
    if (since_ == kNever) since_ = now;
  }
  /// A waiting request has got a slot.
  void OnStarted(time_point now, uint32_t priority) {
    intervals_.Add(now - since_);
    since_ = now;
    priorities_.push_back(priority);
    if (priorities_.size() > intervals_.Count()) priorities_.pop_front();
  }
  /// No request waits any more.
  void OnNoneWaiting() { since_ = kNever; }

  /// Expected wait behind `ahead` others if requests of higher priorities (of
  /// lower numbers) go on to come as they did lately; duration::max() if those
  /// have taken every slot.
  duration ExpectedWait(time_point now, size_t ahead, uint32_t priority) const {
    if (ahead == 0 || priorities_.empty()) return duration::zero();
    const double taken = ShareOfHigher(priority);
    if (taken == 1) return duration::max();
    return std::chrono::duration_cast<duration>(
        Interval(now) * static_cast<double>(ahead) / (1 - taken));
  }

  /// The shortest wait behind `ahead` others that is compatible with what has
  /// been measured: two standard errors below the mean, if slots come free at
  /// random times.
  duration ShortestWait(time_point now, size_t ahead) const {
    if (priorities_.empty()) return duration::zero();
    const double share =
        1 - 2 / std::sqrt(static_cast<double>(priorities_.size()));
    return std::chrono::duration_cast<duration>(
        Interval(now) * static_cast<double>(ahead) * std::max(share, 0.0));
  }

 private:
  /// Least share of the slots that higher priorities take which is compatible
  /// with the latest starts: two standard errors below what was counted.
  double ShareOfHigher(uint32_t priority) const {
    const auto higher =
        std::count_if(priorities_.begin(), priorities_.end(),
                      [priority](uint32_t p) { return p < priority; });
    const auto count = static_cast<double>(priorities_.size());
    const double share = static_cast<double>(higher) / count;
    return std::max(0.0, share - 2 * std::sqrt(share * (1 - share) / count));
  }

  /// Mean time between two starts. A wait for the next one that exceeds it
  /// counts as one interval more, so that it grows while no slot comes free.
  duration Interval(time_point now) const {
    const duration mean = intervals_.Mean();
    if (since_ == kNever) return mean;
    const auto count = static_cast<int64_t>(intervals_.Count());
    return std::max(mean, (intervals_.Sum() + (now - since_)) / (count + 1));
  }

  recent_durations intervals_;
  /// Priorities of the same starts.
  std::deque<uint32_t> priorities_;
  /// The last start, or the begin of the wait if that was later; kNever while
  /// none waits.
  time_point since_ = kNever;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_ADMISSION_SLOT_SUPPLY_H_
