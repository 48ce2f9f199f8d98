// Many memberships on one message bus in virtual time.
#ifndef POPLARSTAIR_PERFORMANCE_TEST_MEMBERSHIP_FLEET_H_
#define POPLARSTAIR_PERFORMANCE_TEST_MEMBERSHIP_FLEET_H_

#include <algorithm>
#include <cmath>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "poplarstair/membership/membership.h"
#include "poplarstair/membership/membership_message.h"
#include "poplarstair/testing/message_bus.h"

namespace poplarstair {

/// Bytes that the instances have sent in each second of a phase.
struct traffic_summary {
  double mean_bytes_per_s = 0;
  /// Of the instance and second with the most.
  double worst_second_bytes = 0;
  /// Most that one instance sent in ten seconds on end, as bytes/s.
  double worst_window_bytes_per_s = 0;
};

class membership_fleet {
 public:
  struct node {
    instance_address address;
    incarnation life = 1;
    bool is_up = false;
    bool is_paused = false;
    std::unique_ptr<membership> members;
  };

  membership_fleet(size_t size, size_t domains, uint64_t seed,
                   const membership_settings& settings = {})
      : settings_(settings), random_(seed), bus_(queue_, {}, seed) {
    nodes_.resize(size);
    for (size_t i = 0; i < size; ++i) {
      instance_address& address = nodes_[i].address;
      address.name = "entry-" + std::to_string(i);
      address.id = IdFromName<instance_id>(address.name);
      address.failure_domain = failure_domain_id(1 + i % domains);
      const auto host = static_cast<uint32_t>(0x0a000000 + i);
      address.peer_address = {ip_address::FromV4(host), 6081};
      address.hand_on_address = {ip_address::FromV4(host), 6082};
      list_.push_back({address, false});
      index_of_[address.id] = i;
    }
  }

  size_t Size() const { return nodes_.size(); }
  node& At(size_t i) { return nodes_[i]; }
  event_queue& Queue() { return queue_; }
  message_bus& Bus() { return bus_; }
  std::vector<listed_instance>& List() { return list_; }

  void StartAll() {
    for (size_t i = 0; i < Size(); ++i) Start(i);
  }

  /// Starts all with the views of a fleet that has run for long.
  void StartKnown() {
    StartAll();
    membership_message known;
    known.kind = membership_kind::kEntries;
    for (const node& n : nodes_) {
      known.claims.push_back({n.address.id, n.life * kLifeStep, 0,
                              member_state::kAlive, std::nullopt});
    }
    for (size_t i = 0; i < Size(); ++i) {
      known.sender = known.claims[(i + 1) % Size()];
      nodes_[i].members->OnMessage(
          queue_.Now(),
          {known.sender.id, nodes_[i].address.id, message_channel::kMembership,
           EncodeMembershipMessage(known)});
    }
  }

  /// Starts the instance, or starts it again as a new process.
  void Start(size_t i) {
    node& n = nodes_[i];
    if (n.members) ++n.life;
    n.is_up = true;
    n.members = std::make_unique<membership>(
        settings_, n.address, n.life * kLifeStep,
        random_source(random_(), n.address.id.Value()), HooksOf(i));
    n.members->OnPlatformList(queue_.Now(), list_);
    bus_.Attach(n.address.id, n.address.failure_domain,
                [this, i](const peer_message& message) {
                  node& to = nodes_[i];
                  if (!to.is_paused)
                    to.members->OnMessage(queue_.Now(), message);
                });
    if (ticking_.insert(i).second) {
      const auto offset = static_cast<int64_t>(
          RandomBelow(random_, static_cast<uint64_t>(kTick.count())));
      queue_.Every(kTick, duration(offset), [this, i] { Tick(i); });
    }
  }

  void Kill(size_t i) {
    nodes_[i].is_up = false;
    bus_.Detach(nodes_[i].address.id);
  }

  /// Leaves, and stops a second later.
  void Leave(size_t i) {
    nodes_[i].members->BeginLeave(queue_.Now());
    queue_.After(std::chrono::seconds(1), [this, i] { Kill(i); });
  }

  void CutDomain(size_t domain, bool both_ways = true) {
    for (size_t other = 1; other <= kMaxDomains; ++other) {
      if (other == domain) continue;
      bus_.CutOneWay(failure_domain_id(domain), failure_domain_id(other));
      if (both_ways) {
        bus_.CutOneWay(failure_domain_id(other), failure_domain_id(domain));
      }
    }
  }

  /// Runs on and takes the traffic of each second.
  traffic_summary RunFor(duration length) {
    constexpr duration kSecond = std::chrono::seconds(1);
    constexpr size_t kWindowSeconds = 10;
    traffic_summary summary;
    std::vector<std::vector<double>> sent;
    double total = 0;
    for (duration done{}; done < length; done += kSecond) {
      bus_.ResetTraffic();
      queue_.RunFor(kSecond);
      auto& second = sent.emplace_back(Size());
      for (size_t i = 0; i < Size(); ++i) {
        second[i] = static_cast<double>(bus_.Sent(nodes_[i].address.id).bytes);
        total += second[i];
        summary.worst_second_bytes =
            std::max(summary.worst_second_bytes, second[i]);
        if (sent.size() < kWindowSeconds) continue;
        double window = 0;
        for (size_t s = sent.size() - kWindowSeconds; s < sent.size(); ++s) {
          window += sent[s][i];
        }
        summary.worst_window_bytes_per_s =
            std::max(summary.worst_window_bytes_per_s, window / kWindowSeconds);
      }
    }
    summary.mean_bytes_per_s =
        total / static_cast<double>(sent.size() * Size());
    return summary;
  }

  /// What `observer` takes `subject` for; dead if unknown.
  member_state StateOf(size_t observer, size_t subject) const {
    const member* m =
        nodes_[observer].members->View().Find(nodes_[subject].address.id);
    return m == nullptr ? member_state::kDead : m->state;
  }

  bool IsConverged(size_t i) const {
    return ShowsTruth(nodes_[i].members->View());
  }

  /// True if every view shows exactly the running instances as alive, under
  /// their present life.
  bool IsConverged() const {
    return std::all_of(nodes_.begin(), nodes_.end(), [this](const node& n) {
      return !n.is_up || ShowsTruth(n.members->View());
    });
  }

  /// Events of the log since the last reset.
  struct log_counts {
    uint64_t refuted = 0;
    /// Deaths of running instances, over all views.
    uint64_t false_deaths = 0;
    uint64_t partitions = 0;
  };
  log_counts& Counts() { return counts_; }

  static constexpr duration kTick = std::chrono::milliseconds(50);
  static constexpr size_t kMaxDomains = 16;

 private:
  /// Real lives are times in microseconds and encode as long.
  static constexpr incarnation kLifeStep = uint64_t{1} << 50;

  bool ShowsTruth(const member_view& view) const {
    if (view.partitioned) return false;
    size_t alive = 0;
    for (const member& m : view.members) {
      const node& n = nodes_[index_of_.at(m.address.id)];
      if (m.state == member_state::kSuspect) return false;
      const bool is_alive = m.state == member_state::kAlive;
      if (is_alive != n.is_up || (n.is_up && m.life < n.life * kLifeStep)) {
        return false;
      }
      alive += is_alive ? 1 : 0;
    }
    const auto up = std::count_if(nodes_.begin(), nodes_.end(),
                                  [](const node& n) { return n.is_up; });
    return alive == static_cast<size_t>(up);
  }

  void Tick(size_t i) {
    node& n = nodes_[i];
    if (n.is_up && !n.is_paused) n.members->OnTick(queue_.Now());
  }

  membership::hooks HooksOf(size_t i) {
    membership::hooks actions;
    actions.send = [this, i](const peer_message& message) {
      // As in the daemon: a message goes only where the address is known.
      const bool is_known = nodes_[i].members && nodes_[i].members->View().Find(
                                                     message.to) != nullptr;
      if (is_known) bus_.Send(message);
    };
    actions.log = [this](const log_record& record) { CountEvent(record); };
    actions.view_changed = [](time_point, const member_view&) {};
    return actions;
  }

  void CountEvent(const log_record& record) {
    if (record.Event() == "membership_refuted") ++counts_.refuted;
    if (record.Event() == "partition_began") ++counts_.partitions;
    if (record.Event() != "member_state") return;
    const std::string line = record.ToLine();
    if (line.find(" state=dead") == std::string::npos) return;
    constexpr std::string_view kKey = "instance=";
    const size_t start = line.find(kKey) + kKey.size();
    const std::string name = line.substr(start, line.find(' ', start) - start);
    const node& n = nodes_[index_of_.at(IdFromName<instance_id>(name))];
    if (n.is_up && !n.is_paused) ++counts_.false_deaths;
  }

  const membership_settings settings_;
  random_source random_;
  event_queue queue_;
  message_bus bus_;
  std::vector<node> nodes_;
  std::vector<listed_instance> list_;
  absl::flat_hash_map<instance_id, size_t> index_of_;
  std::set<size_t> ticking_;
  log_counts counts_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_PERFORMANCE_TEST_MEMBERSHIP_FLEET_H_
