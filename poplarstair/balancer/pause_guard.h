// Notices that the instance was paused, and holds work until it knows better.
#ifndef POPLARSTAIR_BALANCER_PAUSE_GUARD_H_
#define POPLARSTAIR_BALANCER_PAUSE_GUARD_H_

#include <deque>
#include <functional>

#include "poplarstair/core/ids.h"
#include "poplarstair/core/time.h"

namespace poplarstair {

struct pause_guard_settings {
  /// Time without any event after which the instance must have been paused.
  duration pause_limit = std::chrono::seconds(1);
  /// How long work is held at most when nobody confirms the configuration: an
  /// instance that is cut off goes on serving what it can.
  duration hold_limit = std::chrono::seconds(1);
};

/// After a pause the configuration in force may be old: a failure domain may
/// have been withdrawn meanwhile. Until the platform has confirmed the
/// generation, or the hold limit is over, packets are dropped (callers send
/// them again) and the events of requests are held back in order.
class pause_guard {
 public:
  using held_event = std::function<void(time_point)>;

  explicit pause_guard(const pause_guard_settings& settings)
      : settings_(settings) {}

  /// To be called first with every event; true if a pause has just ended, so
  /// that the generation has to be asked for.
  bool OnEvent(time_point now);

  /// The platform's generation, asked for after the pause.
  void OnGeneration(generation accepted) { wanted_ = accepted; }

  bool IsHolding() const { return is_holding_; }
  /// Keeps an event for later; only while holding.
  void Hold(held_event event) { held_.push_back(std::move(event)); }

  /// Ends the hold if `in_force` is confirmed or the limit is over, and runs
  /// what was held.
  void Release(time_point now, generation in_force);

 private:
  /// Above every generation: nothing is confirmed yet.
  static constexpr generation kUnconfirmed = ~generation{0};

  const pause_guard_settings settings_;
  time_point last_event_{};
  time_point hold_until_{};
  generation wanted_ = kUnconfirmed;
  bool is_holding_ = false;
  std::deque<held_event> held_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_BALANCER_PAUSE_GUARD_H_
