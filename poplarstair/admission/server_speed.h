// How many requests a backend server bears now, from its own behaviour.
#ifndef POPLARSTAIR_ADMISSION_SERVER_SPEED_H_
#define POPLARSTAIR_ADMISSION_SERVER_SPEED_H_

#include <cstdint>

#include "poplarstair/core/time.h"

namespace poplarstair {

/// A request that takes this many times the usual may show a cold server.
inline constexpr double kSlowFactor = 2.5;

/// A server begins with a limit of one, as if cold. A sequential test of its
/// service times proves that it is warm, which raises the limit; one refusal or
/// clearly slower request drops it.
class server_speed {
 public:
  explicit server_speed(uint32_t slots) : slots_(slots) {}

  void OnCompleted(duration service_time);
  void OnRefused();
  /// A request that still runs has taken this long.
  void OnRunning(duration age);
  /// The usual service time as another instance knows it; taken only while it
  /// is not known here.
  void OnHint(duration usual);
  void SetSlots(uint32_t slots);

  /// At least 1, at most the slots.
  uint32_t Limit() const;
  /// Mean service time while warm; zero: not known.
  duration Usual() const { return usual_; }

 private:
  /// `time` as a multiple of the usual.
  double Relative(duration time) const;
  /// True if a request of this time may show a cold server.
  bool IsSign(duration time) const;
  void Learn(duration service_time);
  void Follow(duration service_time, double weight);
  void Drop();

  uint32_t slots_;
  uint32_t limit_ = 1;
  int successes_ = 0;
  /// Logarithm of how much likelier the service times are from a cold server.
  /// Bounded both ways, so that a server that changes is noticed soon.
  double cold_evidence_ = 0;
  /// True after enough requests, or once another instance has told.
  bool is_usual_known_ = false;
  /// Requests that the usual time has been learned from, up to a bound.
  int samples_ = 0;
  int samples_in_doubt_ = 0;
  double mean_in_doubt_ = 0;
  duration usual_{};
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_ADMISSION_SERVER_SPEED_H_
