// The scenario language: what a file says, and its parser.
#ifndef POPLARSTAIR_TESTING_SCENARIO_H_
#define POPLARSTAIR_TESTING_SCENARIO_H_

#include <optional>
#include <string>
#include <vector>

#include "poplarstair/core/enum_names.h"
#include "poplarstair/core/error.h"
#include "poplarstair/core/time.h"
#include "poplarstair/testing/deployment.h"

namespace poplarstair {

/// What can be done to a site at a given time.
enum class action_kind : uint8_t {
  kKill,
  kStart,
  kRestart,
  kPause,
  kResume,
  kCut,
  kHeal,
  kSlow,
  kLose,
  kRepeat,
  kJitter,
  kLoseAnswer,
  kPlatform,
  kCold,
  kDrain,
  kActivate,
  kWithdraw,
  kReturn,
  kEdit,
  kRace,
  kSilence,
  kDuplicate,
  kMove,
};

template <>
struct enum_names<action_kind> {
  static constexpr std::string_view kNames[] = {
      "kill",     "start", "restart", "pause",     "resume",   "cut",
      "heal",     "slow",  "lose",    "repeat",    "jitter",   "lose_answer",
      "platform", "cold",  "drain",   "activate",  "withdraw", "return",
      "edit",     "race",  "silence", "duplicate", "move"};
};

struct scenario_action {
  action_kind kind = action_kind::kHeal;
  duration at{};
  std::vector<std::string> words;
  uint32_t line = 0;
  /// The line as written, without comment.
  std::string text;
};

/// What callers do, for each service.
struct scenario_load {
  uint32_t feeds = 0;
  /// A second; each lasts a few seconds.
  uint32_t uploads = 0;
  /// A second; three in four may not be repeated.
  uint32_t requests = 0;
};

enum class comparison : uint8_t { kEqual, kAtMost, kAtLeast, kLess, kMore };

template <>
struct enum_names<comparison> {
  static constexpr std::string_view kNames[] = {"=", "<=", ">=", "<", ">"};
};

/// `expect [after DURATION of ACTION] MEASURE COMPARISON NUMBER`.
struct scenario_expectation {
  std::string measure;
  comparison compare = comparison::kEqual;
  double bound = 0;
  /// Count only what happens this long after the last such action.
  duration after{};
  std::optional<action_kind> of;
  uint32_t line = 0;
  std::string text;
};

struct scenario {
  std::string file;
  std::string name;
  std::string site;
  scenario_load load;
  duration length = std::chrono::seconds(30);
  std::vector<std::string> promises;
  std::vector<scenario_action> actions;
  std::vector<scenario_expectation> expectations;
};

/// The scenario as a file that parses to the same.
std::string ToText(const scenario& wanted);

/// A scenario file that can't be understood: `file:line: expected ..., found
/// ...`.
class scenario_error : public error {
 public:
  scenario_error(const std::string& file, uint32_t line,
                 const std::string& expected, const std::string& found);
};

/// Parses `text` and checks its names against the site's sample files under
/// `samples`. Throws scenario_error.
scenario ParseScenario(const std::string& text, const std::string& file,
                       const std::string& samples);

}  // namespace poplarstair

#endif  // POPLARSTAIR_TESTING_SCENARIO_H_
