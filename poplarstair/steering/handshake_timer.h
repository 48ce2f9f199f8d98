// How long a handshake may take before its opening packet counts as lost.
#ifndef POPLARSTAIR_STEERING_HANDSHAKE_TIMER_H_
#define POPLARSTAIR_STEERING_HANDSHAKE_TIMER_H_

#include <algorithm>

#include "poplarstair/core/time.h"
#include "poplarstair/steering/client_timing.h"

namespace poplarstair {

/// The retransmission timeout of RFC 6298, over the handshakes of all flows. At
/// most half the time after which the client repeats the packet itself: later,
/// another server's answer would come no sooner than the client's copy.
class handshake_timer {
 public:
  /// A handshake has taken so long; not for a flow whose opening packet was
  /// sent more than once, as its answer may belong to any of them.
  void OnHandshake(duration took) {
    if (mean_ == duration::zero()) {
      mean_ = took;
      deviation_ = took / 2;
    } else {
      deviation_ += (std::chrono::abs(took - mean_) - deviation_) / 4;
      mean_ += (took - mean_) / 8;
    }
    backed_off_ = 1;
  }

  /// A handshake was overdue.
  void OnOverdue() { backed_off_ = std::min(backed_off_ * 2, kMostBackOff); }

  duration Timeout() const {
    if (mean_ == duration::zero()) return kLongest;
    const duration timeout = mean_ + std::max(kGranularity, 4 * deviation_);
    return std::min(timeout * backed_off_, kLongest);
  }

  /// Accuracy of the timers.
  static constexpr duration kGranularity = std::chrono::milliseconds(5);

 private:
  static constexpr duration kLongest = kClientRepeatTime / 2;
  /// The timeout is the longest one by then.
  static constexpr int kMostBackOff = kLongest / kGranularity;

  /// Zero before the first handshake.
  duration mean_{};
  duration deviation_{};
  int backed_off_ = 1;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_STEERING_HANDSHAKE_TIMER_H_
