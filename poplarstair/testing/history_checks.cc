#include "poplarstair/testing/history_checks.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>

namespace poplarstair {

namespace {

using violations = std::vector<violation>;

class checker {
 public:
  checker(const history& events, const site_facts& facts)
      : events_(events), facts_(facts) {}

  violations Check() {
    CheckFlowsSurvive();
    CheckOwnService();
    CheckColdServers();
    CheckWithdrawnDomains();
    CheckAnswers();
    CheckNotRun();
    CheckAtMostOnce();
    CheckLeavingServers();
    CheckGracefulStops();
    CheckConfiguration();
    CheckSlots();
    CheckLeases();
    return std::move(found_);
  }

 private:
  void Report(promise broken, const history_event& event,
              const std::string& what) {
    found_.push_back({broken, event.when, what});
  }

  std::string NameOfServer(backend_server_id id) const {
    return facts_.servers.at(id).name;
  }

  static bool IsRun(const history_event& event) {
    return event.kind == history_kind::kRunStarted;
  }

  /// Work that reaches a server, whatever the server does with it.
  static bool IsWork(const history_event& event) {
    return event.kind == history_kind::kPacketDelivered || IsRun(event) ||
           event.kind == history_kind::kRunShed ||
           event.kind == history_kind::kRunShedCold;
  }

  /// A flow may end with its server's process or domain, with nothing else.
  void CheckFlowsSurvive() {
    std::map<backend_server_id, time_point> crashed;
    std::map<failure_domain_id, time_point> out;
    std::set<failure_domain_id> is_out;
    std::map<uint64_t, time_point> opened;
    for (const history_event& event : events_) {
      if (event.kind == history_kind::kServerCrashed) {
        crashed[event.server] = event.when;
      } else if (event.kind == history_kind::kDomainOut) {
        out[event.domain] = event.when;
        is_out.insert(event.domain);
      } else if (event.kind == history_kind::kDomainIn) {
        is_out.erase(event.domain);
      } else if (event.kind == history_kind::kFlowOpened) {
        opened[event.number] = event.when;
      } else if (event.kind == history_kind::kFlowBroken) {
        const time_point since = opened[event.number];
        const auto crash = crashed.find(event.server);
        const failure_domain_id domain = facts_.servers.at(event.server).domain;
        const auto withdrawal = out.find(domain);
        const bool is_excused =
            (crash != crashed.end() && crash->second >= since) ||
            (withdrawal != out.end() && withdrawal->second >= since) ||
            is_out.contains(domain);
        if (is_excused) continue;
        Report(promise::kFlowsSurvive, event,
               "flow " + std::to_string(event.number) + " at " +
                   NameOfServer(event.server) + " broke");
      }
    }
  }

  /// A server belongs to one service at a time: once work of a new owner has
  /// come, none of an earlier one may.
  void CheckOwnService() {
    std::map<backend_server_id, std::ptrdiff_t> latest_owner;
    for (const history_event& event : events_) {
      if (!IsWork(event)) continue;
      const server_fact& server = facts_.servers.at(event.server);
      const auto& owners = server.owners;
      const auto found = std::find(owners.begin(), owners.end(), event.service);
      const auto owner = found - owners.begin();
      std::ptrdiff_t& latest = latest_owner[event.server];
      if (found != owners.end() && owner >= latest) {
        latest = owner;
        continue;
      }
      Report(promise::kOwnService, event,
             "work of another service reached " + server.name);
    }
  }

  void CheckColdServers() {
    std::map<backend_server_id, time_point> cold_since;
    for (const history_event& event : events_) {
      if (event.kind == history_kind::kServerCold) {
        cold_since[event.server] = event.when;
      } else if (event.kind == history_kind::kRunShedCold &&
                 event.when >= cold_since[event.server] + kColdNoticeBound) {
        Report(promise::kColdServerLoad, event,
               NameOfServer(event.server) + " got more than it bears cold");
      }
    }
  }

  void CheckWithdrawnDomains() {
    std::map<failure_domain_id, time_point> out;
    for (const history_event& event : events_) {
      if (event.kind == history_kind::kDomainOut) {
        out.emplace(event.domain, event.when);
      } else if (event.kind == history_kind::kDomainIn) {
        out.erase(event.domain);
      } else if (IsWork(event) && event.could_know) {
        const auto found = out.find(event.domain);
        if (found == out.end()) continue;
        if (event.when <= found->second + kWithdrawalBound) continue;
        Report(promise::kWithdrawnDomainQuiet, event,
               NameOfServer(event.server) + " got work in a domain taken out");
      }
    }
  }

  void CheckAnswers() {
    for (const history_event& event : events_) {
      if (event.kind != history_kind::kCallEnded) continue;
      if (event.result != outcome::kAnswered || event.is_own_answer) continue;
      Report(promise::kWholeOwnAnswer, event,
             "request " + event.request + " got another answer");
    }
  }

  /// No attempt that was sent before a "not run" may ever have run. Copies at
  /// other instances count where the request may not be repeated.
  void CheckNotRun() {
    std::map<std::pair<instance_id, uint64_t>, time_point> sent;
    std::map<std::string, std::vector<const history_event*>> runs;
    for (const history_event& event : events_) {
      if (event.kind == history_kind::kAttemptSent) {
        sent[{event.instance, event.number}] = event.when;
      } else if (IsRun(event)) {
        runs[event.request].push_back(&event);
      }
    }
    for (const history_event& event : events_) {
      if (event.kind != history_kind::kCallEnded) continue;
      if (event.result != outcome::kNotRun) continue;
      for (const history_event* run : runs[event.request]) {
        const auto it = sent.find({run->instance, run->number});
        const time_point began = it == sent.end() ? run->when : it->second;
        const bool counts =
            !event.may_be_repeated || run->instance == event.instance;
        if (!counts || began > event.when) continue;
        Report(promise::kNotRunIsTrue, event,
               "request " + event.request + " was called not run, but ran");
        break;
      }
    }
  }

  void CheckAtMostOnce() {
    std::set<std::string> ran;
    for (const history_event& event : events_) {
      if (!IsRun(event) || event.may_be_repeated) continue;
      if (ran.insert(event.request).second) continue;
      Report(promise::kAtMostOnce, event,
             "request " + event.request + " ran again at " +
                 NameOfServer(event.server));
    }
  }

  void CheckLeavingServers() {
    std::map<backend_server_id, time_point> draining;
    for (const history_event& event : events_) {
      if (event.kind == history_kind::kServerDraining) {
        draining.emplace(event.server, event.when);
      } else if (event.kind == history_kind::kServerActive) {
        draining.erase(event.server);
      } else if (IsWork(event) && event.could_know) {
        const bool is_packet = event.kind == history_kind::kPacketDelivered;
        if (is_packet && !event.opens_flow) continue;
        const auto found = draining.find(event.server);
        if (found == draining.end()) continue;
        if (event.when <= found->second + kDrainBound) continue;
        Report(promise::kLeavingServerQuiet, event,
               NameOfServer(event.server) + " got new work while draining");
      }
    }
  }

  /// Calls under way when a stop begins end with an answer or a refusal; an
  /// answer may be lost to a fault that hit the call as well.
  void CheckGracefulStops() {
    std::map<uint64_t, const history_event*> under_way;
    std::map<instance_id, time_point> stopping;
    std::set<std::pair<instance_id, std::string>> attempted;
    std::optional<time_point> last_fault;
    for (const history_event& event : events_) {
      if (event.kind == history_kind::kFault) {
        last_fault = event.when;
      } else if (event.kind == history_kind::kAttemptSent) {
        attempted.emplace(event.instance, event.request);
      } else if (event.kind == history_kind::kCallStarted) {
        under_way[event.number] = &event;
      } else if (event.kind == history_kind::kInstanceStopping) {
        stopping[event.instance] = event.when;
      } else if (event.kind == history_kind::kCallEnded) {
        const auto it = under_way.find(event.number);
        if (it == under_way.end()) continue;
        const bool is_lost = event.result == outcome::kOutcomeUnknown;
        const bool is_excused = last_fault && *last_fault >= it->second->when;
        // A copy of an id that runs elsewhere ends as unknown by right.
        const bool ran_here =
            attempted.contains({event.instance, event.request});
        if (is_lost && ran_here && !is_excused &&
            stopping.contains(event.instance)) {
          Report(promise::kGracefulStop, event,
                 "request " + event.request + " was cut by a stop");
        }
        under_way.erase(it);
      } else if (event.kind == history_kind::kInstanceGone) {
        if (stopping.erase(event.instance) == 0) continue;
        for (const auto& [number, started] : under_way) {
          if (started->instance != event.instance) continue;
          Report(promise::kGracefulStop, event,
                 "request " + started->request + " had no end at a stop");
        }
      }
    }
  }

  void CheckConfiguration() {
    std::map<instance_id, generation> highest;
    std::map<instance_id, generation> reported_late;
    std::set<generation> based_on;
    for (const history_event& event : events_) {
      if (event.kind == history_kind::kConfigInForce) {
        generation& high = highest[event.instance];
        if (event.number < high) {
          Report(promise::kConfigInForce, event,
                 "generation " + std::to_string(event.number) +
                     " came into force after " + std::to_string(high));
        }
        high = std::max(high, event.number);
      } else if (event.kind == history_kind::kConfigChecked) {
        if (event.number >= event.wanted) continue;
        if (reported_late[event.instance] == event.wanted) continue;
        reported_late[event.instance] = event.wanted;
        Report(promise::kConfigInForce, event,
               "generation " + std::to_string(event.wanted) +
                   " is late at an instance with " +
                   std::to_string(event.number));
      } else if (event.kind == history_kind::kConfigAccepted) {
        if (event.wanted == 0 || based_on.insert(event.wanted).second) continue;
        Report(promise::kConfigInForce, event,
               "two edits were accepted on top of generation " +
                   std::to_string(event.wanted));
      }
    }
  }

  void CheckSlots() {
    for (const history_event& event : events_) {
      if (event.kind != history_kind::kRunShed) continue;
      Report(promise::kSlotsNotOverrun, event,
             NameOfServer(event.server) + " got more than its slots");
    }
  }

  /// A lease is used with the highest fencing number granted so far.
  void CheckLeases() {
    std::map<backend_server_id, uint64_t> granted;
    for (const history_event& event : events_) {
      if (event.kind == history_kind::kLeaseGranted) {
        uint64_t& latest = granted[event.server];
        latest = std::max(latest, event.number);
      } else if (event.kind == history_kind::kLeaseUsed &&
                 event.number < granted[event.server]) {
        Report(promise::kOneLeaseHolder, event,
               "lease of " + NameOfServer(event.server) +
                   " used with an old fencing number");
      }
    }
  }

  const history& events_;
  const site_facts& facts_;
  violations found_;
};

}  // namespace

std::vector<violation> CheckHistory(const history& events,
                                    const site_facts& facts) {
  return checker(events, facts).Check();
}

}  // namespace poplarstair
