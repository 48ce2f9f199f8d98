// As of when an instance knows what the store holds.
#ifndef POPLARSTAIR_STEERING_CATALOG_TIMES_H_
#define POPLARSTAIR_STEERING_CATALOG_TIMES_H_

#include <algorithm>

#include "poplarstair/core/time.h"

namespace poplarstair {

/// On the instance's own clock; time_point{} if nothing is known.
struct catalog_times {
  /// The catalog holds every change that has to be in force by then.
  time_point covers_until{};
  /// It holds all that the backend servers had to tell by then, also if the
  /// store was slow or away.
  time_point servers_known_at{};
  /// When the store was last in touch with who told this. No evidence of what
  /// the catalog holds: a store that has fallen silent is found so seconds
  /// later.
  time_point in_touch_at{};

  /// Each of the times becomes the later one of both.
  void Advance(const catalog_times& other) {
    covers_until = std::max(covers_until, other.covers_until);
    servers_known_at = std::max(servers_known_at, other.servers_known_at);
    in_touch_at = std::max(in_touch_at, other.in_touch_at);
  }

  friend bool operator==(const catalog_times&, const catalog_times&) = default;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_STEERING_CATALOG_TIMES_H_
