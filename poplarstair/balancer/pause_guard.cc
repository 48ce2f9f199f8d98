#include "poplarstair/balancer/pause_guard.h"

#include <algorithm>
#include <utility>

namespace poplarstair {

bool pause_guard::OnEvent(time_point now) {
  const bool is_first = last_event_ == time_point{};
  const bool was_paused =
      !is_first && now - last_event_ >= settings_.pause_limit;
  last_event_ = std::max(last_event_, now);
  if (!was_paused) return false;
  is_holding_ = true;
  hold_until_ = now + settings_.hold_limit;
  wanted_ = kUnconfirmed;
  return true;
}

void pause_guard::Release(time_point now, generation in_force) {
  if (!is_holding_) return;
  if (in_force < wanted_ && now < hold_until_) return;
  is_holding_ = false;
  for (const held_event& event : std::exchange(held_, {})) event(now);
}

}  // namespace poplarstair
