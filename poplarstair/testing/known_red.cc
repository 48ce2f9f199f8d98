#include "poplarstair/testing/known_red.h"

#include <algorithm>
#include <sstream>

namespace poplarstair {

namespace {

/// The value of `key=value` among the words of `line`; empty if absent.
std::string ValueIn(const std::string& line, const std::string& key) {
  std::istringstream words(line);
  for (std::string word; words >> word;) {
    if (word.starts_with(key + "=")) return word.substr(key.size() + 1);
  }
  return "";
}

}  // namespace

known_red::known_red(const std::string& text) {
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    if (!line.starts_with("scenario=")) continue;
    entries_.push_back(
        {ValueIn(line, "scenario"), ValueIn(line, "promise"),
         ValueIn(line, "expect"),
         std::strtoull(ValueIn(line, "seed").c_str(), nullptr, 10)});
  }
}

bool known_red::CoversPromise(const std::string& scenario_name, promise broken,
                              uint64_t seed) const {
  return std::any_of(entries_.begin(), entries_.end(), [&](const entry& each) {
    return each.scenario_name == scenario_name && each.seed == seed &&
           each.promise_name == NameOf(broken);
  });
}

bool known_red::CoversMeasure(const std::string& scenario_name,
                              const std::string& measure_name,
                              uint64_t seed) const {
  return std::any_of(entries_.begin(), entries_.end(), [&](const entry& each) {
    return each.scenario_name == scenario_name && each.seed == seed &&
           each.measure_name == measure_name;
  });
}

std::vector<std::string> known_red::NoLongerSeen(
    const std::string& scenario_name, uint64_t seed,
    const scenario_result& result) const {
  std::vector<std::string> gone;
  for (const entry& each : entries_) {
    if (each.scenario_name != scenario_name || each.seed != seed) continue;
    const auto broken = ValueOf<promise>(each.promise_name);
    const bool is_broken = broken && result.counts.contains(*broken);
    const bool has_failed =
        std::any_of(result.failed.begin(), result.failed.end(),
                    [&](const failed_expectation& f) {
                      return f.wanted.measure == each.measure_name;
                    });
    if (is_broken || has_failed) continue;
    gone.push_back(each.promise_name + each.measure_name);
  }
  return gone;
}

}  // namespace poplarstair
