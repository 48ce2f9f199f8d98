#include "poplarstair/testing/scenario_report.h"

#include <algorithm>
#include <cinttypes>
#include <cstdio>

namespace poplarstair {

namespace {

std::string Text(std::string_view view) { return std::string(view); }

}  // namespace

void scenario_report::Add(const scenario& ran, uint64_t seed,
                          const scenario_result& result) {
  ++scenarios_;
  for (const std::string& name : ran.promises) {
    ++promises_[*ValueOf<promise>(name)].scenarios;
  }
  std::string state = "ok";
  if (!result.Passed()) {
    const auto is_known = [&](const auto& v) {
      return known_.CoversPromise(ran.name, v.broken, seed);
    };
    const auto is_listed = [&](const failed_expectation& f) {
      return known_.CoversMeasure(ran.name, f.wanted.measure, seed);
    };
    const bool all_known =
        std::all_of(result.violations.begin(), result.violations.end(),
                    is_known) &&
        std::all_of(result.failed.begin(), result.failed.end(), is_listed);
    state = all_known ? "KNOWN RED" : "FAILED";
    ++(all_known ? known_count_ : failed_);
  }
  std::printf("%-9s %-44s seed=%" PRIu64 " events=%zu\n", state.c_str(),
              ran.name.c_str(), seed, result.events);
  PrintViolations(ran, seed, result);
  PrintExpectations(ran, seed, result);
  for (const std::string& gone : known_.NoLongerSeen(ran.name, seed, result)) {
    std::printf("          listed as known, but not seen: %s\n", gone.c_str());
  }
}

bool scenario_report::PrintViolations(const scenario& ran, uint64_t seed,
                                      const scenario_result& result) {
  for (const auto& [broken, count] : result.counts) {
    promise_row& row = promises_[broken];
    const bool is_known = known_.CoversPromise(ran.name, broken, seed);
    (is_known ? row.known : row.violations) += count;
    const auto first = std::find_if(
        result.violations.begin(), result.violations.end(),
        [broken = broken](const violation& v) { return v.broken == broken; });
    std::printf("          %s%s: %" PRIu64 " violations, first at %.3fs: %s\n",
                is_known ? "known: " : "", Text(NameOf(broken)).c_str(), count,
                ToSeconds(first->when.time_since_epoch()), first->what.c_str());
  }
  return result.violations.empty();
}

bool scenario_report::PrintExpectations(const scenario& ran, uint64_t seed,
                                        const scenario_result& result) {
  for (const failed_expectation& f : result.failed) {
    const bool is_known =
        known_.CoversMeasure(ran.name, f.wanted.measure, seed);
    std::printf("          %s%s:%u: %s, but it was %g\n",
                is_known ? "known: " : "", ran.file.c_str(), f.wanted.line,
                f.wanted.text.c_str(), f.value);
  }
  return result.failed.empty();
}

void scenario_report::AddBaseline(const scenario_result& result) {
  for (const auto& [broken, count] : result.counts) {
    promises_[broken].baseline += count;
  }
}

void scenario_report::AddMutant(mutant planted, promise expected,
                                const scenario_result& with_fault,
                                const scenario_result& without) {
  const auto count = [expected](const scenario_result& result) {
    const auto found = result.counts.find(expected);
    return found == result.counts.end() ? 0 : found->second;
  };
  mutants_.push_back({planted, expected, count(with_fault), count(without)});
}

void scenario_report::PrintPromises() const {
  std::printf("\n%-24s %9s %10s %10s %10s\n", "promise", "scenarios",
              "violations", "known red", "hash_only");
  for (const auto& [each, row] : promises_) {
    std::printf("%-24s %9" PRIu64 " %10" PRIu64 " %10" PRIu64 " %10" PRIu64
                "\n",
                Text(NameOf(each)).c_str(), row.scenarios, row.violations,
                row.known, row.baseline);
  }
}

void scenario_report::PrintMutants() const {
  std::printf("\n%-20s %-24s %10s %10s  %s\n", "mutant", "check", "with",
              "without", "caught");
  for (const mutant_row& row : mutants_) {
    std::printf("%-20s %-24s %10" PRIu64 " %10" PRIu64 "  %s\n",
                Text(NameOf(row.planted)).c_str(),
                Text(NameOf(row.expected)).c_str(), row.with_fault, row.without,
                row.with_fault > row.without ? "yes" : "NO");
  }
}

bool scenario_report::PrintSummary() const {
  const auto missed = static_cast<uint64_t>(std::count_if(
      mutants_.begin(), mutants_.end(),
      [](const mutant_row& row) { return row.with_fault <= row.without; }));
  uint64_t violations = 0;
  for (const auto& [each, row] : promises_) violations += row.violations;
  std::printf("\nresult name=scenarios violations=%" PRIu64
              " scenarios=%" PRIu64 " failed=%" PRIu64 " known_red=%" PRIu64
              " mutants=%zu mutants_missed=%" PRIu64 "\n",
              violations, scenarios_, failed_, known_count_, mutants_.size(),
              missed);
  return failed_ == 0 && missed == 0;
}

}  // namespace poplarstair
