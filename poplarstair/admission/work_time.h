// How long a backend server works on a request, learnt from few samples of many
// instances.
#ifndef POPLARSTAIR_ADMISSION_WORK_TIME_H_
#define POPLARSTAIR_ADMISSION_WORK_TIME_H_

#include <algorithm>
#include <cmath>

#include "poplarstair/core/time.h"

namespace poplarstair {

/// A mean over recent samples, whose number fades with their age.
struct work_time_samples {
  /// Microseconds.
  double mean = 0;
  double count = 0;

  friend bool operator==(const work_time_samples&,
                         const work_time_samples&) = default;
};

/// Answers uneven servers: an instance sees a few requests a second of each
/// server, while a domain sees enough to tell their speeds within a second or
/// two.
///
/// Deterministic: it reads no clock.
class work_time {
 public:
  /// Adds a request of the own clients.
  void AddOwn(time_point now, duration lifetime, double sample_us) {
    own_ = Own(now, lifetime);
    Add(own_, sample_us, 1);
    own_at_ = now;
  }

  /// Adds what another instance has told of its own clients' requests.
  void AddPeer(time_point now, duration lifetime,
               const work_time_samples& told) {
    if (!(told.mean > 0) || !(told.count > 0)) return;
    peers_ = Faded(peers_, now - peers_at_, lifetime);
    Add(peers_, told.mean, std::min(told.count, kMostSamples));
    peers_at_ = now;
  }

  /// Samples of the own clients alone: what is told to other instances.
  work_time_samples Own(time_point now, duration lifetime) const {
    return Faded(own_, now - own_at_, lifetime);
  }

  /// All samples, drawn towards `usual_us` by the weight of a few samples, so
  /// that chance does not make even servers look uneven. Never less than half
  /// of it: a full or broken server refuses requests at once, which looks like
  /// a fast answer.
  work_time_samples Combined(time_point now, duration lifetime,
                             double usual_us) const {
    const work_time_samples own = Own(now, lifetime);
    const work_time_samples peers = Faded(peers_, now - peers_at_, lifetime);
    const double count = own.count + peers.count;
    const double sum = own.mean * own.count + peers.mean * peers.count;
    const double mean =
        (sum + usual_us * kUsualWeight) / (count + kUsualWeight);
    return {std::max(mean, usual_us / 2), count};
  }

 private:
  /// Beyond these, a new sample counts as one of so many: a server that turns
  /// slow is noticed within some ten requests.
  static constexpr double kMostSamples = 12;
  /// Weight of the usual time, in samples. The work of single requests varies
  /// by half of its mean, so that fewer samples prove little.
  static constexpr double kUsualWeight = 3;

  static work_time_samples Faded(work_time_samples samples, duration age,
                                 duration lifetime) {
    samples.count *= std::exp(-ToSeconds(age) / ToSeconds(lifetime));
    return samples;
  }

  static void Add(work_time_samples& samples, double mean, double count) {
    const double kept = std::min(samples.count, kMostSamples - 1);
    samples.mean = (samples.mean * kept + mean * count) / (kept + count);
    samples.count = std::min(kept + count, kMostSamples);
  }

  work_time_samples own_;
  work_time_samples peers_;
  time_point own_at_{};
  time_point peers_at_{};
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_ADMISSION_WORK_TIME_H_
