#include "poplarstair/testing/measure.h"

#include <algorithm>
#include <map>
#include <set>

namespace poplarstair {

namespace {

/// Calls younger than this at the end of a run may be without an end.
constexpr duration kCallLife = std::chrono::seconds(8);

class measurer {
 public:
  measurer(const history& events, const site_facts& facts, time_point since)
      : events_(events), facts_(facts), since_(since) {}

  double Value(measure what) const {
    switch (what) {
      case measure::kFlowsOpened:
        return Count(history_kind::kFlowOpened);
      case measure::kBrokenFlows:
        return Count(history_kind::kFlowBroken);
      case measure::kMisroutedPackets:
        return CountIf([this](const history_event& e) {
          return e.kind == history_kind::kPacketDelivered && !IsOwner(e);
        });
      case measure::kPacketsToDomain:
        return PacketsToDomain();
      case measure::kNewWorkOnDraining:
        return NewWorkOnDraining();
      case measure::kRunsTwice:
        return RunsTwice();
      case measure::kCalls:
        return Count(history_kind::kCallStarted);
      case measure::kAnsweredPercent:
        return Percent(outcome::kAnswered);
      case measure::kNotRunPercent:
        return Percent(outcome::kNotRun);
      case measure::kUnknownPercent:
        return Percent(outcome::kOutcomeUnknown);
      case measure::kCallsWithoutEnd:
        return CallsWithoutEnd();
      case measure::kColdRefusals:
        return Count(history_kind::kRunShedCold);
      case measure::kSlotRefusals:
        return Count(history_kind::kRunShed);
      case measure::kGenerationsBehind:
        return static_cast<double>(Accepted() - LowestInForce());
      case measure::kGeneration:
        return static_cast<double>(Accepted());
      case measure::kImbalance:
        return Imbalance();
    }
    return 0;
  }

 private:
  template <typename Predicate>
  double CountIf(Predicate counts) const {
    return static_cast<double>(std::count_if(
        events_.begin(), events_.end(), [&](const history_event& event) {
          return event.when >= since_ && counts(event);
        }));
  }

  double Count(history_kind kind) const {
    return CountIf([kind](const history_event& e) { return e.kind == kind; });
  }

  bool IsOwner(const history_event& e) const {
    const auto& owners = facts_.servers.at(e.server).owners;
    return std::find(owners.begin(), owners.end(), e.service) != owners.end();
  }

  double Percent(outcome result) const {
    const double all = Count(history_kind::kCallEnded);
    const double these = CountIf([result](const history_event& e) {
      return e.kind == history_kind::kCallEnded && e.result == result;
    });
    return all == 0 ? 0 : 100 * these / all;
  }

  double PacketsToDomain() const {
    std::set<failure_domain_id> out;
    return CountIfInOrder([&](const history_event& e) {
      if (e.kind == history_kind::kDomainOut) out.insert(e.domain);
      if (e.kind == history_kind::kDomainIn) out.erase(e.domain);
      return e.kind == history_kind::kPacketDelivered && out.contains(e.domain);
    });
  }

  double NewWorkOnDraining() const {
    std::set<backend_server_id> draining;
    return CountIfInOrder([&](const history_event& e) {
      if (e.kind == history_kind::kServerDraining) draining.insert(e.server);
      if (e.kind == history_kind::kServerActive) draining.erase(e.server);
      const bool is_new =
          e.kind == history_kind::kRunStarted ||
          (e.kind == history_kind::kPacketDelivered && e.opens_flow);
      return is_new && draining.contains(e.server);
    });
  }

  double RunsTwice() const {
    std::set<std::string> ran;
    return CountIfInOrder([&](const history_event& e) {
      if (e.kind != history_kind::kRunStarted || e.may_be_repeated) {
        return false;
      }
      return !ran.insert(e.request).second;
    });
  }

  /// Like CountIf, for predicates that have to see every event.
  template <typename Predicate>
  double CountIfInOrder(Predicate counts) const {
    double count = 0;
    for (const history_event& event : events_) {
      if (counts(event) && event.when >= since_) ++count;
    }
    return count;
  }

  double CallsWithoutEnd() const {
    if (events_.empty()) return 0;
    const time_point limit = events_.back().when - kCallLife;
    std::set<uint64_t> open;
    for (const history_event& event : events_) {
      if (event.kind == history_kind::kCallStarted && event.when >= since_ &&
          event.when < limit) {
        open.insert(event.number);
      }
      if (event.kind == history_kind::kCallEnded) open.erase(event.number);
    }
    return static_cast<double>(open.size());
  }

  generation Accepted() const {
    generation accepted = 0;
    for (const history_event& event : events_) {
      if (event.kind != history_kind::kConfigAccepted) continue;
      accepted = std::max(accepted, event.number);
    }
    return accepted;
  }

  generation LowestInForce() const {
    std::map<instance_id, generation> in_force;
    for (const history_event& event : events_) {
      if (event.kind == history_kind::kConfigInForce) {
        in_force[event.instance] = event.number;
      }
    }
    generation lowest = Accepted();
    for (const auto& [id, number] : in_force) lowest = std::min(lowest, number);
    return lowest;
  }

  double Imbalance() const {
    std::map<service_id, std::map<backend_server_id, double>> opened;
    for (const auto& [id, fact] : facts_.servers) {
      opened[fact.owners.front()][id] = 0;
    }
    for (const history_event& event : events_) {
      if (event.kind != history_kind::kFlowOpened) continue;
      if (event.when >= since_) ++opened[event.service][event.server];
    }
    double worst = 0;
    for (const auto& [service, servers] : opened) {
      double sum = 0;
      double most = 0;
      for (const auto& [id, count] : servers) {
        sum += count;
        most = std::max(most, count);
      }
      const double mean = sum / static_cast<double>(servers.size());
      if (mean > 0) worst = std::max(worst, most / mean);
    }
    return worst;
  }

  const history& events_;
  const site_facts& facts_;
  const time_point since_;
};

}  // namespace

double Measure(measure what, const history& events, const site_facts& facts,
               time_point since) {
  return measurer(events, facts, since).Value(what);
}

}  // namespace poplarstair
