// Interface between the flow plane and its strategies.
#ifndef POPLARSTAIR_ROUTING_STRATEGY_H_
#define POPLARSTAIR_ROUTING_STRATEGY_H_

#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>

#include "poplarstair/routing/flow_plane.h"
#include "poplarstair/routing/service_directory.h"

namespace poplarstair {

using directory_ptr = std::shared_ptr<const service_directory>;

/// A packet whose service is known.
struct flow_packet {
  const packet_info& info;
  uint64_t flow_hash = 0;
  service_index service = kNoService;
};

/// The part of the flow plane that differs between strategies.
struct strategy_hooks {
  std::function<packet_decision(time_point, const flow_packet&)> on_packet;
  std::function<void(time_point, const peer_message&)> on_message;
  std::function<void(time_point, const directory_ptr&)> on_config;
  std::function<void(time_point, const member_view&)> on_members;
  std::function<void(time_point)> on_tick;
  std::function<void(nlohmann::json&)> add_state;
};

/// What a strategy is given.
struct strategy_context {
  flow_plane_settings settings;
  instance_id self;
  metric_registry* metrics = nullptr;
  flow_plane::hooks actions;
};

/// The hooks of a strategy that is a class, which they share.
template <typename Strategy>
strategy_hooks HooksOf(const std::shared_ptr<Strategy>& s) {
  strategy_hooks hooks;
  hooks.on_packet = [s](time_point now, const flow_packet& packet) {
    return s->OnPacket(now, packet);
  };
  hooks.on_message = [s](time_point now, const peer_message& message) {
    s->OnMessage(now, message);
  };
  hooks.on_config = [s](time_point now, const directory_ptr& directory) {
    s->OnConfig(now, directory);
  };
  hooks.on_members = [s](time_point now, const member_view& view) {
    s->OnMembers(now, view);
  };
  hooks.on_tick = [s](time_point now) { s->OnTick(now); };
  hooks.add_state = [s](nlohmann::json& state) { s->AddState(state); };
  return hooks;
}

/// kHashOnly, kRecordAll and kAskPeers.
strategy_hooks MakeTableStrategy(const strategy_context& context);
/// kKeepers.
strategy_hooks MakeKeeperStrategy(const strategy_context& context);

/// Whole seconds, for flow_entry::last_seen_s.
inline uint32_t SecondsOf(time_point t) {
  return static_cast<uint32_t>(
      std::chrono::duration_cast<std::chrono::seconds>(t.time_since_epoch())
          .count());
}

}  // namespace poplarstair

#endif  // POPLARSTAIR_ROUTING_STRATEGY_H_
