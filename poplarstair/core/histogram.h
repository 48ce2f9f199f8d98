// A histogram of durations, shown in Prometheus text format.
#ifndef POPLARSTAIR_CORE_HISTOGRAM_H_
#define POPLARSTAIR_CORE_HISTOGRAM_H_

#include <array>
#include <cstdint>
#include <string>
#include <utility>

#include "poplarstair/core/time.h"

namespace poplarstair {

/// Buckets double from 1 ms: enough to tell a latency target that was met from
/// one that was missed, at one increment an observation.
class latency_histogram {
 public:
  latency_histogram(std::string name, std::string help)
      : name_(std::move(name)), help_(std::move(help)) {}

  void Observe(duration value);

  const std::string& Name() const { return name_; }
  uint64_t Count() const;
  std::string ToPrometheusText() const;

 private:
  /// The last one has no upper bound; the one before ends at 4 s.
  static constexpr size_t kBuckets = 14;

  std::string name_;
  std::string help_;
  std::array<uint64_t, kBuckets> counts_{};
  duration sum_{};
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_CORE_HISTOGRAM_H_
