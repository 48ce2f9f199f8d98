// A lost answer to a handshake, then a rolling restart: does an open flow keep
// its target? See claim.txt.
#include "../standins-2/site.hpp"

namespace review {
namespace {

/// Datagrams that the network loses in the whole run.
constexpr size_t kMostLost = 2;
/// When they are lost, and when the restarts begin: by then, no target or link
/// has had a disruption for stable_window_ms (4,000).
constexpr double kLossAt = 5000;
constexpr double kRestartsAt = 9700;
/// Instances that are restarted in turn, a share of 0.4 as on the days of
/// bbb-wien: ost-b-1, ost-b-2, ost-c-1. Each is back in rotation before the
/// next one stops.
constexpr size_t kRestarted[] = {3, 4, 5};
/// Clients whose zone is ost-b.
constexpr size_t kClientsOfZone[] = {1, 4, 7, 10};
constexpr double kEnd = 23000;

class lost_handshake_case {
 public:
  explicit lost_handshake_case(const case_options& options) : site_(options) {
    site_.is_lost = [this](const target& t, const flow_key& key,
                           const packet& p) { return IsLost(t, key, p); };
    site_.on_opened = [this](const target& t, const flow_key& key) {
      open_at_[key] = &t;
    };
    site_.on_arrived = [this](const target& t, const flow_key& key,
                              const packet& p) { OnArrived(t, key, p); };
    site_.on_target_reset = [this](const target& t, const flow_key& key) {
      last_reset_by_[key] = &t;
    };
    site_.on_client_reset = [this](const flow_key& key, const packet& p,
                                   bool is_open) {
      if (is_open) OnReset(key, p);
    };
    // Users of long flows: most at the start, some at the time of the loss.
    for (size_t i = 0; i < 60; ++i) {
      site_.At(static_cast<double>(i) * 50, [this, i] { AddUser(i % 12); });
    }
    for (size_t i = 0; i < 12; ++i) {
      site_.At(kLossAt + static_cast<double>(i) * 40,
               [this, i] { AddUser(kClientsOfZone[i % 4]); });
    }
    site_.At(0, [this] { site_.KeepAsking(site_.Registration(), 20); });
    site_.At(kRestartsAt, [this] { RestartNext(0); });
  }

  int Run() {
    site_.RunUntil(kEnd);
    const bool has_worked = site_.Finish();
    std::printf("datagrams lost %zu, flows broken %zu\n", lost_.size(),
                broken_.size());
    site_.Record().Line("datagrams lost %zu, flows broken %zu", lost_.size(),
                        broken_.size());
    if (site_.Instances().HasEndedByItself()) broken_.insert({});
    if (!broken_.empty()) return 1;
    return has_worked ? 0 : 2;
  }

 private:
  void AddUser(size_t client) {
    // Long flows, with pauses between the requests.
    site_.Clients()[client]->AddUser(site_.Feed(), 1000, 3000, 1000);
  }

  void RestartNext(size_t i) {
    if (i == std::size(kRestarted)) return;
    site_.Instances().Restart(kRestarted[i]);
    site_.Loop().After(1200, [this, i] { AwaitReturn(i); });
  }
  void AwaitReturn(size_t i) {
    if (site_.Instances().At(kRestarted[i]).misses == 0) {
      return RestartNext(i + 1);
    }
    site_.Loop().After(50, [this, i] { AwaitReturn(i); });
  }

  /// The first answer to the handshake of some flows that open after kLossAt.
  bool IsLost(const target& t, const flow_key& key, const packet& p) {
    const double now = site_.Loop().Now() - kLeadMs;
    const bool is_wanted = site_.HasTrouble() && p.Has(kSyn) &&
                           key.second == site_.Feed().service &&
                           now >= kLossAt && now < kLossAt + 600 &&
                           lost_.size() < kMostLost && !lost_.contains(key);
    if (!is_wanted) return false;
    lost_.insert(key);
    site_.Record().Line("lost: the answer of %s to the handshake of %s",
                        t.Name().c_str(), FlowText(key).c_str());
    return true;
  }

  /// FLOW (b): three or more packets of an open flow have reached other targets
  /// for flow_stray_ms (2,000), and none its own.
  void OnArrived(const target& t, const flow_key& key, const packet& p) {
    const auto it = open_at_.find(key);
    if (it == open_at_.end()) return;
    if (it->second == &t) {
      strayed_.erase(key);
      if (p.Has(kFin) || p.Has(kRst)) open_at_.erase(it);
      return;
    }
    site_.Record().Line("stray: a packet of %s, open at %s, reaches %s",
                        FlowText(key).c_str(), it->second->Name().c_str(),
                        t.Name().c_str());
    auto& [count, since] = strayed_[key];
    if (count++ == 0) since = site_.Loop().Now();
    if (count >= 3 && site_.Loop().Now() - since >= 2000) Broken(key, "(b)");
  }

  /// FLOW (a): the client gets a reset that the flow's target did not send.
  void OnReset(const flow_key& key, const packet& p) {
    const auto it = open_at_.find(key);
    if (it == open_at_.end()) return;
    const target& own = *it->second;
    const bool is_own = p.sum != 0 && last_reset_by_[key] == &own;
    if (!is_own && own.IsAlive() && own.HoldsFlow(key)) Broken(key, "(a)");
    open_at_.erase(it);
  }

  void Broken(const flow_key& key, const char* part) {
    if (!broken_.insert(key).second) return;
    site_.Record().Line("BROKEN FLOW %s: %s is open at %s, which lives", part,
                        FlowText(key).c_str(),
                        open_at_.at(key)->Name().c_str());
  }

  site site_;
  std::set<flow_key> lost_;
  std::map<flow_key, const target*> open_at_;
  std::map<flow_key, const target*> last_reset_by_;
  std::map<flow_key, std::pair<int, double>> strayed_;
  std::set<flow_key> broken_;
};

}  // namespace
}  // namespace review

int main(int count, char** words) {
  return review::lost_handshake_case(review::OptionsOf(count, words)).Run();
}
