#include "poplarstair/admission/work_time.h"

#include <criterion/criterion.h>

#include <array>
#include <memory>
#include <vector>

#include "poplarstair/admission/server_estimates.h"
#include "poplarstair/core/random.h"

using namespace poplarstair;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr time_point kStart{seconds(100)};
constexpr duration kLifetime = seconds(4);
constexpr double kUsual = 10'000;

}  // namespace

Test(work_time, is_the_usual_one_without_samples) {
  const work_time_samples known =
      work_time().Combined(kStart, kLifetime, kUsual);
  cr_assert_eq(known.mean, kUsual);
  cr_assert_eq(known.count, 0);
}

// A few requests with little work made even servers look uneven.
Test(work_time, few_samples_move_it_little) {
  work_time server;
  server.AddOwn(kStart, kLifetime, 2 * kUsual);
  cr_assert_lt(server.Combined(kStart, kLifetime, kUsual).mean, 1.3 * kUsual);
  for (int i = 0; i < 30; ++i) server.AddOwn(kStart, kLifetime, 2 * kUsual);
  cr_assert_gt(server.Combined(kStart, kLifetime, kUsual).mean, 1.7 * kUsual);
}

Test(work_time, follows_a_server_that_turns_slow_within_some_ten_requests) {
  work_time server;
  for (int i = 0; i < 100; ++i) server.AddOwn(kStart, kLifetime, kUsual);
  for (int i = 0; i < 12; ++i) server.AddOwn(kStart, kLifetime, 4 * kUsual);
  cr_assert_gt(server.Combined(kStart, kLifetime, kUsual).mean, 2 * kUsual);
}

Test(work_time, is_forgotten) {
  work_time server;
  for (int i = 0; i < 12; ++i) server.AddOwn(kStart, kLifetime, 8 * kUsual);
  const time_point later = kStart + 5 * kLifetime;
  cr_assert_lt(server.Combined(later, kLifetime, kUsual).mean, 1.3 * kUsual);
}

// A full server answers 503 at once, and drew all flows.
Test(work_time, refusals_at_once_make_a_server_at_most_twice_as_fast) {
  work_time server;
  for (int i = 0; i < 100; ++i) server.AddOwn(kStart, kLifetime, 0);
  cr_assert_geq(server.Combined(kStart, kLifetime, kUsual).mean, kUsual / 2);
}

// Refusals counted as short work, and drew nearly all flows to one server.
Test(work_time, refusals_at_once_are_no_samples) {
  server_estimates estimates{estimate_settings()};
  estimates.Resize(2);
  for (int i = 0; i < 50; ++i) {
    estimates.OnRequestDone(kStart, 0, milliseconds(20));
    estimates.OnRequestDone(kStart, 1, milliseconds(i % 3 == 0 ? 20 : 1));
  }
  const double full = estimates.WorkTime(kStart, 1).mean;
  cr_assert_gt(full, 0.8 * estimates.WorkTime(kStart, 0).mean, "%.0f", full);
}

// What others have reported must not be reported on: it would never be
// forgotten.
Test(work_time, reports_only_its_own_samples) {
  work_time server;
  server.AddPeer(kStart, kLifetime, {4 * kUsual, 9});
  cr_assert_eq(server.Own(kStart, kLifetime).count, 0);
  cr_assert_gt(server.Combined(kStart, kLifetime, kUsual).mean, 2 * kUsual);
  // Values that are out of range change nothing.
  const work_time before = server;
  server.AddPeer(kStart, kLifetime, {-5, 9});
  server.AddPeer(kStart, kLifetime, {kUsual, 0});
  cr_assert_eq(server.Combined(kStart, kLifetime, kUsual),
               before.Combined(kStart, kLifetime, kUsual));
}

namespace {

constexpr size_t kServers = 30;
constexpr size_t kInstances = 22;
constexpr std::array<double, 3> kSpeeds = {0.6, 1, 1.6};

double TrueWork(size_t server) { return kUsual / kSpeeds[server % 3]; }

/// Instances of one domain that measure the servers and tell each other as
/// digests do: each tells eight servers in turn to three others.
class domain_of_instances {
 public:
  domain_of_instances() {
    instances_.resize(kInstances);
    for (size_t i = 0; i < kInstances; ++i) Restart(i);
  }

  /// Each instance has `per_second` requests a second.
  void RunFor(duration length, int per_second) {
    const duration round = milliseconds(250);
    for (duration t{}; t < length; t += round) {
      now_ += round;
      for (const auto& e : instances_) Measure(*e, per_second / 4);
      for (size_t i = 0; i < instances_.size(); ++i) Tell(i);
    }
  }

  /// Replaces an instance by one that knows nothing.
  void Restart(size_t instance) {
    auto fresh = std::make_unique<server_estimates>(estimate_settings());
    fresh->Resize(kServers);
    for (uint32_t row = 0; row < kServers; ++row) fresh->SetServer(row, 0, 2);
    instances_[instance] = std::move(fresh);
  }

  /// Servers whose speed class the instance does not tell from the others'.
  size_t Mistaken(size_t instance) const {
    std::array<double, 3> sums{};
    for (uint32_t row = 0; row < kServers; ++row) {
      sums[row % 3] += Work(instance, row) / (kServers / 3.0);
    }
    size_t mistaken = 0;
    for (uint32_t row = 0; row < kServers; ++row) {
      const double work = Work(instance, row);
      const bool is_slow = work > (sums[0] + sums[1]) / 2;
      const bool is_fast = work < (sums[1] + sums[2]) / 2;
      mistaken += (is_slow != (row % 3 == 0)) || (is_fast != (row % 3 == 2));
    }
    return mistaken;
  }

  double Work(size_t instance, uint32_t row) const {
    return instances_[instance]->WorkTime(now_, row).mean;
  }

 private:
  void Measure(server_estimates& e, int requests) {
    for (int i = 0; i < requests; ++i) {
      const auto row = static_cast<uint32_t>(RandomBelow(random_, kServers));
      // The work of requests varies by half of its mean.
      const double work = TrueWork(row) * (0.5 + RandomUnit(random_));
      const double per_slot = e.OnRequestSent(now_, row);
      e.OnRequestDone(now_, row, duration(static_cast<int64_t>(work)),
                      per_slot);
    }
  }

  void Tell(size_t from) {
    for (int told = 0; told < 3; ++told) {
      const size_t to = RandomBelow(random_, kInstances);
      if (to == from) continue;
      for (uint32_t i = 0; i < 8; ++i) {
        const uint32_t row = (next_row_ + i) % kServers;
        const auto work = instances_[from]->OwnWorkTime(now_, row);
        if (work.count >= 0.5) instances_[to]->AddPeerWorkTime(now_, row, work);
      }
    }
    next_row_ = (next_row_ + 8) % kServers;
  }

  time_point now_ = kStart;
  random_source random_{7};
  uint32_t next_row_ = 0;
  std::vector<std::unique_ptr<server_estimates>> instances_;
};

}  // namespace

// Uneven servers under even, light demand at many instances: each alone sees
// one request a second of three servers.
Test(work_time, a_domain_learns_the_speeds_within_two_seconds) {
  domain_of_instances domain;
  domain.RunFor(seconds(2), 12);
  size_t mistaken = 0;
  for (size_t i = 0; i < kInstances; ++i) mistaken += domain.Mistaken(i);
  cr_assert_leq(mistaken, kInstances * kServers / 5, "%zu", mistaken);
}

// An instance that starts anew has to place as well as the others soon.
Test(work_time, an_instance_that_starts_anew_learns_from_the_others) {
  domain_of_instances domain;
  domain.RunFor(seconds(4), 12);
  domain.Restart(3);
  domain.RunFor(seconds(2), 12);
  cr_assert_leq(domain.Mistaken(3), kServers / 4, "%zu", domain.Mistaken(3));
}
