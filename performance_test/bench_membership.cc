// Measures the membership protocol in virtual time at several sizes.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <chrono>
#include <cmath>
#include <cstdio>

#include "performance_test/membership_fleet.h"

ABSL_FLAG(std::vector<std::string>, sizes,
          std::vector<std::string>({"7", "70", "680"}),
          "Numbers of instances to measure.");
ABSL_FLAG(uint64_t, seed, 1, "Seed of the random source.");

namespace poplarstair {
namespace {

using std::chrono::seconds;

// The target's budget for all control traffic of an instance, and today's.
constexpr double kTargetBytesPerS = 16'000;
constexpr double kTodayBytesPerS = 4'000;
constexpr size_t kTodayInstances = 7;
constexpr double kTodayDetectionS = 5;
constexpr double kMemoryBytes = 128e6;
/// Restarts and replacements a day at 6,800 instances.
constexpr double kRestartsPerInstanceDay = 19'000.0 / 6'800.0;
constexpr double kSecondsPerDay = 86'400;
/// Small sites would not restart anything within the phase.
constexpr double kMinRestartsPerS = 0.1;
constexpr duration kConvergenceLimit = seconds(180);

/// Above it the fleet starts with views that are whole already.
constexpr size_t kMostStartedAtOnce = 1000;

int violations = 0;

void Check(bool holds, size_t size, const char* bar) {
  if (holds) return;
  ++violations;
  std::printf("VIOLATION at %zu instances: %s\n", size, bar);
}

void CheckTraffic(const traffic_summary& t, size_t size) {
  Check(t.worst_second_bytes <= kTargetBytesPerS, size,
        "at most 16 KB in the worst second");
  if (size > kTodayInstances) return;
  Check(t.worst_window_bytes_per_s <= kTodayBytesPerS, size,
        "at most 4 KB/s in any 10 s");
}

void PrintTraffic(const char* phase, const traffic_summary& t) {
  std::printf(
      "  %-34s mean %7.0f B/s  worst 10 s %7.0f B/s  worst second %7.0f B\n",
      phase, t.mean_bytes_per_s, t.worst_window_bytes_per_s,
      t.worst_second_bytes);
}

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) return NAN;
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<size_t>(share * last)];
}

/// Runs until the views show the truth; seconds, or a negative number.
double Converge(membership_fleet& fleet, duration limit,
                traffic_summary& worst) {
  const time_point start = fleet.Queue().Now();
  while (fleet.Queue().Now() - start < limit) {
    if (fleet.IsConverged()) return ToSeconds(fleet.Queue().Now() - start);
    const traffic_summary t = fleet.RunFor(seconds(1));
    worst.worst_second_bytes =
        std::max(worst.worst_second_bytes, t.worst_second_bytes);
  }
  return -1;
}

class membership_bench {
 public:
  membership_bench(size_t size, uint64_t seed)
      : size_(size),
        domains_(size <= kTodayInstances ? 3 : 10),
        random_(seed, size),
        fleet_(size, domains_, seed) {}

  void Run() {
    std::printf("%zu instances, %zu failure domains\n", size_, domains_);
    MeasureStart();
    MeasureQuiet();
    MeasureDetection();
    MeasureLoss();
    MeasureOrdinaryDay();
    MeasurePartition();
    MeasureDomainLoss();
    MeasureMemory();
  }

 private:
  void MeasureStart() {
    if (size_ > kMostStartedAtOnce) {
      fleet_.StartKnown();
      fleet_.RunFor(seconds(20));
      Check(fleet_.IsConverged(), size_, "views are whole before the phases");
      return;
    }
    fleet_.StartAll();
    traffic_summary t;
    const double took_s = Converge(fleet_, kConvergenceLimit, t);
    std::printf(
        "  start of all at once: converged after %.0f s, worst second %.0f B\n",
        took_s, t.worst_second_bytes);
    Check(took_s >= 0, size_, "all views converge after the start");
    CheckTraffic(t, size_);
  }

  void MeasureQuiet() {
    const auto before = std::chrono::steady_clock::now();
    constexpr duration kLength = seconds(20);
    const traffic_summary t = fleet_.RunFor(kLength);
    const std::chrono::duration<double> wall =
        std::chrono::steady_clock::now() - before;
    PrintTraffic("quiet", t);
    std::printf(
        "  processor time of the simulation   %.1f us for each instance and "
        "second\n",
        wall.count() * 1e6 / ToSeconds(kLength) / static_cast<double>(size_));
    CheckTraffic(t, size_);
  }

  void MeasureDetection() {
    const size_t trials = size_ <= kTodayInstances ? 40 : size_ <= 70 ? 10 : 2;
    std::vector<double> rejoin_s;
    std::vector<double> each_s;
    for (size_t trial = 0; trial < trials; ++trial) {
      const size_t victim = RandomBelow(random_, size_);
      fleet_.Kill(victim);
      Detect(victim, each_s);
      fleet_.Start(victim);
      rejoin_s.push_back(Rejoin(victim));
      traffic_summary unused;
      Check(Converge(fleet_, kConvergenceLimit, unused) >= 0, size_,
            "all views converge after a restart");
    }
    std::printf(
        "  detection of a death, all views: p50 %.1f s  p99 %.1f s  max %.1f "
        "s\n",
        Percentile(each_s, 0.5), Percentile(each_s, 0.99),
        Percentile(each_s, 1));
    std::printf("  whole view after a restart: max %.0f s\n",
                Percentile(rejoin_s, 1));
    if (size_ <= kTodayInstances) {
      Check(Percentile(each_s, 0.99) <= kTodayDetectionS, size_,
            "a death is in all views within 5 s (p99)");
    }
  }

  /// Seconds until the instance's own view is whole.
  double Rejoin(size_t i) {
    const time_point start = fleet_.Queue().Now();
    while (fleet_.Queue().Now() - start < kConvergenceLimit) {
      fleet_.Queue().RunFor(seconds(1));
      if (fleet_.IsConverged(i)) break;
    }
    return ToSeconds(fleet_.Queue().Now() - start);
  }

  void Detect(size_t victim, std::vector<double>& each_s) {
    constexpr duration kStep = std::chrono::milliseconds(100);
    constexpr duration kLimit = seconds(60);
    const time_point start = fleet_.Queue().Now();
    std::vector<bool> has_seen(size_);
    size_t left = size_ - 1;
    while (left > 0 && fleet_.Queue().Now() - start < kLimit) {
      fleet_.Queue().RunFor(kStep);
      for (size_t i = 0; i < size_; ++i) {
        if (i == victim || has_seen[i]) continue;
        if (fleet_.StateOf(i, victim) != member_state::kDead) continue;
        has_seen[i] = true;
        --left;
        each_s.push_back(ToSeconds(fleet_.Queue().Now() - start));
      }
    }
    Check(left == 0, size_, "every view shows the death within a minute");
  }

  void MeasureLoss() {
    constexpr duration kLength = seconds(120);
    fleet_.Counts() = {};
    fleet_.Bus().Settings().loss = 0.05;
    fleet_.Bus().Settings().duplication = 0.02;
    fleet_.Bus().Settings().jitter = std::chrono::milliseconds(5);
    const traffic_summary t =
        fleet_.RunFor(size_ > 1000 ? kLength / 4 : kLength);
    fleet_.Bus().Settings() = {};
    PrintTraffic("5% loss, 2% doubled, reordered", t);
    const auto& counts = fleet_.Counts();
    std::printf("  false suspicions refuted %llu, false deaths %llu\n",
                static_cast<unsigned long long>(counts.refuted),
                static_cast<unsigned long long>(counts.false_deaths));
    Check(counts.false_deaths == 0, size_, "no false death under 5% loss");
    CheckTraffic(t, size_);
  }

  void MeasureOrdinaryDay() {
    constexpr duration kLength = seconds(60);
    const double rate =
        std::max(kMinRestartsPerS, kRestartsPerInstanceDay / kSecondsPerDay *
                                       static_cast<double>(size_));
    const auto count = static_cast<size_t>(rate * ToSeconds(kLength));
    for (size_t n = 0; n < count; ++n) {
      const size_t i = RandomBelow(random_, size_);
      const auto at = duration(static_cast<int64_t>(
          RandomBelow(random_, static_cast<uint64_t>(kLength.count()))));
      fleet_.Queue().After(at, [this, i] { Restart(i); });
    }
    const traffic_summary t = fleet_.RunFor(kLength);
    std::printf("  %zu restarts in 60 s\n", count);
    PrintTraffic("ordinary restarts", t);
    CheckTraffic(t, size_);
    fleet_.RunFor(seconds(10));
    traffic_summary unused;
    Check(Converge(fleet_, kConvergenceLimit, unused) >= 0, size_,
          "all views converge after the restarts");
  }

  void Restart(size_t i) {
    if (!fleet_.At(i).is_up) return;
    fleet_.Leave(i);
    fleet_.Queue().After(seconds(4), [this, i] { fleet_.Start(i); });
  }

  void MeasurePartition() {
    fleet_.Counts() = {};
    fleet_.CutDomain(1);
    const traffic_summary cut = fleet_.RunFor(seconds(60));
    PrintTraffic("a failure domain cut off for 60 s", cut);
    CheckTraffic(cut, size_);
    std::printf(
        "  instances that found themselves cut off: %zu of %zu; others they "
        "show dead: %zu\n",
        CountInDomain(
            [&](size_t i) { return fleet_.At(i).members->View().partitioned; }),
        CountInDomain([](size_t) { return true; }), DeadInTheirViews());
    Check(DeadInTheirViews() == 0, size_,
          "an instance that is cut off shows nobody dead");
    fleet_.Bus().Heal();
    traffic_summary healed;
    const double took_s = Converge(fleet_, kConvergenceLimit, healed);
    std::printf("  healed: converged after %.0f s, worst second %.0f B\n",
                took_s, healed.worst_second_bytes);
    Check(took_s >= 0, size_, "all views converge after a partition");
    CheckTraffic(healed, size_);
  }

  template <typename Predicate>
  size_t CountInDomain(Predicate is_counted) {
    size_t count = 0;
    for (size_t i = 0; i < size_; ++i) {
      const auto domain = fleet_.At(i).address.failure_domain;
      if (domain == failure_domain_id(1) && is_counted(i)) ++count;
    }
    return count;
  }

  size_t DeadInTheirViews() {
    size_t dead = 0;
    CountInDomain([&](size_t i) {
      for (const member& m : fleet_.At(i).members->View().members) {
        if (m.state == member_state::kDead) ++dead;
      }
      return true;
    });
    return dead;
  }

  void MeasureDomainLoss() {
    for (size_t i = 0; i < size_; ++i) {
      const auto domain = fleet_.At(i).address.failure_domain;
      if (domain == failure_domain_id(domains_)) fleet_.Kill(i);
    }
    traffic_summary t;
    const double took_s = Converge(fleet_, kConvergenceLimit, t);
    std::printf(
        "  a failure domain lost: in all views after %.0f s, worst second %.0f "
        "B\n",
        took_s, t.worst_second_bytes);
    Check(took_s >= 0, size_, "all views converge after the loss of a domain");
    CheckTraffic(t, size_);
  }

  void MeasureMemory() {
    size_t most = 0;
    for (size_t i = 0; i < size_; ++i) {
      most = std::max(most, fleet_.At(i).members->MemoryBytes());
    }
    std::printf("  memory %.1f KB an instance\n\n",
                static_cast<double>(most) / 1e3);
    Check(static_cast<double>(most) <= kMemoryBytes, size_,
          "at most 128 MB of memory");
  }

  const size_t size_;
  const size_t domains_;
  random_source random_;
  membership_fleet fleet_;
};

}  // namespace
}  // namespace poplarstair

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  // Shows the phases of a long run as they end.
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  const uint64_t seed = absl::GetFlag(FLAGS_seed);
  for (const std::string& size : absl::GetFlag(FLAGS_sizes)) {
    poplarstair::membership_bench(std::stoul(size), seed).Run();
  }
  std::printf("result name=membership violations=%d seed=%llu\n",
              poplarstair::violations, static_cast<unsigned long long>(seed));
  return poplarstair::violations == 0 ? 0 : 1;
}
