#include "poplarstair/diagnosis/failure_explainer.h"

#include <algorithm>
#include <functional>
#include <set>

namespace poplarstair {

namespace {

using std::chrono::milliseconds;

/// How long before the request was sent a log line may still explain its
/// failure. Allows for the difference between the clocks of clients and
/// instances, and for causes that precede the request.
constexpr milliseconds kLookBack(1000);
/// How long after the failure a log line may still explain it. A lost instance
/// logs nothing until it has started again, and a server is reported silent
/// only after its clients have retransmitted.
constexpr milliseconds kLookAhead(2500);
/// How long the store lacks entries after its return from a copy: until they
/// are written again, or those of servers that have gone lapse.
constexpr milliseconds kWrittenAgain(4000);
/// When at least this many servers of one failure domain are silent, the whole
/// domain counts as unreachable.
constexpr size_t kMinServersUnreachable = 3;

using line_predicate = std::function<bool(const log_line&)>;

/// Searches the logs for the cause of one failed request.
class failure_analysis {
 public:
  failure_analysis(const std::vector<log_line>& lines,
                   const failed_request& failed)
      : lines_(lines), failed_(failed) {
    for (const log_line& line : lines) {
      if (!line.HasFieldValue(failed.key)) continue;
      if (line.at > failed.ended_at + kLookAhead) continue;
      flow_lines_.push_back(&line);
      if (!IsRefusedCopy(line)) flow_instances_.insert(line.instance);
      if (!line.Field("server").empty()) server_ = line.Field("server");
      if (!line.Field("domain").empty()) domain_ = line.Field("domain");
    }
  }

  explanation Explain() {
    for (const auto& rule :
         {&failure_analysis::CheckRefusal, &failure_analysis::CheckInstanceLoss,
          &failure_analysis::CheckServerLoss,
          &failure_analysis::CheckInstanceReadiness}) {
      if ((this->*rule)()) break;
    }
    found_.evidence.insert(found_.evidence.end(), flow_lines_.begin(),
                           flow_lines_.end());
    std::stable_sort(
        found_.evidence.begin(), found_.evidence.end(),
        [](const log_line* a, const log_line* b) { return a->at < b->at; });
    const auto end =
        std::unique(found_.evidence.begin(), found_.evidence.end());
    found_.evidence.erase(end, found_.evidence.end());
    return std::move(found_);
  }

 private:
  /// Lines that pass `test`, from `look_back` before the request was sent until
  /// kLookAhead after it failed.
  std::vector<const log_line*> FindNearby(
      const line_predicate& test, milliseconds look_back = kLookBack) const {
    std::vector<const log_line*> near;
    for (const log_line& line : lines_) {
      if (line.at < failed_.sent_at - look_back) continue;
      if (line.at > failed_.ended_at + kLookAhead) break;
      if (test(line)) near.push_back(&line);
    }
    return near;
  }

  /// The flow's first packet went elsewhere, and what became of that one is the
  /// cause.
  static bool IsRefusedCopy(const log_line& line) {
    return line.event == "flow_refused" &&
           line.Field("reason") == "unknown_opening";
  }

  bool IsAboutFlow(const log_line& line) const {
    return line.HasFieldValue(failed_.key);
  }

  bool SetResult(failure_cause cause, std::string summary,
                 const std::vector<const log_line*>& evidence) {
    found_.cause = cause;
    found_.summary = std::move(summary);
    found_.evidence.insert(found_.evidence.end(), evidence.begin(),
                           evidence.end());
    return true;
  }

  /// Returns of the store from a copy that may have cost what the flow was
  /// refused for.
  std::vector<const log_line*> FindReturns(const log_line& refused) const {
    if (refused.Field("reason") == "no_room") return {};
    return FindNearby(
        [&](const log_line& line) {
          return line.event == "store_restored" &&
                 line.instance == refused.instance && line.at <= refused.at;
        },
        kWrittenAgain);
  }

  bool CheckRefusal() {
    const auto refused = FindNearby([this](const log_line& line) {
      return IsAboutFlow(line) && line.event == "flow_refused" &&
             !IsRefusedCopy(line);
    });
    if (refused.empty()) return false;
    const std::string reason(refused.back()->Field("reason"));
    const std::string& instance = refused.back()->instance;
    if (const auto returns = FindReturns(*refused.back()); !returns.empty()) {
      return SetResult(failure_cause::kStoreRestored,
                       "the store had come back from a copy, and " + instance +
                           " refused with " + reason,
                       returns);
    }
    if (reason == "unknown_route") {
      return SetResult(failure_cause::kNoRoute,
                       instance + " had no such route in version " +
                           std::string(refused.back()->Field("routes_version")),
                       refused);
    }
    if (reason == "no_room") {
      const auto is_short = FindNearby([&](const log_line& line) {
        return line.event == "service_short" && line.instance == instance;
      });
      return SetResult(failure_cause::kNoRoom,
                       instance + " had no room for a flow of its priority",
                       is_short);
    }
    const auto cut = FindNearby([&](const log_line& line) {
      return line.event == "domain_cut_off" && line.instance == instance;
    });
    if (!cut.empty()) {
      return SetResult(
          failure_cause::kDomainUnreachable,
          instance + " was cut off from all domains that have servers", cut);
    }
    const auto state_changes = FindNearby([&](const log_line& line) {
      return line.instance == instance &&
             (line.event == "server_silent" || line.event == "store_lost" ||
              line.event == "domain_withdrawn");
    });
    return SetResult(failure_cause::kNoServer,
                     "no server accepted new flows at " + instance,
                     state_changes);
  }

  bool CheckInstanceLoss() {
    // A planned stop breaks no flow: the instance forwards packets until the
    // fabric has stopped sending to it.
    std::set<std::string> stopped;
    for (const log_line* line :
         FindNearby([](const log_line& l) { return l.event == "stopped"; })) {
      stopped.insert(line->instance);
    }
    const auto starts = FindNearby([&](const log_line& line) {
      return line.event == "starting" && !stopped.contains(line.instance) &&
             (flow_instances_.empty() ||
              flow_instances_.contains(line.instance));
    });
    if (starts.empty()) return false;
    const log_line& lost = *starts.front();
    return SetResult(failure_cause::kInstanceLost,
                     lost.instance + " was not running; it started again at " +
                         std::string(lost.Field("time")),
                     starts);
  }

  bool CheckServerLoss() {
    const auto silent = FindNearby([this](const log_line& line) {
      return line.event == "server_silent" &&
             (line.Field("server") == server_ ||
              (!domain_.empty() && line.Field("domain") == domain_));
    });
    const auto resets = FindNearby([this](const log_line& line) {
      return IsAboutFlow(line) && line.event == "flow_reset";
    });
    std::set<std::string_view> servers;
    for (const log_line* line : silent) servers.insert(line->Field("server"));
    if (servers.size() >= kMinServersUnreachable) {
      return SetResult(failure_cause::kDomainUnreachable,
                       std::to_string(servers.size()) + " servers of domain " +
                           std::string(domain_) + " were unreachable",
                       silent);
    }
    if (servers.contains(server_) || !resets.empty()) {
      return SetResult(failure_cause::kServerSilent,
                       "server " + std::string(server_) + " did not answer",
                       silent);
    }
    return false;
  }

  bool CheckInstanceReadiness() {
    const auto lines = FindNearby([this](const log_line& line) {
      const bool handled_flow =
          flow_instances_.empty() || flow_instances_.contains(line.instance);
      return handled_flow &&
             (line.event == "pause_noticed" || line.event == "domain_cut_off");
    });
    if (lines.empty()) return false;
    return SetResult(failure_cause::kInstanceNotReady,
                     lines.front()->instance + " could not forward packets",
                     lines);
  }

  const std::vector<log_line>& lines_;
  const failed_request& failed_;
  /// Lines that name the flow or request.
  std::vector<const log_line*> flow_lines_;
  /// Instances that logged a decision about the flow.
  std::set<std::string> flow_instances_;
  /// The last server and domain that the flow's lines name.
  std::string_view server_;
  std::string_view domain_;
  explanation found_;
};

}  // namespace

explanation ExplainFailure(const std::vector<log_line>& lines,
                           const failed_request& failed) {
  return failure_analysis(lines, failed).Explain();
}

}  // namespace poplarstair
