#include "poplarstair/routing/flow_plane.h"

#include <nlohmann/json.hpp>

#include "poplarstair/routing/service_directory.h"
#include "poplarstair/routing/strategy.h"

namespace poplarstair {

namespace {

strategy_hooks MakeStrategy(const strategy_context& context) {
  return context.settings.strategy == flow_strategy::kKeepers
             ? MakeKeeperStrategy(context)
             : MakeTableStrategy(context);
}

}  // namespace

class flow_plane::impl {
 public:
  impl(const flow_plane_settings& settings, instance_id self,
       metric_registry& metrics, hooks actions)
      : settings_(settings),
        strategy_(
            MakeStrategy({settings, self, &metrics, std::move(actions)})) {}

  packet_decision OnPacket(time_point now, const packet_info& packet) {
    if (!directory_) return DropPacket(packet_reason::kNoConfiguration);
    const service_index service = directory_->FindByAddress(packet.key.service);
    if (service == kNoService) {
      return DropPacket(packet_reason::kUnknownService);
    }
    return strategy_.on_packet(now, {packet, HashFlow(packet.key), service});
  }

  void OnConfig(time_point now, effective_config_ptr config) {
    directory_ = std::make_shared<service_directory>(std::move(config));
    strategy_.on_config(now, directory_);
  }

  std::string StateJson() const {
    nlohmann::json state;
    state["strategy"] = NameOf(settings_.strategy);
    strategy_.add_state(state);
    return state.dump();
  }

 private:
  friend class flow_plane;

  const flow_plane_settings settings_;
  directory_ptr directory_;
  strategy_hooks strategy_;
};

flow_plane::flow_plane(const flow_plane_settings& settings, instance_id self,
                       random_source /*random*/, metric_registry& metrics,
                       hooks actions)
    : impl_(std::make_unique<impl>(settings, self, metrics,
                                   std::move(actions))) {}

flow_plane::~flow_plane() = default;

packet_decision flow_plane::OnPacket(time_point now,
                                     const packet_info& packet) {
  return impl_->OnPacket(now, packet);
}

void flow_plane::OnMessage(time_point now, const peer_message& message) {
  impl_->strategy_.on_message(now, message);
}

void flow_plane::OnConfig(time_point now, effective_config_ptr config) {
  impl_->OnConfig(now, std::move(config));
}

void flow_plane::OnMembers(time_point now, const member_view& view) {
  impl_->strategy_.on_members(now, view);
}

void flow_plane::OnTick(time_point now) { impl_->strategy_.on_tick(now); }

std::string flow_plane::StateJson() const { return impl_->StateJson(); }

}  // namespace poplarstair
