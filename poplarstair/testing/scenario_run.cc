#include "poplarstair/testing/scenario_run.h"

#include <algorithm>
#include <charconv>

#include "poplarstair/config/toml_reader.h"
#include "poplarstair/testing/site_driver.h"

namespace poplarstair {

namespace {

double PercentOf(const std::string& word) {
  return std::strtod(word.c_str(), nullptr) / 100;
}

duration DurationOf(const std::string& word) {
  return ParseDuration(word).value_or(duration::zero());
}

std::string ServerKey(const std::string& name) {
  const size_t slash = name.find('/');
  return "services." + name.substr(0, slash) + ".backend_servers." +
         name.substr(slash + 1) + ".state";
}

void SetServerState(site_driver& site, const std::string& name,
                    const std::string& state) {
  site.Operator().Edit(ServerKey(name), "\"" + state + "\"");
}

void SetDomainInService(site_driver& site, const std::string& name,
                        bool is_in) {
  site.Operator().Edit("failure_domains." + name + ".in_service",
                       is_in ? "true" : "false");
}

void SetPlatform(platform_fake& platform, const std::string& state) {
  if (state == "down" || state == "up") platform.SetDown(state == "down");
  if (state == "old" || state == "fresh") platform.SetOld(state == "old");
}

void Apply(site_driver& site, const scenario_action& action) {
  const std::vector<std::string>& words = action.words;
  const bool is_instance = !words.empty() && site.IsInstance(words[0]);
  switch (action.kind) {
    case action_kind::kKill:
      return is_instance ? site.KillInstance(words[0])
                         : site.CrashServer(words[0]);
    case action_kind::kStart:
      return is_instance ? site.StartInstance(words[0])
                         : site.StartServer(words[0]);
    case action_kind::kRestart:
      if (is_instance) return site.RestartInstance(words[0]);
      site.CrashServer(words[0]);
      return site.StartServer(words[0]);
    case action_kind::kPause:
      return site.PauseInstance(words[0]);
    case action_kind::kResume:
      return site.ResumeInstance(words[0]);
    case action_kind::kCut:
      return site.Cut(words[0], words[1], words.size() > 2);
    case action_kind::kHeal:
      return site.Heal();
    case action_kind::kSlow:
      if (words[0] == "platform") {
        return site.Platform().SetDelay(DurationOf(words[1]));
      }
      return site.SlowServer(words[0], DurationOf(words[1]));
    case action_kind::kLose:
      site.Bus().Settings().loss = PercentOf(words[0]);
      return;
    case action_kind::kRepeat:
      site.Bus().Settings().duplication = PercentOf(words[0]);
      return;
    case action_kind::kJitter:
      site.Bus().Settings().jitter = DurationOf(words[0]);
      return;
    case action_kind::kLoseAnswer:
      return site.Platform().LoseAnswers(
          std::strtoul(words[0].c_str(), nullptr, 10));
    case action_kind::kPlatform:
      return SetPlatform(site.Platform(), words[0]);
    case action_kind::kCold:
      return site.TurnServerCold(words[0]);
    case action_kind::kDrain:
      return SetServerState(site, words[0], "draining");
    case action_kind::kActivate:
      return SetServerState(site, words[0], "active");
    case action_kind::kWithdraw:
      return SetDomainInService(site, words[0], false);
    case action_kind::kReturn:
      return SetDomainInService(site, words[0], true);
    case action_kind::kEdit:
      site.Operator().Edit(words[0], words[1]);
      return;
    case action_kind::kRace:
      return site.Operator().RaceEdits();
    case action_kind::kSilence:
      return site.SilenceConnections(words[0], words[1]);
    case action_kind::kDuplicate:
      return site.Callers().DuplicateShare(PercentOf(words[0]));
    case action_kind::kMove:
      return site.Operator().MoveServer(words[0], words[1]);
  }
}

bool Holds(double value, comparison compare, double bound) {
  switch (compare) {
    case comparison::kEqual:
      return value == bound;
    case comparison::kAtMost:
      return value <= bound;
    case comparison::kAtLeast:
      return value >= bound;
    case comparison::kLess:
      return value < bound;
    case comparison::kMore:
      return value > bound;
  }
  return false;
}

time_point StartOf(const scenario& wanted,
                   const scenario_expectation& expectation) {
  time_point since{};
  if (!expectation.of) return since;
  for (const scenario_action& action : wanted.actions) {
    if (action.kind == *expectation.of) {
      since = time_point(action.at) + expectation.after;
    }
  }
  return since;
}

/// Broken flows count only where the scenario promises that none break: an
/// unplanned fault may cost some.
bool Counts(const scenario& wanted, promise broken) {
  if (broken != promise::kFlowsSurvive) return true;
  return std::find(wanted.promises.begin(), wanted.promises.end(),
                   NameOf(broken)) != wanted.promises.end();
}

}  // namespace

scenario_result RunScenario(const scenario& wanted,
                            const scenario_options& options) {
  site_driver site(
      ReadDeployment(options.samples, wanted.site),
      {options.seed, options.strategy, options.planted, options.trace});
  site.StartLoad(wanted.load.feeds, wanted.load.uploads, wanted.load.requests);
  for (const scenario_action& action : wanted.actions) {
    site.Queue().At(time_point(action.at),
                    [&site, &action] { Apply(site, action); });
  }
  site.Queue().RunUntil(time_point(wanted.length));

  scenario_result result;
  result.events = site.Events().size();
  for (violation& found : CheckHistory(site.Events(), site.Facts())) {
    if (!Counts(wanted, found.broken)) continue;
    ++result.counts[found.broken];
    result.violations.push_back(std::move(found));
  }
  for (const scenario_expectation& expectation : wanted.expectations) {
    const auto what = ValueOf<measure>(expectation.measure);
    const double value = Measure(*what, site.Events(), site.Facts(),
                                 StartOf(wanted, expectation));
    if (!Holds(value, expectation.compare, expectation.bound)) {
      result.failed.push_back({expectation, value});
    }
  }
  return result;
}

}  // namespace poplarstair
