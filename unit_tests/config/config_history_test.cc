#include "poplarstair/testing/config_history.h"

#include <algorithm>
#include <memory>

#include "poplarstair/config/config_error.h"
#include "poplarstair/config/config_publisher.h"
#include "poplarstair/testing/config_fleet.h"

// Included after Abseil, because the macro Test clashes with names in it.
#include <criterion/criterion.h>

using namespace poplarstair;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr size_t kInstances = 12;
constexpr size_t kDomains = 3;
constexpr const char* kBase =
    "format = 1\n[failure_domains.d0]\n[services.feed]\n"
    "addresses = [\"10.0.0.1:443\"]\n"
    "[services.feed.backend_servers.s1]\nfailure_domain = \"d0\"\n"
    "address = \"127.0.0.1:7001\"\nrequest_address = \"127.0.0.1:7002\"\n";

/// The number of slots that an overlay sets identifies its edit.
std::string OverlayOf(uint64_t edit) {
  return "[services.feed.backend_servers.s1]\nslots = " +
         std::to_string(edit + 1) + "\n";
}

failure_domain_id DomainOf(uint64_t index) {
  return IdFromName<failure_domain_id>("d" + std::to_string(index));
}

enum class planted_fault : uint8_t {
  kNone,
  /// A starting instance does not ask its peers for their generation.
  kNoJoin,
  /// The platform accepts updates whatever version they name.
  kNoVersions,
};

/// One random schedule of edits and faults.
class schedule {
 public:
  explicit schedule(uint64_t seed, planted_fault fault = planted_fault::kNone)
      : random_(seed),
        platform_(queue_, {}),
        fleet_(queue_, platform_, Settings(seed, fault),
               [this](size_t index, generation number) {
                 OnInForce(index, number);
               }) {
    if (fault == planted_fault::kNoVersions) platform_.IgnoreVersions();
    fleet_.Bus().Settings().loss = 0.05;
    fleet_.Bus().Settings().jitter = milliseconds(20);
  }

  std::vector<config_violation> Run(int steps) {
    Edit();
    queue_.RunFor(seconds(5));
    for (int i = 0; i < steps; ++i) {
      Disturb();
      queue_.RunFor(
          milliseconds(static_cast<int64_t>(100 + RandomBelow(random_, 3000))));
    }
    EndFaults();
    queue_.RunFor(seconds(90));
    std::vector<generation> at_end;
    for (size_t i = 0; i < kInstances; ++i) {
      at_end.push_back(fleet_.InForce(i));
    }
    return history_.Check(at_end);
  }

  size_t AcceptedEdits() const { return accepted_; }
  size_t Conflicts() const { return conflicts_; }

 private:
  config_fleet_settings Settings(uint64_t seed, planted_fault fault) {
    config_fleet_settings settings;
    settings.instances = kInstances;
    settings.failure_domains = kDomains;
    settings.agent.site = "site";
    settings.seed = seed;
    if (fault == planted_fault::kNoJoin) {
      settings.agent.join_peers = 0;
      settings.agent.join_wait = duration::zero();
    }
    settings.load = [this](const config_files& files) {
      loaded_ = files;
      auto config = std::make_shared<effective_config>(LoadConfig(
          {"base", files.base}, {"overlay", files.overlay}, files.site));
      config->number = files.number;
      return config;
    };
    return settings;
  }

  void OnInForce(size_t index, generation number) {
    history_.InForce(index, number, loaded_.overlay);
  }

  void Publish(uint64_t edit, generation based_on, bool is_raced) {
    bool race_left = is_raced;
    const platform_caller caller = [&](const platform_request& request) {
      const bool is_commit = request.operation == platform_operation::kPut &&
                             request.key == kHeadKey;
      if (is_commit && std::exchange(race_left, false)) {
        Publish(next_edit_++, based_on, false);
      }
      return platform_.CallNow(request);
    };
    try {
      const generation number = PublishEdit({"site",
                                             {"base", kBase},
                                             {"overlay", OverlayOf(edit)},
                                             std::to_string(edit),
                                             "tester",
                                             based_on},
                                            caller);
      history_.Accepted(number, OverlayOf(edit));
      ++accepted_;
    } catch (const edit_outcome_unknown&) {
    } catch (const edit_conflict&) {
      ++conflicts_;
      history_.Refused(OverlayOf(edit));
    } catch (const error&) {
      history_.Refused(OverlayOf(edit));
    }
  }

  void Edit() {
    generation current = 0;
    try {
      current = ReadHead([&](const platform_request& request) {
                  return platform_.CallNow(request);
                }).number;
    } catch (const platform_unavailable&) {
      return;
    }
    Publish(next_edit_++, current, RandomBelow(random_, 3) == 0);
  }

  void Disturb() {
    const size_t index = RandomBelow(random_, kInstances);
    switch (RandomBelow(random_, 10)) {
      case 0:
        return platform_.SetDown(RandomBelow(random_, 2) == 0);
      case 1:
        return platform_.SetReadsFrozen(RandomBelow(random_, 2) == 0);
      case 2:
        return platform_.Cut(DomainOf(RandomBelow(random_, kDomains)));
      case 3: {
        // Drawn one by one, as the order in which arguments are evaluated
        // differs between compilers.
        const failure_domain_id to = DomainOf(RandomBelow(random_, kDomains));
        const failure_domain_id from = DomainOf(RandomBelow(random_, kDomains));
        return fleet_.Bus().CutOneWay(from, to);
      }
      case 4:
        platform_.Heal();
        return fleet_.Bus().Heal();
      case 5:
        fleet_.Crash(index);
        return fleet_.Start(index);
      case 6:
        return fleet_.IsPaused(index) ? fleet_.Resume(index)
                                      : fleet_.Pause(index);
      case 7:
        platform_.LoseAnswers(1);
        return Edit();
      default:
        return Edit();
    }
  }

  void EndFaults() {
    platform_.SetDown(false);
    platform_.SetReadsFrozen(false);
    platform_.LoseAnswers(0);
    platform_.Heal();
    fleet_.Bus().Heal();
    for (size_t i = 0; i < kInstances; ++i) {
      if (fleet_.IsPaused(i)) fleet_.Resume(i);
    }
  }

  size_t accepted_ = 0;
  size_t conflicts_ = 0;
  event_queue queue_;
  random_source random_;
  virtual_platform platform_;
  config_history history_;
  config_files loaded_;
  uint64_t next_edit_ = 0;
  config_fleet fleet_;
};

constexpr uint64_t kSeeds = 200;
constexpr int kSteps = 60;

/// Runs the same schedules with a fault. Returns true if one of them has the
/// given violation.
bool Finds(planted_fault fault, config_violation violation) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const auto found = schedule(seed, fault).Run(kSteps);
    if (std::find(found.begin(), found.end(), violation) != found.end()) {
      return true;
    }
  }
  return false;
}

}  // namespace

Test(config_history, random_schedules_violate_no_guarantee) {
  size_t accepted = 0;
  size_t conflicts = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    schedule tried(seed);
    const auto found = tried.Run(kSteps);
    accepted += tried.AcceptedEdits();
    conflicts += tried.Conflicts();
    cr_expect(found.empty(), "seed %llu: %zu violations, first %s",
              static_cast<unsigned long long>(seed), found.size(),
              found.empty() ? "" : NameOf(found.front()).data());
  }
  // The schedules must contain enough accepted and conflicting edits.
  cr_expect_gt(accepted, 5 * kSeeds);
  cr_expect_gt(conflicts, kSeeds);
}

Test(config_history, catches_a_start_that_asks_no_peer) {
  cr_assert(Finds(planted_fault::kNoJoin, config_violation::kReverted));
}

Test(config_history, catches_a_platform_without_conditional_updates) {
  cr_assert(
      Finds(planted_fault::kNoVersions, config_violation::kAcceptedTwice) ||
      Finds(planted_fault::kNoVersions, config_violation::kLostEdit));
}

Test(config_history, catches_a_planted_reversion) {
  config_history history;
  history.Accepted(1, "a");
  history.Accepted(2, "b");
  history.InForce(0, 2, "b");
  history.InForce(0, 1, "a");
  const auto found = history.Check({2});
  cr_assert_eq(found.size(), 1u);
  cr_assert_eq(found.front(), config_violation::kReverted);
}

Test(config_history, catches_a_planted_lost_edit) {
  config_history overwritten;
  overwritten.Accepted(1, "a");
  overwritten.InForce(0, 1, "b");
  cr_assert_eq(overwritten.Check({1}).front(), config_violation::kLostEdit);
  config_history forgotten;
  forgotten.Accepted(1, "a");
  cr_assert_eq(forgotten.Check({0}).front(), config_violation::kLostEdit);
  config_history twice;
  twice.Accepted(1, "a");
  twice.Accepted(1, "b");
  cr_assert_eq(twice.Check({1}).front(), config_violation::kAcceptedTwice);
}
