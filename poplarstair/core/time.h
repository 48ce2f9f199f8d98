// Time as the deterministic core sees it: always passed in, never read.
#ifndef POPLARSTAIR_CORE_TIME_H_
#define POPLARSTAIR_CORE_TIME_H_

#include <chrono>
#include <cstdint>
#include <limits>

namespace poplarstair {

/// Tag of the monotonic time line that events carry. It has no Now(): only the
/// daemon (libev) and the virtual-time drivers create time points.
struct event_clock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<event_clock>;
  static constexpr bool is_steady = true;
};

using duration = event_clock::duration;
using time_point = event_clock::time_point;

/// A time that never comes.
inline constexpr time_point kNever = time_point::max();

/// Seconds as a floating-point number, for rates.
inline double ToSeconds(duration d) {
  return std::chrono::duration<double>(d).count();
}

/// Microseconds since the start of the time line.
inline int64_t ToMicroseconds(time_point t) {
  return t.time_since_epoch().count();
}

}  // namespace poplarstair

#endif  // POPLARSTAIR_CORE_TIME_H_
