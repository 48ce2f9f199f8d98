// A fleet of cookie-steering instances in virtual time, with a store and a
// network that the test can break.
#ifndef POPLARSTAIR_TESTING_ENTRY_FLEET_H_
#define POPLARSTAIR_TESTING_ENTRY_FLEET_H_

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "poplarstair/steering/entry_instance.h"
#include "poplarstair/testing/catalog_store_fake.h"
#include "poplarstair/testing/event_queue.h"

namespace poplarstair {

class entry_fleet {
 public:
  entry_fleet(size_t instances, size_t domains, uint64_t seed)
      : domains_(domains), random_(seed) {
    store.changed = [this] { AnswerWatches(); };
    SetRoutes(1);
    SetServer(1, server_state::kReady);
    is_first_start_ = true;
    for (size_t i = 0; i < instances; ++i) Add(i);
    is_first_start_ = false;
  }

  void SetRoutes(uint64_t version) {
    route_table table;
    table.version = version;
    service_route route;
    route.address = endpoint::Parse("198.18.0.1:443");
    route.services = {{"s", 1}};
    table.routes = {route};
    table.services = {{"s", 0, 0}};
    store.Put(collection::kRoutes, "main", table);
  }

  void SetServer(uint64_t id, server_state state,
                 time_point cold_until = time_point{}, int64_t born_ms = 0) {
    SetNamedServer("i-" + std::to_string(id), id, id, state, cold_until,
                   born_ms);
  }
  /// `host` is the last part of its address.
  void SetNamedServer(const std::string& name, uint64_t id, uint64_t host,
                      server_state state, time_point cold_until = time_point{},
                      int64_t born_ms = 0) {
    server_entry server;
    server.born_ms = born_ms;
    server.reports = ++reports_;
    server.cold_until = cold_until;
    server.id = backend_server_id(id);
    server.service = "s";
    server.address = endpoint::Parse("10.9.0." + std::to_string(host) + ":80");
    server.failure_domain = "d0";
    server.state = state;
    store.Put(collection::kServers, name, server);
  }

  /// Starts instance `i`, or starts it anew.
  void Add(size_t i) {
    auto& slot = nodes_[i];
    slot = std::make_unique<node>();
    slot->index = i;
    entry_settings settings;
    settings.steering.failure_domain = DomainOf(i);
    settings.peers.self = AddressOf(i);
    settings.peers.failure_domain = DomainOf(i);
    settings.peers.seeds = {AddressOf(0), AddressOf(1), AddressOf(2)};
    settings.start.is_first_start = is_first_start_;
    slot->instance = std::make_unique<entry_instance>(
        settings, ++last_life_, random_source(random_()), slot->metrics,
        HooksOf(i));
    slot->instance->Start(queue.Now());
    Tick(i, slot.get());
    ArmTimer(i, slot.get());
  }
  void Kill(size_t i) { nodes_[i].reset(); }
  bool IsRunning(size_t i) const {
    const auto it = nodes_.find(i);
    return it != nodes_.end() && it->second != nullptr;
  }
  /// A planned stop; the instance goes on until Kill.
  void Stop(size_t i) { nodes_.at(i)->instance->OnStop(queue.Now()); }
  /// The instance stands still: what is sent to it meanwhile is lost, and
  /// packets that wait are read before its timers run.
  void Pause(size_t i, duration length) {
    node* owner = nodes_.at(i).get();
    owner->paused_at = queue.Now();
    queue.After(length, [this, i, owner] {
      if (!IsRunning(i) || nodes_[i].get() != owner) return;
      const duration paused = queue.Now() - owner->paused_at;
      owner->paused_at = kNever;
      queue.After(kDelay, [this, i, owner, paused] {
        if (!IsRunning(i) || nodes_[i].get() != owner) return;
        owner->instance->OnPause(queue.Now(), paused);
        Tick(i, owner);
      });
    });
  }
  bool IsPaused(size_t i) const { return nodes_.at(i)->paused_at != kNever; }

  void RunFor(duration length) { queue.RunFor(length); }

  /// A caller opens a flow through instance `i`; no server ever answers.
  steer_decision Open(size_t i, uint16_t port) {
    static constexpr uint8_t kBytes[] = {42};
    segment packet;
    packet.caller = {ip_address::Parse("100.64.0.7"), port};
    packet.service = endpoint::Parse("198.18.0.1:443");
    packet.opens_flow = true;
    entry_instance& instance = *nodes_.at(i)->instance;
    if (queue.Now() >= instance.NextTimer()) {
      instance.OnTimer(queue.Now());
    }
    return instance.OnSegment(queue.Now(), packet, kBytes);
  }

  /// The same, and the server answers at once.
  steer_decision OpenAndAnswer(size_t i, uint16_t port) {
    static constexpr uint8_t kBytes[] = {42};
    const steer_decision placed = Open(i, port);
    if (placed.verdict != steer_verdict::kForward ||
        servers_down.contains(placed.server.Value())) {
      return placed;
    }
    segment packet;
    packet.caller = {ip_address::Parse("100.64.0.7"), port};
    packet.service = endpoint::Parse("198.18.0.1:443");
    packet.cookie = placed.cookie;
    packet.sequence = 1;
    packet.acknowledged = 1;
    nodes_.at(i)->instance->OnSegment(queue.Now(), packet, kBytes);
    return placed;
  }

  /// A packet of an open flow that instance `i` has not seen before.
  steer_decision SendUnseen(size_t i, flow_cookie cookie) {
    static constexpr uint8_t kBytes[] = {42};
    segment packet;
    packet.caller = {ip_address::FromV4(0x64500000U + ++unseen_), 4000};
    packet.service = endpoint::Parse("198.18.0.1:443");
    packet.cookie = cookie;
    packet.sequence = 1;
    packet.acknowledged = 1;
    return nodes_.at(i)->instance->OnSegment(queue.Now(), packet, kBytes);
  }

  nlohmann::json State(size_t i) const {
    return nlohmann::json::parse(
        nodes_.at(i)->instance->StateJson(queue.Now()));
  }
  /// What instance `i` holds.
  catalog CatalogOf(size_t i) const {
    catalog_replica copy([](const log_record&) {});
    for (const collection what : {collection::kRoutes, collection::kServers,
                                  collection::kWithdrawals}) {
      copy.Import(
          queue.Now(), what,
          nodes_.at(i)->instance->ExportCollection(queue.Now(), what, {}));
    }
    return copy.Current();
  }
  bool Knows(size_t i, uint64_t version) const {
    return State(i)["routes_version"] == version;
  }
  bool Follows(size_t i) const { return State(i)["follows_store"]; }
  size_t Followers() const {
    size_t count = 0;
    for (const auto& [i, n] : nodes_) {
      if (n && Follows(i)) ++count;
    }
    return count;
  }
  /// Instances that run and don't have the routes in this version.
  size_t Behind(uint64_t version) const {
    size_t count = 0;
    for (const auto& [i, n] : nodes_) {
      if (n && !Knows(i, version)) ++count;
    }
    return count;
  }
  std::string DomainOf(size_t i) const {
    return "d" + std::to_string(i % domains_);
  }

  static constexpr duration kDelay = std::chrono::milliseconds(2);

  event_queue queue;
  catalog_store_fake store;
  bool is_store_down = false;
  /// May change an answer of the store; returns how much later it arrives.
  std::function<duration(store_reply&)> on_answer = [](store_reply&) {
    return duration::zero();
  };
  /// True if a call gets an answer of before the store's last return.
  std::function<bool()> answers_as_before = [] { return false; };
  /// How long the store takes to answer a list.
  duration list_delay = kDelay;
  /// Instances that the store turns away.
  std::set<size_t> refused;
  /// The connections of all waiting watches go silent; new ones work.
  void SilenceWatches() {
    for (const collection what : {collection::kRoutes, collection::kServers,
                                  collection::kWithdrawals}) {
      SilenceWatches(what);
    }
  }
  void SilenceWatches(collection what) {
    std::erase_if(watches_, [&](const waiting_watch& w) {
      if (w.request.what != what) return false;
      Answer(w.index, w.owner, w.since + w.request.timeout - queue.Now(),
             {w.request.id, store_status::kNoAnswer, 0, {}, false});
      return true;
    });
  }
  /// The store goes away, and comes back with what it held at `copy`. All
  /// watches are cut off.
  void ReturnStore(store_revision copy, duration away) {
    SilenceWatches();
    is_store_down = true;
    RunFor(away);
    is_store_down = false;
    store.ComeBack(copy);
  }
  /// True if no message passes between two instances.
  std::function<bool(size_t, size_t)> is_cut = [](size_t, size_t) {
    return false;
  };
  /// Tests of servers are answered.
  bool has_server_checks = false;
  /// Ids of servers whose processes have ended.
  std::set<uint64_t> servers_down;
  size_t store_calls = 0;
  size_t store_lists = 0;
  size_t digests = 0;
  size_t digest_bytes = 0;
  size_t fetches = 0;
  size_t fetched_bytes = 0;

 private:
  struct node {
    size_t index = 0;
    metric_registry metrics;
    std::unique_ptr<entry_instance> instance;
    /// kNever while it runs.
    time_point paused_at = kNever;
  };
  struct waiting_watch {
    size_t index;
    node* owner;
    store_request request;
    time_point since;
  };

  static endpoint AddressOf(size_t i) {
    return {ip_address::FromV4(0x0a010000U + static_cast<uint32_t>(i)), 8166};
  }
  static size_t IndexOf(const endpoint& e) { return e.address.V4() & 0xffffU; }

  /// Runs `work` on instance `i` after the network's delay, if it is still the
  /// same life.
  void Later(size_t i, const node* owner, duration delay,
             std::function<void(entry_instance&)> work) {
    queue.After(delay, [this, i, owner, work = std::move(work)] {
      const auto it = nodes_.find(i);
      if (it == nodes_.end() || it->second.get() != owner) return;
      if (it->second->paused_at != kNever) return;
      work(*it->second->instance);
    });
  }

  void Tick(size_t i, const node* owner) {
    Later(i, owner, entry_instance::kTickInterval,
          [this, i, owner](entry_instance& instance) {
            instance.OnTick(queue.Now());
            Tick(i, owner);
          });
  }

  /// Runs what is due between two ticks while the instance starts.
  void ArmTimer(size_t i, const node* owner) {
    const time_point due = owner->instance->NextTimer();
    if (due == kNever) return;
    Later(i, owner, due - queue.Now(),
          [this, i, owner](entry_instance& instance) {
            instance.OnTimer(queue.Now());
            ArmTimer(i, owner);
          });
  }

  entry_instance::hooks HooksOf(size_t i) {
    entry_instance::hooks hooks;
    hooks.log = [](const log_record&) {};
    hooks.call_store = [this, i](const store_request& r) { CallStore(i, r); };
    hooks.send_digest = [this, i](const std::vector<endpoint>& peers,
                                  const std::string& bytes) {
      for (const endpoint& peer : peers) SendDigest(i, IndexOf(peer), bytes);
    };
    hooks.fetch = [this, i](const endpoint& peer, collection what,
                            store_position since) {
      ++fetches;
      const size_t from = IndexOf(peer);
      std::string exported;
      if (nodes_[from] && !is_cut(i, from)) {
        exported =
            nodes_[from]->instance->ExportCollection(queue.Now(), what, since);
        fetched_bytes += exported.size();
      }
      const duration delay =
          exported.empty() ? std::chrono::milliseconds(400) : 2 * kDelay;
      Later(i, nodes_[i].get(), delay,
            [this, peer, what, exported](entry_instance& instance) {
              instance.OnFetched(queue.Now(), peer, what, exported);
            });
    };
    // Servers are known in the order of their ids, from 1.
    hooks.check_server = [this, i](server_row row, const endpoint&) {
      if (!has_server_checks) return;
      const bool is_reachable = !servers_down.contains(row + 1);
      Later(i, nodes_[i].get(), kDelay,
            [this, row, is_reachable](entry_instance& instance) {
              instance.OnServerChecked(queue.Now(), row, is_reachable);
            });
    };
    hooks.send_again = [](std::span<const uint8_t>, const steer_decision&) {};
    hooks.reset = [](const segment&) {};
    return hooks;
  }

  void SendDigest(size_t from, size_t to, const std::string& bytes) {
    ++digests;
    digest_bytes += bytes.size();
    if (!nodes_[to] || is_cut(from, to)) return;
    Later(to, nodes_[to].get(), kDelay,
          [this, bytes](entry_instance& instance) {
            instance.OnDigest(queue.Now(), bytes);
          });
  }

  void CallStore(size_t i, const store_request& request) {
    ++store_calls;
    if (request.operation == store_operation::kList) ++store_lists;
    const node* owner = nodes_[i].get();
    if (is_store_down) {
      return Answer(i, owner, request.timeout,
                    {request.id, store_status::kNoAnswer, 0, {}, false});
    }
    if (refused.contains(i)) {
      return Answer(i, owner, kDelay,
                    {request.id, store_status::kUnavailable, 0, {}, false});
    }
    const catalog_store_fake& answering =
        answers_as_before() ? store.Before() : store;
    if (request.operation == store_operation::kList) {
      return Answer(i, owner, list_delay, answering.List(request));
    }
    const store_reply changes = answering.Changes(request);
    if (IsNews(changes)) return Answer(i, owner, kDelay, changes);
    watches_.push_back({i, nodes_[i].get(), request, queue.Now()});
    Later(i, owner, request.wait,
          [this, i, id = request.id](entry_instance&) { EndWatch(i, id); });
  }

  static bool IsNews(const store_reply& reply) {
    return reply.status != store_status::kOk || !reply.objects.empty();
  }

  void Answer(size_t i, const node* owner, duration delay, store_reply reply) {
    delay += on_answer(reply);
    Later(i, owner, delay,
          [this, reply = std::move(reply)](entry_instance& instance) {
            instance.OnStoreReply(queue.Now(), reply);
          });
  }

  void EndWatch(size_t i, uint64_t id) {
    std::erase_if(watches_, [&](const waiting_watch& w) {
      if (w.index != i || w.request.id != id) return false;
      Answer(w.index, w.owner, kDelay, store.Changes(w.request));
      return true;
    });
  }

  void AnswerWatches() {
    if (is_store_down) return;
    std::erase_if(watches_, [&](const waiting_watch& w) {
      const store_reply changes = store.Changes(w.request);
      if (!IsNews(changes) || refused.contains(w.index)) return false;
      Answer(w.index, w.owner, kDelay, changes);
      return true;
    });
  }

  const size_t domains_;
  bool is_first_start_ = false;
  random_source random_;
  incarnation last_life_ = 100;
  uint64_t reports_ = 0;
  uint32_t unseen_ = 0;
  std::map<size_t, std::unique_ptr<node>> nodes_;
  std::vector<waiting_watch> watches_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_TESTING_ENTRY_FLEET_H_
