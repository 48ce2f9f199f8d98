#include "poplarstair/testing/scenario.h"

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <functional>
#include <map>
#include <sstream>

#include "poplarstair/config/toml_reader.h"
#include "poplarstair/testing/measure.h"
#include "poplarstair/testing/promise.h"

namespace poplarstair {

namespace {

/// What a word of an action may be.
enum class word_kind : uint8_t {
  kInstance,
  kServer,
  kService,
  kInstanceOrServer,
  kDomain,
  kDomainOrPlatform,
  kServerOrPlatform,
  kDuration,
  kPercent,
  kNumber,
  kPlatformState,
  kOneWay,
  kAny,
};

struct action_form {
  std::vector<word_kind> words;
  /// A last word that may be left out.
  std::optional<word_kind> optional_word;
};

const action_form& FormOf(action_kind kind) {
  using enum word_kind;
  static const auto* const kForms = new std::map<action_kind, action_form>{
      {action_kind::kKill, {{kInstanceOrServer}, {}}},
      {action_kind::kStart, {{kInstanceOrServer}, {}}},
      {action_kind::kRestart, {{kInstanceOrServer}, {}}},
      {action_kind::kPause, {{kInstance}, {}}},
      {action_kind::kResume, {{kInstance}, {}}},
      {action_kind::kCut, {{kDomain, kDomainOrPlatform}, kOneWay}},
      {action_kind::kHeal, {}},
      {action_kind::kSlow, {{kServerOrPlatform, kDuration}, {}}},
      {action_kind::kLose, {{kPercent}, {}}},
      {action_kind::kRepeat, {{kPercent}, {}}},
      {action_kind::kJitter, {{kDuration}, {}}},
      {action_kind::kLoseAnswer, {{kNumber}, {}}},
      {action_kind::kPlatform, {{kPlatformState}, {}}},
      {action_kind::kCold, {{kServer}, {}}},
      {action_kind::kDrain, {{kServer}, {}}},
      {action_kind::kActivate, {{kServer}, {}}},
      {action_kind::kWithdraw, {{kDomain}, {}}},
      {action_kind::kReturn, {{kDomain}, {}}},
      {action_kind::kEdit, {{kAny, kAny}, {}}},
      {action_kind::kRace, {}},
      {action_kind::kSilence, {{kInstance, kServer}, {}}},
      {action_kind::kDuplicate, {{kPercent}, {}}},
      {action_kind::kMove, {{kServer, kService}, {}}},
  };
  return kForms->at(kind);
}

std::vector<std::string> SplitWords(const std::string& line) {
  std::istringstream stream(line.substr(0, line.find('#')));
  std::vector<std::string> words;
  for (std::string word; stream >> word;) words.push_back(word);
  return words;
}

std::string JoinWords(const std::vector<std::string>& words) {
  std::string line;
  for (const std::string& word : words) {
    if (!line.empty()) line += ' ';
    line += word;
  }
  return line;
}

std::optional<double> ParseNumber(std::string_view text) {
  double value = 0;
  const char* end = text.data() + text.size();
  const auto [rest, fault] = std::from_chars(text.data(), end, value);
  if (fault != std::errc() || rest != end) return std::nullopt;
  return value;
}

template <typename Enum>
std::string ListNames() {
  std::string list;
  for (const std::string_view name : enum_names<Enum>::kNames) {
    list += (list.empty() ? "" : ", ") + std::string(name);
  }
  return list;
}

class parser {
 public:
  parser(const std::string& text, const std::string& file, std::string samples)
      : text_(text), samples_(std::move(samples)) {
    result_.file = file;
    result_.name = std::filesystem::path(file).stem().string();
  }

  scenario Parse() {
    std::istringstream lines(text_);
    for (std::string line; std::getline(lines, line);) {
      ++line_;
      words_ = SplitWords(line);
      next_ = 0;
      if (!words_.empty()) ParseLine();
    }
    if (!site_) Fail("deployment NAME", "end of file");
    std::stable_sort(result_.actions.begin(), result_.actions.end(),
                     [](const scenario_action& a, const scenario_action& b) {
                       return a.at < b.at;
                     });
    return std::move(result_);
  }

 private:
  [[noreturn]] void Fail(const std::string& expected,
                         const std::string& found) const {
    throw scenario_error(result_.file, line_, expected, found);
  }

  std::string Word(const std::string& expected) {
    if (next_ == words_.size()) Fail(expected, "end of line");
    return words_[next_++];
  }

  void Literal(const std::string& wanted) {
    const std::string found = Word(wanted);
    if (found != wanted) Fail(wanted, found);
  }

  bool TryLiteral(std::string_view wanted) {
    if (next_ == words_.size() || words_[next_] != wanted) return false;
    ++next_;
    return true;
  }

  template <typename Enum>
  Enum Choice() {
    const std::string expected = "one of " + ListNames<Enum>();
    const std::string word = Word(expected);
    const auto value = ValueOf<Enum>(word);
    if (!value) Fail(expected, word);
    return *value;
  }

  duration Duration() {
    const std::string expected = "a duration such as 250ms or 5s";
    const std::string word = Word(expected);
    const auto value = ParseDuration(word);
    if (!value) Fail(expected, word);
    return *value;
  }

  uint32_t Count(std::string_view suffix) {
    const std::string expected = "a number" + std::string(suffix);
    const std::string word = Word(expected);
    std::string_view digits = word;
    if (!digits.ends_with(suffix)) Fail(expected, word);
    digits.remove_suffix(suffix.size());
    const auto value = ParseNumber(digits);
    if (!value || *value < 0 || *value > 100'000) Fail(expected, word);
    return static_cast<uint32_t>(*value);
  }

  void ParseLine() {
    const std::string expected =
        "deployment, feeds, uploads, requests, run, promise, at or expect";
    const std::string first = Word(expected);
    if (first == "deployment") return ParseDeployment();
    if (!site_) Fail("deployment NAME before anything else", first);
    if (first == "feeds") {
      result_.load.feeds = Count("");
      Literal("each");
    } else if (first == "uploads") {
      result_.load.uploads = Count("/s");
      Literal("each");
    } else if (first == "requests") {
      result_.load.requests = Count("/s");
      Literal("each");
    } else if (first == "run") {
      result_.length = Duration();
    } else if (first == "promise") {
      result_.promises.emplace_back(NameOf(Choice<promise>()));
    } else if (first == "at") {
      ParseAction();
    } else if (first == "expect") {
      ParseExpectation();
    } else {
      Fail(expected, first);
    }
    if (next_ != words_.size()) Fail("end of line", words_[next_]);
  }

  void ParseDeployment() {
    result_.site = Word("the name of a folder of samples");
    try {
      site_ = ReadDeployment(samples_, result_.site);
    } catch (const error& failure) {
      Fail("a site under " + samples_, result_.site);
    }
  }

  void ParseAction() {
    scenario_action action;
    action.line = line_;
    action.at = Duration();
    action.kind = Choice<action_kind>();
    const action_form& form = FormOf(action.kind);
    for (const word_kind kind : form.words) {
      action.words.push_back(CheckedWord(kind));
    }
    if (form.optional_word && next_ < words_.size()) {
      action.words.push_back(CheckedWord(*form.optional_word));
    }
    action.text = JoinWords(words_);
    result_.actions.push_back(std::move(action));
  }

  std::string CheckedWord(word_kind kind) {
    using enum word_kind;
    switch (kind) {
      case kInstance:
        return Named("an instance of the site",
                     [this](auto& word) { return IsInstance(word); });
      case kServer:
        return Named("SERVICE/SERVER of the site",
                     [this](auto& word) { return IsServer(word); });
      case kService:
        return Named("a service of the site", [this](auto& word) {
          return site_->config.FindServiceByName(word) != nullptr;
        });
      case kInstanceOrServer:
        return Named(
            "an instance or SERVICE/SERVER of the site",
            [this](auto& word) { return IsInstance(word) || IsServer(word); });
      case kDomain:
        return Named("a failure domain of the site",
                     [this](auto& word) { return IsDomain(word); });
      case kDomainOrPlatform:
        return Named("a failure domain of the site or platform",
                     [this](auto& word) {
                       return word == "platform" || IsDomain(word);
                     });
      case kServerOrPlatform:
        return Named("SERVICE/SERVER of the site or platform",
                     [this](auto& word) {
                       return word == "platform" || IsServer(word);
                     });
      case kDuration:
        return Named("a duration such as 50ms", [](auto& word) {
          return ParseDuration(word).has_value();
        });
      case kPercent:
        return Named("a percentage such as 5%", [](auto& word) {
          return word.ends_with("%") &&
                 ParseNumber(word.substr(0, word.size() - 1)).has_value();
        });
      case kNumber:
        return Named("a number",
                     [](auto& word) { return ParseNumber(word).has_value(); });
      case kPlatformState:
        return Named("one of down, up, old, fresh", [](auto& word) {
          return word == "down" || word == "up" || word == "old" ||
                 word == "fresh";
        });
      case kOneWay:
        return Named("one-way or end of line",
                     [](auto& word) { return word == "one-way"; });
      case kAny:
        return Word("a dotted key and a value");
    }
    return "";
  }

  std::string Named(const std::string& expected,
                    const std::function<bool(const std::string&)>& is_right) {
    std::string word = Word(expected);
    if (!is_right(word)) Fail(expected, word);
    return word;
  }

  bool IsInstance(const std::string& name) const {
    return std::any_of(
        site_->instances.begin(), site_->instances.end(),
        [&](const daemon_settings& i) { return i.name == name; });
  }

  bool IsDomain(const std::string& name) const {
    const auto& domains = site_->config.failure_domains;
    return std::any_of(domains.begin(), domains.end(),
                       [&](const auto& d) { return d.name == name; });
  }

  bool IsServer(const std::string& name) const {
    for (const service_config& service : site_->config.services) {
      for (const backend_server_config& server : service.backend_servers) {
        if (service.name + "/" + server.name == name) return true;
      }
    }
    return false;
  }

  void ParseExpectation() {
    scenario_expectation expectation;
    expectation.line = line_;
    if (TryLiteral("after")) {
      expectation.after = Duration();
      Literal("of");
      expectation.of = Choice<action_kind>();
    }
    expectation.measure = NameOf(Choice<measure>());
    expectation.compare = Choice<comparison>();
    const std::string word = Word("a number");
    const auto bound = ParseNumber(word);
    if (!bound) Fail("a number", word);
    expectation.bound = *bound;
    expectation.text = JoinWords(words_);
    result_.expectations.push_back(std::move(expectation));
  }

  const std::string& text_;
  const std::string samples_;
  scenario result_;
  std::optional<deployment> site_;
  std::vector<std::string> words_;
  size_t next_ = 0;
  uint32_t line_ = 0;
};

}  // namespace

scenario_error::scenario_error(const std::string& file, uint32_t line,
                               const std::string& expected,
                               const std::string& found)
    : error("scenario_error", file + ":" + std::to_string(line) +
                                  ": expected " + expected + ", found \"" +
                                  found + "\"") {}

std::string ToText(const scenario& wanted) {
  std::ostringstream text;
  const auto length =
      std::chrono::duration_cast<std::chrono::milliseconds>(wanted.length);
  text << "deployment " << wanted.site << '\n'
       << "feeds " << wanted.load.feeds << " each\n"
       << "uploads " << wanted.load.uploads << "/s each\n"
       << "requests " << wanted.load.requests << "/s each\n";
  for (const std::string& name : wanted.promises) {
    text << "promise " << name << '\n';
  }
  text << "run " << length.count() << "ms\n";
  for (const scenario_action& action : wanted.actions) {
    text << action.text << '\n';
  }
  for (const scenario_expectation& expectation : wanted.expectations) {
    text << expectation.text << '\n';
  }
  return text.str();
}

scenario ParseScenario(const std::string& text, const std::string& file,
                       const std::string& samples) {
  return parser(text, file, samples).Parse();
}

}  // namespace poplarstair
