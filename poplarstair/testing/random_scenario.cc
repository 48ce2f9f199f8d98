#include "poplarstair/testing/random_scenario.h"

#include <algorithm>

#include "poplarstair/core/random.h"

namespace poplarstair {

namespace {

constexpr uint64_t kMinFaults = 2;
constexpr uint64_t kMaxFaults = 5;
// Milliseconds of virtual time.
constexpr uint64_t kFirstFault = 3'000;
constexpr uint64_t kLastFault = 14'000;
constexpr uint64_t kLongestFault = 7'000;
constexpr uint64_t kGrid = 100;

/// A fault and what ends it. `%i`, `%j` stand for instances, `%s` for a
/// backend server, `%d`, `%e` for failure domains.
struct fault_form {
  const char* begin;
  const char* end;
  bool is_planned;
};

constexpr fault_form kForms[] = {
    {"drain %s", "activate %s", true},
    {"withdraw %d", "return %d", true},
    {"restart %i", "", true},
    {"edit limits.slow_start \"20s\"", "", true},
    {"race", "", true},
    {"kill %i", "start %i", false},
    {"pause %i", "resume %i", false},
    {"kill %s", "start %s", false},
    {"cold %s", "", false},
    {"slow %s 300ms", "slow %s 0ms", false},
    {"silence %i %s", "", false},
    {"cut %d %e", "heal", false},
    {"cut %d %e one-way", "heal", false},
    {"cut %d platform", "heal", false},
    {"platform down", "platform up", false},
    {"platform old", "platform fresh", false},
    {"lose_answer 1", "", false},
    {"lose 10%", "lose 0%", false},
    {"repeat 10%", "repeat 0%", false},
    {"duplicate 20%", "duplicate 0%", false},
};

class generator {
 public:
  generator(const std::string& site, uint64_t seed, const std::string& samples)
      : site_(ReadDeployment(samples, site)), random_(seed) {}

  std::string Text() {
    const uint64_t faults =
        kMinFaults + RandomBelow(random_, kMaxFaults - kMinFaults + 1);
    std::string actions;
    bool all_planned = true;
    for (uint64_t i = 0; i < faults; ++i) {
      const fault_form& form = kForms[RandomBelow(random_, std::size(kForms))];
      all_planned &= form.is_planned;
      AddFault(form, actions);
    }
    std::string text = "deployment " + site_.site +
                       "\nfeeds 60 each\nuploads 10/s each\n"
                       "requests 20/s each\nrun 28s\n";
    if (all_planned) text += "promise flows_survive\n";
    return text + actions;
  }

 private:
  void AddFault(const fault_form& form, std::string& actions) {
    Draw();
    const uint64_t begin = Milliseconds(kFirstFault, kLastFault);
    const uint64_t end = begin + Milliseconds(kGrid, kLongestFault);
    actions += "at " + std::to_string(begin) + "ms " + Fill(form.begin) + "\n";
    if (form.end[0] == '\0') return;
    actions += "at " + std::to_string(end) + "ms " + Fill(form.end) + "\n";
  }

  uint64_t Milliseconds(uint64_t lowest, uint64_t highest) {
    return lowest + kGrid * RandomBelow(random_, (highest - lowest) / kGrid);
  }

  void Draw() {
    const auto& services = site_.config.services;
    const auto& domains = site_.config.failure_domains;
    const service_config& service =
        services[RandomBelow(random_, services.size())];
    const auto& servers = service.backend_servers;
    instance_ =
        site_.instances[RandomBelow(random_, site_.instances.size())].name;
    server_ =
        service.name + "/" + servers[RandomBelow(random_, servers.size())].name;
    const uint64_t first = RandomBelow(random_, domains.size());
    const uint64_t step = 1 + RandomBelow(random_, domains.size() - 1);
    domain_ = domains[first].name;
    other_domain_ = domains[(first + step) % domains.size()].name;
  }

  std::string Fill(const std::string& form) const {
    std::string filled;
    for (size_t i = 0; i < form.size(); ++i) {
      const char next = i + 1 < form.size() ? form[i + 1] : '\0';
      if (form[i] != '%' ||
          std::string("ised").find(next) == std::string::npos || next == '\0') {
        filled += form[i];
        continue;
      }
      filled += next == 'i'   ? instance_
                : next == 's' ? server_
                : next == 'd' ? domain_
                              : other_domain_;
      ++i;
    }
    return filled;
  }

  const deployment site_;
  random_source random_;
  std::string instance_;
  std::string server_;
  std::string domain_;
  std::string other_domain_;
};

}  // namespace

scenario RandomScenario(const std::string& site, uint64_t seed,
                        const std::string& samples) {
  std::string name = "random_" + site + "_" + std::to_string(seed);
  std::replace(name.begin(), name.end(), '-', '_');
  return ParseScenario(generator(site, seed, samples).Text(),
                       name + ".scenario", samples);
}

scenario ShrinkScenario(
    scenario failing, const std::function<bool(const scenario&)>& still_fails) {
  for (size_t i = 0; i < failing.actions.size();) {
    scenario smaller = failing;
    smaller.actions.erase(smaller.actions.begin() +
                          static_cast<std::ptrdiff_t>(i));
    if (!still_fails(smaller)) {
      ++i;
      continue;
    }
    // An earlier action may be needless now.
    failing = std::move(smaller);
    i = 0;
  }
  return failing;
}

}  // namespace poplarstair
