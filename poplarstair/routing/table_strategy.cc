// The baseline strategies that the keeper strategy is compared with.
#include <absl/container/flat_hash_map.h>

#include <nlohmann/json.hpp>
#include <optional>

#include "poplarstair/core/codec.h"
#include "poplarstair/routing/flow_table.h"
#include "poplarstair/routing/strategy.h"

namespace poplarstair {

namespace {

/// How long an instance waits for answers about an unknown flow.
constexpr duration kAskTimeout = std::chrono::milliseconds(20);
/// Flow slots looked at on each tick for idle entries.
constexpr size_t kSweepSlots = 64;

struct shared_flow {
  uint64_t flow_hash = 0;
  uint64_t server = 0;
  MSGPACK_DEFINE(flow_hash, server)
};

/// In a question the flows have no server.
struct shared_flows_message {
  bool is_question = false;
  std::vector<shared_flow> flows;
  MSGPACK_DEFINE(is_question, flows)
};

class table_strategy {
 public:
  explicit table_strategy(const strategy_context& context)
      : strategy_(context.settings.strategy),
        self_(context.self),
        actions_(context.actions),
        full_(context.metrics->Counter(
            "flow_table_full",
            "Flows not entered because the table is full.")) {}

  packet_decision OnPacket(time_point now, const flow_packet& packet) {
    flow_entry* known = flows_->Find(FingerprintOf(packet.flow_hash));
    if (known != nullptr && !packet.info.opens_flow &&
        known->service == packet.service) {
      known->last_seen_s = SecondsOf(now);
      return directory_->Deliver(packet.service, known->server,
                                 packet_reason::kKnownFlow);
    }
    const server_index server =
        tables_[packet.service].ServerOf(packet.flow_hash);
    if (server == kNoServer) return DropPacket(packet_reason::kNoBackendServer);
    if (!packet.info.opens_flow) return Unknown(now, packet, server);
    if (strategy_ != flow_strategy::kHashOnly) Open(now, packet, server);
    return directory_->Deliver(packet.service, server, packet_reason::kNewFlow);
  }

  void OnMessage(time_point now, const peer_message& message) {
    if (!directory_) return;
    const auto received = DecodeMessage<shared_flows_message>(message.body);
    if (received.is_question) return Answer(message.from, received);
    for (const shared_flow& flow : received.flows) {
      const auto p = directory_->FindServer(backend_server_id(flow.server));
      if (p.server == kNoServer) continue;
      Enter(now, flow.flow_hash, p.service, p.server);
      asked_.erase(flow.flow_hash);
    }
  }

  void OnConfig(time_point now, const directory_ptr& directory) {
    const directory_ptr old = std::exchange(directory_, directory);
    tables_.clear();
    for (service_index s = 0; s < directory_->ServiceCount(); ++s) {
      tables_.emplace_back(directory_->Config(), directory_->Service(s));
    }
    std::optional<flow_table> before = std::move(flows_);
    flows_.emplace(directory_->Config().limits.max_flows);
    if (!before) return;
    before->ForEach([&](const flow_entry& entry) {
      const auto id = old->Server(entry.service, entry.server).id;
      const auto p = directory_->FindServer(id);
      if (p.server != kNoServer) Enter(now, entry.Hash(), p.service, p.server);
    });
  }

  void OnMembers(time_point /*now*/, const member_view& view) {
    peers_.clear();
    for (const member& m : view.members) {
      if (m.address.id != self_ && m.state != member_state::kDead) {
        peers_.push_back(m.address.id);
      }
    }
  }

  void OnTick(time_point now) {
    if (!unsent_.empty()) {
      Broadcast({false, std::move(unsent_)});
      unsent_.clear();
    }
    if (!flows_) return;
    const auto idle_limit = directory_->Config().limits.flow_idle_timeout;
    const auto limit_s = static_cast<uint32_t>(ToSeconds(idle_limit));
    flows_->SweepSome(kSweepSlots, [&](const flow_entry& entry) {
      return SecondsOf(now) > entry.last_seen_s + limit_s;
    });
  }

  void AddState(nlohmann::json& state) const {
    state["flows"] = flows_ ? flows_->Size() : 0;
    state["flow_table_bytes"] = flows_ ? flows_->MemoryBytes() : 0;
  }

 private:
  void Open(time_point now, const flow_packet& packet, server_index server) {
    Enter(now, packet.flow_hash, packet.service, server);
    const auto& target = directory_->Server(packet.service, server);
    actions_.log(log_record("place_flow", log_level::kDebug)
                     .With("service", directory_->Service(packet.service).name)
                     .With("server", target.name)
                     .With("flow", packet.flow_hash)
                     .With("generation", directory_->Config().number));
    if (strategy_ == flow_strategy::kRecordAll) {
      unsent_.push_back({packet.flow_hash, target.id.Value()});
    }
  }

  packet_decision Unknown(time_point now, const flow_packet& packet,
                          server_index server) {
    if (strategy_ == flow_strategy::kAskPeers) {
      const auto [it, is_new] = asked_.try_emplace(packet.flow_hash, now);
      if (is_new) Broadcast({true, {{packet.flow_hash, 0}}});
      if (now - it->second < kAskTimeout) {
        return DropPacket(packet_reason::kAwaitingInstances);
      }
      // No instance knows the flow, so it goes where the table places it.
      asked_.erase(it);
      Enter(now, packet.flow_hash, packet.service, server);
    }
    return directory_->Deliver(packet.service, server,
                               packet_reason::kPlacement);
  }

  void Answer(instance_id asker, const shared_flows_message& question) {
    shared_flows_message answer;
    for (const shared_flow& flow : question.flows) {
      const flow_entry* known = flows_->Find(FingerprintOf(flow.flow_hash));
      if (known == nullptr) continue;
      const auto& server = directory_->Server(known->service, known->server);
      answer.flows.push_back({flow.flow_hash, server.id.Value()});
    }
    if (answer.flows.empty()) return;
    actions_.send(
        {self_, asker, message_channel::kFlow, EncodeMessage(answer)});
  }

  void Broadcast(const shared_flows_message& message) {
    const std::string body = EncodeMessage(message);
    for (const instance_id peer : peers_) {
      actions_.send({self_, peer, message_channel::kFlow, body});
    }
  }

  void Enter(time_point now, uint64_t flow_hash, service_index service,
             server_index server) {
    flow_entry entry;
    entry.flow = FingerprintOf(flow_hash);
    entry.last_seen_s = SecondsOf(now);
    entry.service = service;
    entry.server = server;
    if (flows_->Put(entry) == nullptr) full_.Add();
  }

  const flow_strategy strategy_;
  const instance_id self_;
  const flow_plane::hooks actions_;
  metric& full_;
  directory_ptr directory_;
  std::vector<placement> tables_;
  std::optional<flow_table> flows_;
  std::vector<instance_id> peers_;
  std::vector<shared_flow> unsent_;
  absl::flat_hash_map<uint64_t, time_point> asked_;
};

}  // namespace

strategy_hooks MakeTableStrategy(const strategy_context& context) {
  return HooksOf(std::make_shared<table_strategy>(context));
}

}  // namespace poplarstair
