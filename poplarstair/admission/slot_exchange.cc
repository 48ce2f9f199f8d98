#include "poplarstair/admission/slot_exchange.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include "poplarstair/admission/slot_client.h"
#include "poplarstair/admission/slot_granter.h"
#include "poplarstair/core/hash.h"

namespace poplarstair {

namespace {

constexpr duration kProbeInterval = std::chrono::milliseconds(50);
/// A queue that has not been empty for this long asks one server more for
/// each of its requests.
constexpr duration kWidenInterval = std::chrono::milliseconds(10);

/// What this instance knows of one server.
struct server_entry {
  explicit server_entry(backend_server_id id) : client(id) {}

  slot_client client;
  instance_id granter;
  std::unique_ptr<slot_granter> granting;
  time_point next_probe;
  /// When operators gave it back its work, or added it; unset: before us.
  std::optional<time_point> active_since;
  bool takes_work = false;
};

}  // namespace

instance_id GrantingInstance(const backend_server_config& server,
                             const member_view& view) {
  const auto is_near = [&](const member& m) {
    return m.address.failure_domain == server.failure_domain;
  };
  const bool domain_has_members =
      std::any_of(view.members.begin(), view.members.end(), is_near);
  instance_id best;
  uint64_t best_weight = 0;
  for (const member& m : view.members) {
    if (!IsUsable(m) || (domain_has_members && !is_near(m))) continue;
    const uint64_t weight =
        HashCombine(m.address.id.Value(), server.id.Value());
    if (best.IsSet() && weight <= best_weight) continue;
    best = m.address.id;
    best_weight = weight;
  }
  return best;
}

class slot_exchange::impl {
 public:
  impl(instance_id self, send_hook send)
      : self_(self), send_(std::move(send)) {}

  void OnConfig(time_point now, const effective_config_ptr& config) {
    const bool first = config_ == nullptr;
    config_ = config;
    for (const service_config& service : config->services) {
      for (const backend_server_config& server : service.backend_servers) {
        server_entry& entry =
            servers_.try_emplace(server.id, server.id).first->second;
        const bool takes_work = TakesNewWork(*config, server);
        if (takes_work && !entry.takes_work && !first) entry.active_since = now;
        entry.takes_work = takes_work;
      }
    }
    Assign(now);
  }

  void OnMembers(time_point now, const member_view& view) {
    view_ = view;
    const member* self = view.Find(self_);
    if (self != nullptr) life_ = self->life;
    if (config_) Assign(now);
  }

  bool OnMessage(time_point now, const peer_message& message) {
    if (message.body.empty()) return false;
    const auto kind = static_cast<request_message_kind>(message.body[0]);
    std::string_view body{message.body};
    body.remove_prefix(1);
    if (kind == request_message_kind::kSlotAsk) {
      const auto ask = DecodeMessage<slot_ask>(body);
      server_entry* entry = Find(ask.server);
      if (entry != nullptr && entry->granting) {
        entry->granting->OnAsk(now, message.from, ask);
      }
    } else if (kind == request_message_kind::kSlotGrant) {
      const auto grant = DecodeMessage<slot_grant>(body);
      server_entry* entry = Find(grant.server);
      if (entry != nullptr && entry->granter == message.from) {
        entry->client.OnGrant(now, grant);
      }
    } else if (kind == request_message_kind::kSlotProbe) {
      const auto probe = DecodeMessage<slot_probe>(body);
      server_entry* entry = Find(probe.server);
      if (entry != nullptr && entry->granter == message.from) {
        Ask(now, *entry, entry->client.InUse(), true);
      }
    } else {
      return false;
    }
    return true;
  }

  void OnTick(time_point now) {
    if (!config_) return;
    if (now - last_tick_ >= kSlotLease) ForgetGrants(now);
    last_tick_ = now;
    for (const service_config& service : config_->services) {
      for (const backend_server_config& server : service.backend_servers) {
        const server_entry& entry = servers_.at(server.id);
        if (!entry.granting) continue;
        entry.granting->SetSlots(SlotsNow(now, server, entry));
      }
    }
    for (auto& [id, entry] : servers_) {
      if (!entry.granting) continue;
      entry.granting->OnTick(now, view_);
      if (now < entry.next_probe) continue;
      entry.next_probe = now + kProbeInterval;
      for (const instance_id missing : entry.granting->Missing()) {
        Send(missing, request_message_kind::kSlotProbe, slot_probe{id.Value()});
      }
    }
  }

  void Want(time_point now, const service_config& service, size_t waiting) {
    const size_t count = service.backend_servers.size();
    size_t wishes = Wishes(now, service.id, waiting);
    const size_t first = HashCombine(self_.Value(), turn_) % count;
    if (waiting == 0) ++turn_;
    for (size_t i = 0; i < count; ++i) {
      const auto& server = service.backend_servers[(first + i) % count];
      server_entry& entry = servers_.at(server.id);
      const uint32_t in_use = entry.client.InUse();
      uint32_t wanted = in_use;
      if (wishes > 0 && TakesNewWork(*config_, server) &&
          !entry.client.IsBackingOff(now)) {
        const size_t share = (wishes + count - i - 1) / (count - i);
        const size_t more = std::min<size_t>(
            share, server.slots - std::min(in_use, server.slots));
        wanted += static_cast<uint32_t>(more);
        if (!entry.client.WaitsLong(now)) wishes -= more;
      }
      Ask(now, entry, wanted, false);
    }
  }

  const backend_server_config* Choose(time_point now,
                                      const service_config& service) const {
    const backend_server_config* best = nullptr;
    double best_load = 0;
    for (const backend_server_config& server : service.backend_servers) {
      const slot_client& client = servers_.at(server.id).client;
      if (!client.CanStart(now) || client.IsBackingOff(now) ||
          !TakesNewWork(*config_, server)) {
        continue;
      }
      const double load = static_cast<double>(client.InUse()) / server.slots;
      if (best != nullptr && load >= best_load) continue;
      best = &server;
      best_load = load;
    }
    return best;
  }

  duration LongestAttempt() const { return config_->limits.default_deadline; }

  void OnStart(time_point now, backend_server_id server, attempt_id id,
               time_point deadline) {
    servers_.at(server).client.OnStart(now, id, deadline);
  }

  void OnEnd(time_point now, backend_server_id server, attempt_id id,
             attempt_result result) {
    servers_.at(server).client.OnEnd(now, id, result);
  }

 private:
  /// After a pause, others may have granted meanwhile: all are asked again.
  void ForgetGrants(time_point now) {
    for (auto& [id, entry] : servers_) {
      entry.granter = {};
      entry.granting.reset();
    }
    Assign(now);
  }

  /// Many asks find no free slot: more are made the longer requests wait.
  size_t Wishes(time_point now, service_id service, size_t waiting) {
    if (waiting == 0) {
      waiting_since_.erase(service);
      return 0;
    }
    const time_point since =
        waiting_since_.try_emplace(service, now).first->second;
    return waiting * (2 + static_cast<size_t>((now - since) / kWidenInterval));
  }

  server_entry* Find(uint64_t server) {
    const auto it = servers_.find(backend_server_id(server));
    return it == servers_.end() ? nullptr : &it->second;
  }

  /// The slots of `server`, fewer in its slow start. One that takes no work
  /// may start cold as soon as the others have heard that it takes work again.
  uint32_t SlotsNow(time_point now, const backend_server_config& server,
                    const server_entry& entry) const {
    if (!entry.takes_work) return 1;
    if (!entry.active_since) return server.slots;
    const duration since = now - *entry.active_since;
    const duration whole = config_->limits.slow_start;
    if (since >= whole) return server.slots;
    const double share = ToSeconds(since) / ToSeconds(whole);
    return 1 + static_cast<uint32_t>(share * (server.slots - 1));
  }

  /// Follows changes of members and servers.
  void Assign(time_point now) {
    for (const service_config& service : config_->services) {
      for (const backend_server_config& server : service.backend_servers) {
        AssignServer(now, server);
      }
    }
  }

  void AssignServer(time_point now, const backend_server_config& server) {
    server_entry& entry = servers_.at(server.id);
    const instance_id granter = GrantingInstance(server, view_);
    if (entry.granting) {
      entry.granting->SetSlots(SlotsNow(now, server, entry));
    }
    if (granter == entry.granter) return;
    entry.granter = granter;
    entry.client.OnGranterChanged();
    entry.granting.reset();
    if (granter == self_) {
      entry.granting = std::make_unique<slot_granter>(
          now, server.id, SlotsNow(now, server, entry), LongestAttempt(),
          [this](instance_id to, const slot_grant& grant) {
            Send(to, request_message_kind::kSlotGrant, grant);
          });
    }
    Ask(now, entry, entry.client.InUse(), true);
  }

  void Ask(time_point now, server_entry& entry, uint32_t wanted, bool forced) {
    if (!entry.granter.IsSet()) return;
    const auto ask = entry.client.Ask(now, life_, wanted, forced);
    if (ask) Send(entry.granter, request_message_kind::kSlotAsk, *ask);
  }

  template <typename Message>
  void Send(instance_id to, request_message_kind kind, const Message& message) {
    send_({self_, to, message_channel::kRequest,
           EncodeRequestMessage(kind, message)});
  }

  const instance_id self_;
  const send_hook send_;
  effective_config_ptr config_;
  time_point last_tick_{};
  member_view view_;
  incarnation life_ = 0;
  std::map<backend_server_id, server_entry> servers_;
  /// Since when the queues of the services have not been empty.
  std::map<service_id, time_point> waiting_since_;
  uint64_t turn_ = 0;
};

slot_exchange::slot_exchange(instance_id self, send_hook send)
    : impl_(std::make_unique<impl>(self, std::move(send))) {}
slot_exchange::~slot_exchange() = default;

void slot_exchange::OnConfig(time_point now,
                             const effective_config_ptr& config) {
  impl_->OnConfig(now, config);
}
void slot_exchange::OnMembers(time_point now, const member_view& view) {
  impl_->OnMembers(now, view);
}
bool slot_exchange::OnMessage(time_point now, const peer_message& message) {
  return impl_->OnMessage(now, message);
}
void slot_exchange::OnTick(time_point now) { impl_->OnTick(now); }
void slot_exchange::Want(time_point now, const service_config& service,
                         size_t waiting) {
  impl_->Want(now, service, waiting);
}
const backend_server_config* slot_exchange::Choose(
    time_point now, const service_config& service) const {
  return impl_->Choose(now, service);
}
void slot_exchange::OnStart(time_point now, backend_server_id server,
                            attempt_id id, time_point deadline) {
  impl_->OnStart(now, server, id, deadline);
}
void slot_exchange::OnEnd(time_point now, backend_server_id server,
                          attempt_id id, attempt_result result) {
  impl_->OnEnd(now, server, id, result);
}
duration slot_exchange::LongestAttempt() const {
  return impl_->LongestAttempt();
}

}  // namespace poplarstair
