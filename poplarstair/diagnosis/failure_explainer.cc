#include "poplarstair/diagnosis/failure_explainer.h"

#include <algorithm>
#include <functional>
#include <set>

namespace poplarstair {

namespace {

using std::chrono::milliseconds;

/// Clocks of callers and instances differ by this much at most; what happened
/// just before a request was asked may be its cause too.
constexpr milliseconds kBefore(1000);
/// An instance that was lost says so only when it has started again, and a
/// server counts as silent only after its callers have repeated.
constexpr milliseconds kAfter(2500);
/// Silent servers of one domain from which on the domain is out of reach.
constexpr size_t kServersOfCut = 3;

using line_test = std::function<bool(const log_line&)>;

class inquiry {
 public:
  inquiry(const std::vector<log_line>& lines, const failed_request& failed)
      : lines_(lines), failed_(failed) {
    for (const log_line& line : lines) {
      if (!line.HasFieldValue(failed.key)) continue;
      if (line.at > failed.ended_at + kAfter) continue;
      own_.push_back(&line);
      carriers_.insert(line.instance);
      if (!line.Field("server").empty()) server_ = line.Field("server");
      if (!line.Field("domain").empty()) domain_ = line.Field("domain");
    }
  }

  explanation Explain() {
    for (const auto& rule :
         {&inquiry::WasRefused, &inquiry::LostItsInstance,
          &inquiry::LostItsServer, &inquiry::FoundInstanceNotReady}) {
      if ((this->*rule)()) break;
    }
    found_.evidence.insert(found_.evidence.end(), own_.begin(), own_.end());
    std::stable_sort(
        found_.evidence.begin(), found_.evidence.end(),
        [](const log_line* a, const log_line* b) { return a->at < b->at; });
    const auto end =
        std::unique(found_.evidence.begin(), found_.evidence.end());
    found_.evidence.erase(end, found_.evidence.end());
    return std::move(found_);
  }

 private:
  /// Lines near the time of the failure.
  std::vector<const log_line*> Near(const line_test& test) const {
    std::vector<const log_line*> near;
    for (const log_line& line : lines_) {
      if (line.at < failed_.sent_at - kBefore) continue;
      if (line.at > failed_.ended_at + kAfter) break;
      if (test(line)) near.push_back(&line);
    }
    return near;
  }

  bool IsOwn(const log_line& line) const {
    return line.HasFieldValue(failed_.key);
  }

  bool Conclude(failure_cause cause, std::string summary,
                const std::vector<const log_line*>& evidence) {
    found_.cause = cause;
    found_.summary = std::move(summary);
    found_.evidence.insert(found_.evidence.end(), evidence.begin(),
                           evidence.end());
    return true;
  }

  bool WasRefused() {
    const auto refused = Near([this](const log_line& line) {
      return IsOwn(line) && line.event == "flow_refused";
    });
    if (refused.empty()) return false;
    const std::string reason(refused.back()->Field("reason"));
    const std::string& instance = refused.back()->instance;
    if (reason == "unknown_route") {
      return Conclude(failure_cause::kNoRoute,
                      instance + " had no such route in version " +
                          std::string(refused.back()->Field("routes_version")),
                      refused);
    }
    const auto cut = Near([&](const log_line& line) {
      return line.event == "domain_cut_off" && line.instance == instance;
    });
    if (!cut.empty()) {
      return Conclude(failure_cause::kDomainUnreachable,
                      instance + " was cut off from the domains with servers",
                      cut);
    }
    const auto beliefs = Near([&](const log_line& line) {
      return line.instance == instance &&
             (line.event == "server_silent" || line.event == "store_lost" ||
              line.event == "domain_withdrawn");
    });
    return Conclude(failure_cause::kNoServer,
                    "no server took new flows at " + instance, beliefs);
  }

  bool LostItsInstance() {
    // A planned stop forwards until the fabric has turned away.
    std::set<std::string> stopped;
    for (const log_line* line :
         Near([](const log_line& l) { return l.event == "stopped"; })) {
      stopped.insert(line->instance);
    }
    const auto starts = Near([&](const log_line& line) {
      return line.event == "starting" && !stopped.contains(line.instance) &&
             (carriers_.empty() || carriers_.contains(line.instance));
    });
    if (starts.empty()) return false;
    const log_line& lost = *starts.front();
    return Conclude(failure_cause::kInstanceLost,
                    lost.instance + " was not running: it started again at " +
                        std::string(lost.Field("time")),
                    starts);
  }

  bool LostItsServer() {
    const auto silent = Near([this](const log_line& line) {
      return line.event == "server_silent" &&
             (line.Field("server") == server_ ||
              (!domain_.empty() && line.Field("domain") == domain_));
    });
    const auto resets = Near([this](const log_line& line) {
      return IsOwn(line) && line.event == "flow_reset";
    });
    const auto again = Near([this](const log_line& line) {
      return IsOwn(line) && line.Field("outcome") == "placed_again";
    });
    std::set<std::string_view> servers;
    for (const log_line* line : silent) servers.insert(line->Field("server"));
    if (servers.size() >= kServersOfCut) {
      return Conclude(failure_cause::kDomainUnreachable,
                      std::to_string(servers.size()) + " servers of " +
                          std::string(domain_) + " were out of reach",
                      silent);
    }
    if (servers.contains(server_) || !resets.empty() || !again.empty()) {
      return Conclude(failure_cause::kServerSilent,
                      "server " + std::string(server_) + " answered nobody",
                      silent);
    }
    return false;
  }

  bool FoundInstanceNotReady() {
    const auto lines = Near([this](const log_line& line) {
      const bool is_carrier =
          carriers_.empty() || carriers_.contains(line.instance);
      return is_carrier &&
             (line.event == "pause_noticed" || line.event == "domain_cut_off");
    });
    if (lines.empty()) return false;
    return Conclude(failure_cause::kInstanceNotReady,
                    lines.front()->instance + " could not forward", lines);
  }

  const std::vector<log_line>& lines_;
  const failed_request& failed_;
  std::vector<const log_line*> own_;
  /// Instances that have decided about the flow.
  std::set<std::string> carriers_;
  std::string_view server_;
  std::string_view domain_;
  explanation found_;
};

}  // namespace

explanation ExplainFailure(const std::vector<log_line>& lines,
                           const failed_request& failed) {
  return inquiry(lines, failed).Explain();
}

}  // namespace poplarstair
