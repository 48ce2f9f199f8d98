// Runs scripted scenarios over whole sites in virtual time.

#include <absl/flags/flag.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>

#include "poplarstair/core/error.h"
#include "poplarstair/core/file.h"
#include "poplarstair/ctl/command_line.h"
#include "poplarstair/testing/random_scenario.h"
#include "poplarstair/testing/scenario_report.h"
#include "poplarstair/testing/scenario_run.h"

ABSL_FLAG(uint64_t, seed, 1, "seed of the runs");
ABSL_FLAG(bool, trace, false, "prints each event");
ABSL_FLAG(std::string, samples, "samples", "folder of the sample sites");
ABSL_FLAG(std::string, known_red, "KNOWN-RED.txt", "list of known failures");
ABSL_FLAG(uint64_t, random, 0, "number of random schedules");
ABSL_FLAG(bool, tables, true, "adds the baseline and the mutants");

namespace {

using namespace poplarstair;

constexpr const char* kUsage =
    "usage: run_scenarios [flags] FILE_OR_FOLDER...\n"
    "\n"
    "Runs each scenario (see docs/SCENARIOS.md), then prints how often each\n"
    "promise was broken, with and without the baseline strategy, and whether\n"
    "each planted fault was found.\n"
    "\n"
    "flags:\n"
    "  --seed=N            the same seed prints the same bytes (1)\n"
    "  --trace             prints each event of the runs\n"
    "  --samples=FOLDER    the sample sites (samples)\n"
    "  --known_red=FILE    failures to pass over (KNOWN-RED.txt)\n"
    "  --notables          leaves out the baseline and the mutants\n"
    "  --random=N          also runs N random schedules on each site, from "
    "seed\n"
    "                      on, and shrinks those that fail\n"
    "  --help, --version\n"
    "\n"
    "Exit codes: 0 all held, 1 something failed, 2 for a wrong command line\n"
    "or a scenario that can't be read.\n";

std::vector<std::string> FindFiles(const std::vector<std::string>& paths) {
  std::vector<std::string> files;
  for (const std::string& path : paths) {
    if (!std::filesystem::is_directory(path)) {
      files.push_back(path);
      continue;
    }
    for (const auto& entry : std::filesystem::directory_iterator(path)) {
      if (entry.path().extension() == ".scenario") {
        files.push_back(entry.path().string());
      }
    }
  }
  std::sort(files.begin(), files.end());
  return files;
}

/// Where a mutant is planted, and the check that has to find it.
struct mutant_trial {
  mutant planted;
  promise expected;
  const char* scenario_name;
};

constexpr mutant_trial kTrials[] = {
    {mutant::kForgetFlow, promise::kFlowsSurvive, "mu_north_drain"},
    {mutant::kWrongService, promise::kOwnService, "mu_north_drain"},
    {mutant::kFloodColdServer, promise::kColdServerLoad,
     "mu_north_server_crash"},
    {mutant::kIgnoreWithdrawal, promise::kWithdrawnDomainQuiet,
     "mu_north_withdraw_and_return"},
    {mutant::kSwapAnswers, promise::kWholeOwnAnswer, "mu_north_restart"},
    {mutant::kFalseNotRun, promise::kNotRunIsTrue, "mu_north_restart"},
    {mutant::kDuplicateAttempt, promise::kAtMostOnce, "mu_north_restart"},
    {mutant::kIgnoreDrain, promise::kLeavingServerQuiet, "mu_north_drain"},
    {mutant::kStopAtOnce, promise::kGracefulStop,
     "mu_north_restart_while_slow"},
    {mutant::kRevertGeneration, promise::kConfigInForce, "mu_north_edits_race"},
    {mutant::kDeafInstance, promise::kConfigInForce, "mu_north_edits_race"},
    {mutant::kOverrunSlots, promise::kSlotsNotOverrun, "mu_north_drain"},
};

/// Runs each trial whose scenario is among `scenarios`.
void TryMutants(const std::vector<scenario>& scenarios,
                const scenario_options& options, scenario_report& report) {
  for (const mutant_trial& trial : kTrials) {
    const auto found = std::find_if(
        scenarios.begin(), scenarios.end(),
        [&](const scenario& s) { return s.name == trial.scenario_name; });
    if (found == scenarios.end()) continue;
    scenario_options planted = options;
    planted.planted = trial.planted;
    report.AddMutant(trial.planted, trial.expected,
                     RunScenario(*found, planted),
                     RunScenario(*found, options));
  }
}

known_red ReadKnownRed() {
  const std::string file = absl::GetFlag(FLAGS_known_red);
  return std::filesystem::exists(file) ? known_red(ReadFile(file))
                                       : known_red();
}

scenario_options OptionsFromFlags() {
  scenario_options options;
  options.samples = absl::GetFlag(FLAGS_samples);
  options.seed = absl::GetFlag(FLAGS_seed);
  if (absl::GetFlag(FLAGS_trace)) {
    options.trace = [](const std::string& line) { std::puts(line.c_str()); };
  }
  return options;
}

/// Prints the shortest schedule that breaks the same promise.
void PrintShrunk(const scenario& failing, const scenario_options& options,
                 promise broken) {
  const scenario shrunk = ShrinkScenario(failing, [&](const scenario& s) {
    return RunScenario(s, options).counts[broken] > 0;
  });
  std::printf("          shortest schedule for %s, seed %llu:\n%s",
              std::string(NameOf(broken)).c_str(),
              static_cast<unsigned long long>(options.seed),
              ToText(shrunk).c_str());
}

void RunRandom(const scenario_options& options, const known_red& known,
               scenario_report& report) {
  const uint64_t count = absl::GetFlag(FLAGS_random);
  for (uint64_t i = 0; i < count; ++i) {
    for (const char* site : {"mu-north", "ost"}) {
      scenario_options drawn = options;
      drawn.seed = options.seed + i;
      const scenario schedule =
          RandomScenario(site, drawn.seed, options.samples);
      const scenario_result result = RunScenario(schedule, drawn);
      report.Add(schedule, drawn.seed, result);
      for (const auto& [broken, violations] : result.counts) {
        if (known.CoversPromise(schedule.name, broken, drawn.seed)) continue;
        PrintShrunk(schedule, drawn, broken);
      }
    }
  }
}

int Run(const std::vector<std::string>& paths) {
  const scenario_options options = OptionsFromFlags();
  const bool with_tables = absl::GetFlag(FLAGS_tables);
  std::vector<scenario> scenarios;
  for (const std::string& file : FindFiles(paths)) {
    scenarios.push_back(ParseScenario(ReadFile(file), file, options.samples));
  }
  const known_red known = ReadKnownRed();
  scenario_report report(known);
  for (const scenario& each : scenarios) {
    report.Add(each, options.seed, RunScenario(each, options));
    if (!with_tables) continue;
    scenario_options baseline = options;
    baseline.strategy = flow_strategy::kHashOnly;
    report.AddBaseline(RunScenario(each, baseline));
  }
  RunRandom(options, known, report);
  report.PrintPromises();
  if (with_tables) {
    TryMutants(scenarios, options, report);
    report.PrintMutants();
  }
  return report.PrintSummary() ? kExitSuccess : kExitFailure;
}

}  // namespace

int main(int argc, char** argv) {
  const auto paths = ParseCommandLine("run_scenarios", kUsage, argc, argv);
  if (paths.empty() && absl::GetFlag(FLAGS_random) == 0) {
    std::fputs(kUsage, stderr);
    return kExitUsage;
  }
  try {
    return Run(paths);
  } catch (const error& failure) {
    std::fprintf(stderr, "%s\n", failure.what());
    return kExitUsage;
  }
}
