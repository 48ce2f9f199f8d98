#include "poplarstair/core/histogram.h"

#include <cstdio>
#include <numeric>

namespace poplarstair {

namespace {

constexpr duration kFirstBound = std::chrono::milliseconds(1);

std::string NumberText(double number) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.6g", number);
  return text;
}

}  // namespace

void latency_histogram::Observe(duration value) {
  size_t bucket = 0;
  for (duration bound = kFirstBound; bucket + 1 < kBuckets && value > bound;
       bound *= 2) {
    ++bucket;
  }
  ++counts_[bucket];
  sum_ += value;
}

uint64_t latency_histogram::Count() const {
  return std::accumulate(counts_.begin(), counts_.end(), uint64_t{0});
}

std::string latency_histogram::ToPrometheusText() const {
  std::string text =
      "# HELP " + name_ + " " + help_ + "\n# TYPE " + name_ + " histogram\n";
  uint64_t total = 0;
  duration bound = kFirstBound;
  for (size_t i = 0; i + 1 < kBuckets; ++i, bound *= 2) {
    total += counts_[i];
    text += name_ + "_bucket{le=\"" + NumberText(ToSeconds(bound)) + "\"} " +
            std::to_string(total) + "\n";
  }
  const std::string count = std::to_string(Count());
  text += name_ + "_bucket{le=\"+Inf\"} " + count + "\n";
  text += name_ + "_sum " + NumberText(ToSeconds(sum_)) + "\n";
  return text + name_ + "_count " + count + "\n";
}

}  // namespace poplarstair
