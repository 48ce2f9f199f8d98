// Measures how fast accepted edits come into force and what it costs.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "poplarstair/config/config_publisher.h"
#include "poplarstair/core/file.h"
#include "poplarstair/testing/config_fleet.h"

ABSL_FLAG(uint64_t, seed, 1, "seed of every run");
ABSL_FLAG(std::vector<std::string>, sizes,
          (std::vector<std::string>{"7", "70", "680", "6800"}),
          "numbers of instances of the spread table");
ABSL_FLAG(size_t, large_instances, 12,
          "instances of the run with 50,000 backend servers; 0 for none");

namespace {

using namespace poplarstair;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kSite = "mu-north";
/// 5,200 edits a day.
constexpr duration kEditInterval = milliseconds(16'615);
constexpr int kEdits = 12;
constexpr double kInForceBound = 18.0;        // seconds
constexpr double kBytesPerNodeBound = 16384;  // bytes a second

/// Address of server `index`, without its port.
std::string ServerAddress(size_t index) {
  return ip_address::FromV4(0x7f000000u + static_cast<uint32_t>(index) + 1)
      .ToString();
}

void AppendServer(std::string& text, size_t index) {
  const std::string address = ServerAddress(index);
  text.append("[services.feed.backend_servers.s")
      .append(std::to_string(index))
      .append("]\nfailure_domain = \"d0\"\naddress = \"")
      .append(address)
      .append(":7001\"\nrequest_address = \"")
      .append(address)
      .append(":7002\"\nslots = 2\nconnections = 2000\n");
}

std::string BaseText(size_t servers) {
  std::string text =
      "format = 1\n[failure_domains.d0]\n[services.feed]\n"
      "addresses = [\"10.0.0.1:443\"]\n";
  for (size_t i = 0; i < servers; ++i) AppendServer(text, i);
  return text;
}

std::string OverlayText(int edit, size_t servers) {
  return "[services.feed.backend_servers.s" +
         std::to_string(static_cast<size_t>(edit) % servers) +
         "]\nweight = 2.0\n";
}

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<size_t>(share * last)];
}

/// One parsed configuration for all instances.
class loader_cache {
 public:
  effective_config_ptr Load(const config_files& files) {
    effective_config_ptr& config = configs_[files.number];
    if (config) return config;
    auto made = std::make_shared<effective_config>(LoadConfig(
        {"base", files.base}, {"overlay", files.overlay}, files.site));
    made->number = files.number;
    config = std::move(made);
    return config;
  }

 private:
  std::map<generation, effective_config_ptr> configs_;
};

struct spread_row {
  size_t instances = 0;
  std::vector<double> times;  // seconds until in force everywhere, per edit
  double mean_bytes = 0;      // a node and second
  double worst_bytes = 0;     // a node and second, worst 10 s
  double calls = 0;           // a second, all nodes
  int reversions = 0;
  int never = 0;
  double run_seconds = 0;
};

spread_row MeasureSpread(size_t instances, uint64_t seed) {
  const auto started = std::chrono::steady_clock::now();
  spread_row row;
  row.instances = instances;
  event_queue queue;
  virtual_platform platform(queue, {});
  config_fleet_settings settings;
  settings.instances = instances;
  settings.failure_domains = instances >= 680 ? 10 : 3;
  settings.agent.site = kSite;
  settings.seed = seed;
  loader_cache loaded;
  settings.load = [&loaded](const config_files& files) {
    return loaded.Load(files);
  };
  std::vector<generation> highest(instances);
  std::vector<size_t> count_of(kEdits + 2);
  std::vector<time_point> everywhere(kEdits + 2, kNever);
  config_fleet fleet(
      queue, platform, settings, [&](size_t index, generation number) {
        if (number < highest[index]) ++row.reversions;
        for (generation g = highest[index] + 1; g <= number; ++g) {
          if (++count_of[g] == instances) {
            everywhere[g] = queue.Now();
          }
        }
        highest[index] = std::max(highest[index], number);
      });
  const platform_caller caller = [&](const platform_request& request) {
    return platform.CallNow(request);
  };
  constexpr size_t kServers = 18;
  const std::string base = BaseText(kServers);
  std::vector<time_point> accepted(kEdits + 2);
  std::vector<uint64_t> window_start(instances);
  uint64_t calls_before = 0;
  const auto publish = [&](int edit) {
    const generation number =
        PublishEdit({kSite,
                     {"base", base},
                     {"overlay", OverlayText(edit, kServers)},
                     "edit" + std::to_string(edit),
                     "bench",
                     static_cast<generation>(edit)},
                    caller);
    accepted[number] = queue.Now();
  };
  publish(0);
  queue.RunFor(seconds(30));
  calls_before = platform.Calls();
  fleet.Bus().ResetTraffic();
  const time_point begin = queue.Now();
  constexpr duration kWindow = seconds(10);
  time_point next_window = begin + kWindow;
  time_point next_edit = begin + seconds(2);
  int edit = 1;
  const time_point end = begin + kEditInterval * kEdits;
  while (queue.Now() < end) {
    queue.RunUntil(std::min({next_window, next_edit, end}));
    if (queue.Now() == next_edit && edit < kEdits) {
      publish(edit++);
      next_edit = edit < kEdits ? next_edit + kEditInterval : end;
    }
    if (queue.Now() == next_window) {
      for (size_t i = 0; i < instances; ++i) {
        const uint64_t sent = fleet.BytesSent(i);
        const double rate =
            static_cast<double>(sent - window_start[i]) / ToSeconds(kWindow);
        row.worst_bytes = std::max(row.worst_bytes, rate);
        window_start[i] = sent;
      }
      next_window += kWindow;
    }
  }
  const double length = ToSeconds(end - begin);
  for (size_t i = 0; i < instances; ++i) {
    row.mean_bytes += static_cast<double>(fleet.BytesSent(i)) / length /
                      static_cast<double>(instances);
  }
  row.calls = static_cast<double>(platform.Calls() - calls_before) / length;
  for (generation g = 2; g <= static_cast<generation>(kEdits); ++g) {
    if (everywhere[g] == kNever) {
      ++row.never;
    } else {
      row.times.push_back(ToSeconds(everywhere[g] - accepted[g]));
    }
  }
  row.run_seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - started)
          .count();
  return row;
}

/// Seconds until an accepted edit is in force on all 7 instances; with
/// `goes_down`, the platform is down from the moment that it has answered.
double MeasureDeployment(const std::string& sample, bool goes_down,
                         uint64_t seed) {
  event_queue queue;
  virtual_platform platform(queue, {});
  config_fleet_settings settings;
  settings.agent.site = sample;
  settings.seed = seed;
  const auto delay = sample == "ost" ? std::chrono::microseconds(1500)
                                     : std::chrono::microseconds(1000);
  settings.bus.delay_between_domains = delay;
  std::vector<time_point> in_force(settings.instances, kNever);
  config_fleet fleet(queue, platform, settings,
                     [&](size_t index, generation number) {
                       if (number == 2) in_force[index] = queue.Now();
                     });
  const std::string folder = "samples/" + sample + "/";
  const std::string base = ReadFile(folder + "base.toml");
  const std::string overlay = ReadFile(folder + "overlay.toml");
  const platform_caller caller = [&](const platform_request& request) {
    return platform.CallNow(request);
  };
  PublishEdit({sample, {"base", base}, {"overlay", overlay}, "a", "bench", 0},
              caller);
  queue.RunFor(seconds(10) + milliseconds(static_cast<int64_t>(seed) * 37));
  const time_point start = queue.Now();
  PublishEdit({sample,
               {"base", base},
               {"overlay", overlay + "\n[limits]\nmax_flows = 1000\n"},
               "b",
               "bench",
               1},
              caller);
  if (goes_down) platform.SetDown(true);
  queue.RunFor(seconds(60));
  const time_point last = *std::max_element(in_force.begin(), in_force.end());
  return last == kNever ? 1e9 : ToSeconds(last - start);
}

int PrintDeployments(uint64_t first_seed) {
  constexpr uint64_t kRuns = 20;
  constexpr double kBound = 5.0;  // seconds
  int violations = 0;
  std::printf("%9s %9s %10s\n", "SITE", "PLATFORM", "MAX s");
  for (const std::string sample : {"mu-north", "ost"}) {
    for (const bool goes_down : {false, true}) {
      double most = 0;
      for (uint64_t seed = first_seed; seed < first_seed + kRuns; ++seed) {
        most = std::max(most, MeasureDeployment(sample, goes_down, seed));
      }
      std::printf("%9s %9s %10.3f\n", sample.c_str(),
                  goes_down ? "goes down" : "up", most);
      if (most > kBound) ++violations;
    }
  }
  return violations;
}

struct large_row {
  size_t text_bytes = 0;
  size_t largest_object = 0;
  double first_load = 0;     // seconds until all have it, from nothing
  double edit = 0;           // seconds until an edit is in force everywhere
  double edit_bytes = 0;     // a node and second, worst node over 10 s
  double restart = 0;        // seconds until a restarted instance has it again
  double restart_bytes = 0;  // a second, worst sender over 10 s meanwhile
};

/// 50,000 backend servers and 14,000 addresses on `instances`.
large_row MeasureLarge(size_t instances, uint64_t seed) {
  large_row row;
  event_queue queue;
  virtual_platform platform(queue, {});
  config_fleet_settings settings;
  settings.instances = instances;
  settings.agent.site = kSite;
  settings.seed = seed;
  loader_cache loaded;
  settings.load = [&loaded](const config_files& files) {
    return loaded.Load(files);
  };
  size_t count = 0;
  config_fleet fleet(queue, platform, settings,
                     [&](size_t, generation) { ++count; });
  const auto run_until_all = [&](size_t wanted) {
    const time_point start = queue.Now();
    count = 0;
    while (count < wanted && queue.Now() - start < seconds(600)) {
      queue.RunFor(milliseconds(10));
    }
    return ToSeconds(queue.Now() - start);
  };
  const platform_caller caller = [&](const platform_request& request) {
    return platform.CallNow(request);
  };
  const auto worst_bytes = [&](duration over) {
    double worst = 0;
    for (size_t i = 0; i < instances; ++i) {
      const double rate =
          static_cast<double>(fleet.BytesSent(i)) / ToSeconds(over);
      worst = std::max(worst, rate);
    }
    return worst;
  };
  constexpr size_t kServers = 50'000;
  std::string base = BaseText(kServers);
  std::string addresses;
  for (uint32_t i = 1; i <= 14'000; ++i) {
    addresses +=
        "  \"" + ip_address::FromV4(0x0a000000u + i).ToString() + ":443\",\n";
  }
  base.replace(base.find("[\"10.0.0.1:443\"]"), 16, "[\n" + addresses + "]");
  row.text_bytes = base.size();
  PublishEdit({kSite, {"base", base}, {"overlay", ""}, "a", "bench", 0},
              caller);
  row.first_load = run_until_all(instances);
  queue.RunFor(seconds(20));
  fleet.Bus().ResetTraffic();
  const std::string line = "address = \"" + ServerAddress(30'000) + ":7001";
  base.replace(base.find(line) + line.size() - 4, 4, "7003");
  PublishEdit({kSite, {"base", base}, {"overlay", ""}, "b", "bench", 1},
              caller);
  const time_point edited = queue.Now();
  row.edit = run_until_all(instances);
  queue.RunUntil(edited + seconds(10));
  row.edit_bytes = worst_bytes(seconds(10));
  fleet.Crash(0);
  queue.RunFor(seconds(1));
  fleet.Start(0);
  fleet.Bus().ResetTraffic();
  const time_point restarted = queue.Now();
  row.restart = run_until_all(1);
  queue.RunUntil(std::max(queue.Now(), restarted + seconds(10)));
  row.restart_bytes = worst_bytes(queue.Now() - restarted);
  row.largest_object = platform.LargestObject();
  return row;
}

int PrintLarge(const large_row& row) {
  std::printf(
      "large configuration: %zu bytes of text, largest object %zu bytes\n"
      "  first load %.1f s, edit in force %.3f s, worst sender %.0f B/s\n"
      "  restart without disk %.1f s, worst sender %.0f B/s\n",
      row.text_bytes, row.largest_object, row.first_load, row.edit,
      row.edit_bytes, row.restart, row.restart_bytes);
  int violations = 0;
  if (row.edit > kInForceBound) ++violations;
  if (row.edit_bytes > kBytesPerNodeBound) ++violations;
  if (row.restart_bytes > kBytesPerNodeBound) ++violations;
  if (row.largest_object >= kMaxObjectBytes) ++violations;
  return violations;
}

int PrintSpread(const std::vector<spread_row>& rows) {
  int violations = 0;
  std::printf("%9s %8s %8s %8s %6s %12s %12s %10s %10s %8s\n", "INSTANCES",
              "P50 s", "P99 s", "MAX s", "NEVER", "B/s MEAN", "B/s WORST",
              "CALLS/s", "REVERSIONS", "RUN s");
  for (const spread_row& row : rows) {
    const double most = Percentile(row.times, 1.0);
    std::printf("%9zu %8.3f %8.3f %8.3f %6d %12.0f %12.0f %10.2f %10d %8.1f\n",
                row.instances, Percentile(row.times, 0.5),
                Percentile(row.times, 0.99), most, row.never, row.mean_bytes,
                row.worst_bytes, row.calls, row.reversions, row.run_seconds);
    violations += row.never + row.reversions;
    if (most > kInForceBound) ++violations;
    if (row.worst_bytes > kBytesPerNodeBound) ++violations;
  }
  for (size_t i = 1; i < rows.size(); ++i) {
    const double nodes = static_cast<double>(rows[i].instances) /
                         static_cast<double>(rows[i - 1].instances);
    const double calls = rows[i].calls / rows[i - 1].calls;
    std::printf("calls grow by %.2f while the fleet grows by %.2f\n", calls,
                nodes);
    if (calls >= nodes) ++violations;
  }
  return violations;
}

}  // namespace

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  const uint64_t seed = absl::GetFlag(FLAGS_seed);
  std::vector<spread_row> rows;
  for (const std::string& size : absl::GetFlag(FLAGS_sizes)) {
    rows.push_back(MeasureSpread(std::stoul(size), seed));
  }
  int violations = PrintSpread(rows);
  violations += PrintDeployments(seed);
  const size_t large = absl::GetFlag(FLAGS_large_instances);
  if (large > 0) violations += PrintLarge(MeasureLarge(large, seed));
  std::printf(
      "result name=bench_config violations=%d seed=%llu largest=%zu "
      "max_seconds=%.3f worst_bytes=%.0f calls=%.2f\n",
      violations, static_cast<unsigned long long>(seed), rows.back().instances,
      Percentile(rows.back().times, 1.0), rows.back().worst_bytes,
      rows.back().calls);
  return violations == 0 ? 0 : 1;
}
