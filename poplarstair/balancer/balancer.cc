#include "poplarstair/balancer/balancer.h"

#include <nlohmann/json.hpp>

#include "poplarstair/balancer/instance_list.h"
#include "poplarstair/config/config_head.h"
#include "poplarstair/core/error.h"

namespace poplarstair {

namespace {

/// How often the platform's list of instances is read.
constexpr duration kListInterval = std::chrono::seconds(5);
/// Shortly after the start, when the others may be starting as well.
constexpr duration kStartTime = std::chrono::seconds(10);
constexpr duration kStartListInterval = std::chrono::milliseconds(500);

// Streams of the random source, so that the planes don't influence each other.
constexpr uint64_t kMembershipStream = 1;
constexpr uint64_t kConfigStream = 2;
constexpr uint64_t kFlowStream = 3;
constexpr uint64_t kRequestStream = 4;

// Identifiers of calls to the platform: the planes' own below, ours above.
constexpr uint64_t kListCallBase = uint64_t{1} << 63;
constexpr uint64_t kHeadCallBase = uint64_t{1} << 62;

}  // namespace

class balancer::impl {
 public:
  impl(const balancer_settings& settings, hooks actions)
      : settings_(settings),
        hooks_(std::move(actions)),
        malformed_(metrics_.Counter("peer_messages_malformed",
                                    "Messages that could not be read.")),
        stale_(metrics_.Counter("peer_messages_stale",
                                "Messages of a sender's earlier life.")),
        generation_gauge_(
            metrics_.Gauge("config_generation", "Configuration in force.")),
        members_(settings.members, settings.self, settings.life,
                 random_source(settings.random_seed, kMembershipStream),
                 {hooks_.send, hooks_.log,
                  [this](time_point now, const member_view& view) {
                    OnMembers(now, view);
                  }}),
        config_agent_(
            settings.config, settings.self.id,
            random_source(settings.random_seed, kConfigStream),
            {hooks_.send, hooks_.call_platform, hooks_.log,
             [this](time_point now, const effective_config_ptr& config) {
               OnConfig(now, config);
             }}),
        flows_(settings.flows, settings.self.id,
               random_source(settings.random_seed, kFlowStream), metrics_,
               {hooks_.send, hooks_.log}),
        requests_(settings.requests, settings.self.id,
                  random_source(settings.random_seed, kRequestStream), metrics_,
                  {hooks_.send, hooks_.log, hooks_.start_attempt,
                   hooks_.cancel_attempt, hooks_.end_call}),
        guard_(settings.pauses) {}

  packet_decision OnPacket(time_point now, const packet_info& packet) {
    NoteTime(now);
    if (guard_.IsHolding()) {
      return {packet_verdict::kDrop, packet_reason::kUnconfirmed, {}, {}, {}};
    }
    return flows_.OnPacket(now, packet);
  }

  void OnCall(time_point now, call_id call, request wanted) {
    NoteTime(now);
    if (!guard_.IsHolding()) {
      return requests_.OnCall(now, call, std::move(wanted));
    }
    guard_.Hold([this, call, wanted = std::move(wanted)](time_point later) {
      requests_.OnCall(later, call, wanted);
    });
  }

  void OnCallerGone(time_point now, call_id call) {
    NoteTime(now);
    if (!guard_.IsHolding()) return requests_.OnCallerGone(now, call);
    guard_.Hold([this, call](time_point later) {
      requests_.OnCallerGone(later, call);
    });
  }

  void OnAttemptEnd(time_point now, const attempt_end& end) {
    NoteTime(now);
    if (!guard_.IsHolding()) return requests_.OnAttemptEnd(now, end);
    guard_.Hold(
        [this, end](time_point later) { requests_.OnAttemptEnd(later, end); });
  }

  void OnMessage(time_point now, const peer_message& message) {
    NoteTime(now);
    if (IsFromEarlierLife(message)) {
      stale_.Add();
      hooks_.log(log_record("message_from_earlier_life", log_level::kDebug)
                     .With("from", message.from.Value())
                     .With("incarnation", message.sender_incarnation));
      return;
    }
    try {
      Dispatch(now, message);
    } catch (const error& failure) {
      malformed_.Add();
      hooks_.log(log_record("message_dropped", log_level::kWarning)
                     .With("channel", NameOf(message.channel))
                     .With("from", message.from.Value())
                     .With("kind", failure.Kind())
                     .With("error", failure.what()));
    }
  }

  void OnPlatformReply(time_point now, const platform_reply& reply) {
    NoteTime(now);
    try {
      if (reply.id == list_call_) {
        OnInstanceList(now, reply);
      } else if (reply.id == head_call_) {
        OnHead(reply);
      } else {
        config_agent_.OnPlatformReply(now, reply);
      }
    } catch (const error& failure) {
      malformed_.Add();
      hooks_.log(log_record("platform_reply_dropped", log_level::kWarning)
                     .With("kind", failure.Kind())
                     .With("error", failure.what()));
    }
  }

  void OnTick(time_point now) {
    NoteTime(now);
    if (!seeded_) UseSeeds(now);
    members_.OnTick(now);
    config_agent_.OnTick(now);
    guard_.Release(now, config_agent_.InForce());
    flows_.OnTick(now);
    if (!guard_.IsHolding()) requests_.OnTick(now);
    // The others hear of instances from members, so that the calls to the
    // platform don't grow with the fleet.
    if (now >= next_list_ && !list_pending_ && config_agent_.IsWatcher(now)) {
      ReadInstanceList();
    }
  }

  void BeginStop(time_point now) {
    members_.BeginLeave(now);
    requests_.BeginStop(now);
  }

  std::string StateJson() const {
    using nlohmann::json;
    json state;
    state["instance"] = settings_.self.name;
    state["incarnation"] = settings_.life;
    state["configuration"] = json::parse(config_agent_.StateJson());
    state["flows"] = json::parse(flows_.StateJson());
    state["requests"] = json::parse(requests_.StateJson());
    state["members"] = json::array();
    for (const member& m : members_.View().members) {
      state["members"].push_back({{"name", m.address.name},
                                  {"state", NameOf(m.state)},
                                  {"incarnation", m.life}});
    }
    return state.dump();
  }

 private:
  friend class balancer;

  /// A message that was under way while its sender was replaced. Membership's
  /// own messages are left to membership, which knows lives best.
  bool IsFromEarlierLife(const peer_message& message) const {
    if (message.sender_incarnation == 0 ||
        message.channel == message_channel::kMembership) {
      return false;
    }
    const member* sender = members_.View().Find(message.from);
    return sender != nullptr && message.sender_incarnation < sender->life;
  }

  void Dispatch(time_point now, const peer_message& message) {
    switch (message.channel) {
      case message_channel::kMembership:
        return members_.OnMessage(now, message);
      case message_channel::kConfiguration:
        return config_agent_.OnMessage(now, message);
      case message_channel::kFlow:
        return flows_.OnMessage(now, message);
      case message_channel::kRequest:
        if (!guard_.IsHolding()) return requests_.OnMessage(now, message);
        return guard_.Hold(
            [this, message](time_point later) { OnMessage(later, message); });
    }
  }

  /// Comes first with every event.
  void NoteTime(time_point now) {
    if (!guard_.OnEvent(now)) return;
    hooks_.log(log_record("resumed_after_pause", log_level::kWarning)
                   .With("generation", config_agent_.InForce()));
    head_call_ = kHeadCallBase + ++head_calls_;
    hooks_.call_platform(
        {head_call_, platform_operation::kGet, std::string(kHeadKey), 0, ""});
  }

  void OnHead(const platform_reply& reply) {
    if (reply.status == platform_status::kNotFound) guard_.OnGeneration(0);
    if (reply.status != platform_status::kOk) return;
    guard_.OnGeneration(config_head::FromJson(reply.body).number);
  }

  void OnMembers(time_point now, const member_view& view) {
    config_agent_.OnMembers(now, view);
    flows_.OnMembers(now, view);
    requests_.OnMembers(now, view);
  }

  void OnConfig(time_point now, const effective_config_ptr& config) {
    config_ = config;
    generation_gauge_.Set(config->number);
    flows_.OnConfig(now, config);
    requests_.OnConfig(now, config);
  }

  void UseSeeds(time_point now) {
    seeded_ = true;
    started_at_ = now;
    std::vector<listed_instance> listed;
    for (const instance_address& seed : settings_.seeds) {
      listed.push_back({seed, false});
    }
    members_.OnPlatformList(now, listed);
  }

  void ReadInstanceList() {
    list_pending_ = true;
    list_call_ = kListCallBase + ++list_calls_;
    hooks_.call_platform({list_call_, platform_operation::kGet,
                          std::string(kInstancesKey), 0, ""});
  }

  void OnInstanceList(time_point now, const platform_reply& reply) {
    list_pending_ = false;
    const bool is_starting = now - started_at_ < kStartTime;
    next_list_ = now + (is_starting ? kStartListInterval : kListInterval);
    if (reply.status != platform_status::kOk) return;
    members_.OnPlatformList(now, InstancesFromJson(reply.body));
  }

  const balancer_settings settings_;
  const hooks hooks_;
  metric_registry metrics_;
  metric& malformed_;
  metric& stale_;
  metric& generation_gauge_;
  membership members_;
  config_agent config_agent_;
  flow_plane flows_;
  request_plane requests_;
  effective_config_ptr config_;

  // After a pause.
  pause_guard guard_;
  uint64_t head_call_ = 0;
  uint64_t head_calls_ = 0;

  // Reading the platform's list of instances.
  bool seeded_ = false;
  time_point started_at_{};
  bool list_pending_ = false;
  uint64_t list_call_ = 0;
  uint64_t list_calls_ = 0;
  time_point next_list_{};
};

balancer::balancer(const balancer_settings& settings, hooks actions)
    : impl_(std::make_unique<impl>(settings, std::move(actions))) {}

balancer::~balancer() = default;

packet_decision balancer::OnPacket(time_point now, const packet_info& packet) {
  return impl_->OnPacket(now, packet);
}

void balancer::OnCall(time_point now, call_id call, request request) {
  impl_->OnCall(now, call, std::move(request));
}

void balancer::OnCallerGone(time_point now, call_id call) {
  impl_->OnCallerGone(now, call);
}

void balancer::OnAttemptEnd(time_point now, const attempt_end& end) {
  impl_->OnAttemptEnd(now, end);
}

void balancer::OnMessage(time_point now, const peer_message& message) {
  impl_->OnMessage(now, message);
}

void balancer::OnPlatformReply(time_point now, const platform_reply& reply) {
  impl_->OnPlatformReply(now, reply);
}

void balancer::OnTick(time_point now) { impl_->OnTick(now); }

void balancer::BeginStop(time_point now) { impl_->BeginStop(now); }

bool balancer::IsIdle() const { return impl_->requests_.IsIdle(); }

metric_registry& balancer::Metrics() { return impl_->metrics_; }

const member_view& balancer::Members() const { return impl_->members_.View(); }

generation balancer::ConfigInForce() const {
  return impl_->config_agent_.InForce();
}

effective_config_ptr balancer::Config() const { return impl_->config_; }

std::string balancer::StateJson() const { return impl_->StateJson(); }

}  // namespace poplarstair
