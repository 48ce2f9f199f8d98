#include "poplarstair/core/counters.h"

namespace poplarstair {

namespace {

constexpr std::string_view kPrefix = "poplarstair_";

std::string FamilyOf(const metric& m) {
  return m.Name().substr(0, m.Name().find('{'));
}

}  // namespace

metric& metric_registry::Counter(std::string_view name, std::string_view help) {
  return FindOrCreate(name, help, metric_kind::kCounter);
}

metric& metric_registry::Gauge(std::string_view name, std::string_view help) {
  return FindOrCreate(name, help, metric_kind::kGauge);
}

latency_histogram& metric_registry::Histogram(std::string_view name,
                                              std::string_view help) {
  const std::string full_name = std::string(kPrefix) + std::string(name);
  for (latency_histogram& h : histograms_) {
    if (h.Name() == full_name) return h;
  }
  return histograms_.emplace_back(full_name, std::string(help));
}

metric& metric_registry::FindOrCreate(std::string_view name,
                                      std::string_view help, metric_kind kind) {
  const std::string full_name = std::string(kPrefix) + std::string(name);
  for (metric& m : metrics_) {
    if (m.Name() == full_name) return m;
  }
  return metrics_.emplace_back(full_name, std::string(help), kind);
}

std::string metric_registry::ToPrometheusText() const {
  std::string text;
  std::string last_family;
  for (const metric& m : metrics_) {
    const std::string family = FamilyOf(m);
    if (family != last_family) {
      const bool is_counter = m.Kind() == metric_kind::kCounter;
      text += "# HELP " + family + " " + m.Help() + "\n";
      text += "# TYPE " + family + (is_counter ? " counter\n" : " gauge\n");
      last_family = family;
    }
    text += m.Name() + " " + std::to_string(m.Value()) + "\n";
  }
  for (const latency_histogram& h : histograms_) text += h.ToPrometheusText();
  return text;
}

}  // namespace poplarstair
