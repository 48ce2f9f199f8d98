// The project's own counters and gauges, shown in Prometheus text format.
#ifndef POPLARSTAIR_CORE_COUNTERS_H_
#define POPLARSTAIR_CORE_COUNTERS_H_

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

#include "poplarstair/core/histogram.h"

namespace poplarstair {

enum class metric_kind : uint8_t { kCounter, kGauge };

/// One metric. The owner of the registry is a single task, so plain adds do.
class metric {
 public:
  metric(std::string name, std::string help, metric_kind kind)
      : name_(std::move(name)), help_(std::move(help)), kind_(kind) {}

  void Add(uint64_t amount = 1) { value_ += amount; }
  void Set(uint64_t value) { value_ = value; }

  uint64_t Value() const { return value_; }
  const std::string& Name() const { return name_; }
  const std::string& Help() const { return help_; }
  metric_kind Kind() const { return kind_; }

 private:
  std::string name_;
  std::string help_;
  metric_kind kind_;
  uint64_t value_ = 0;
};

/// All metrics of one instance. References stay valid as long as the registry.
class metric_registry {
 public:
  /// Finds the counter called `name` or creates it. `name` may end in labels,
  /// as in `packets_dropped{reason="malformed"}`; it gets the project's prefix.
  metric& Counter(std::string_view name, std::string_view help);
  metric& Gauge(std::string_view name, std::string_view help);
  latency_histogram& Histogram(std::string_view name, std::string_view help);

  /// Every metric in Prometheus text format, in order of creation.
  std::string ToPrometheusText() const;

  auto begin() const { return metrics_.begin(); }
  auto end() const { return metrics_.end(); }

 private:
  metric& FindOrCreate(std::string_view name, std::string_view help,
                       metric_kind kind);

  std::deque<metric> metrics_;
  std::deque<latency_histogram> histograms_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_CORE_COUNTERS_H_
