#include "poplarstair/testing/config_fleet.h"

#include <algorithm>

namespace poplarstair {

namespace {

constexpr duration kTick = std::chrono::milliseconds(100);

}  // namespace

config_fleet::config_fleet(event_queue& queue, virtual_platform& platform,
                           const config_fleet_settings& settings,
                           in_force_hook in_force)
    : queue_(queue),
      platform_(platform),
      settings_(settings),
      in_force_(std::move(in_force)),
      bus_(queue, settings.bus, settings.seed),
      nodes_(settings.instances) {
  for (size_t i = 0; i < nodes_.size(); ++i) Add(i);
  std::sort(view_.members.begin(), view_.members.end(),
            [](const member& a, const member& b) {
              return a.address.id < b.address.id;
            });
  for (size_t i = 0; i < nodes_.size(); ++i) Start(i);
}

failure_domain_id config_fleet::DomainOf(size_t index) const {
  return nodes_[index].address.failure_domain;
}

generation config_fleet::InForce(size_t index) const {
  return IsUp(index) ? nodes_[index].agent->InForce() : 0;
}

uint64_t config_fleet::BytesSent(size_t index) {
  return bus_.Sent(nodes_[index].address.id).bytes;
}

void config_fleet::Add(size_t index) {
  instance_address& address = nodes_[index].address;
  address.name = "i" + std::to_string(index);
  address.id = IdFromName<instance_id>(address.name);
  address.failure_domain = IdFromName<failure_domain_id>(
      "d" + std::to_string(index % settings_.failure_domains));
  index_of_[address.id] = index;
  view_.members.push_back({address, 0, member_state::kDead});
  const duration offset =
      kTick * static_cast<int64_t>(index) / static_cast<int64_t>(nodes_.size());
  queue_.Every(kTick, offset, [this, index] {
    const node& n = nodes_[index];
    if (n.agent && !n.is_paused) n.agent->OnTick(queue_.Now());
  });
}

void config_fleet::Start(size_t index) {
  node& n = nodes_[index];
  const uint64_t life = ++n.life;
  n.is_paused = false;
  n.agent = std::make_unique<config_agent>(
      settings_.agent, n.address.id,
      random_source(settings_.seed, HashCombine(index, life)),
      MakeHooks(index));
  bus_.Attach(n.address.id, n.address.failure_domain,
              [this, index, life](const peer_message& message) {
                Tell(index, life, [this, index, message] {
                  nodes_[index].agent->OnMessage(queue_.Now(), message);
                });
              });
  ShowMembersToAll();
}

void config_fleet::Crash(size_t index) {
  node& n = nodes_[index];
  n.agent.reset();
  n.while_paused.clear();
  ++n.life;
  bus_.Detach(n.address.id);
  ShowMembersToAll();
}

void config_fleet::Pause(size_t index) { nodes_[index].is_paused = true; }

void config_fleet::Resume(size_t index) {
  node& n = nodes_[index];
  n.is_paused = false;
  const std::vector<event_queue::work> missed =
      std::exchange(n.while_paused, {});
  for (const event_queue::work& todo : missed) todo();
}

void config_fleet::Tell(size_t index, uint64_t life,
                        const event_queue::work& todo) {
  node& n = nodes_[index];
  if (!n.agent || n.life != life) return;
  if (n.is_paused) {
    n.while_paused.push_back(todo);
  } else {
    todo();
  }
}

void config_fleet::ShowMembers(size_t index) {
  nodes_[index].agent->OnMembers(queue_.Now(), view_);
}

/// One round for all changes of the same moment.
void config_fleet::ShowMembersToAll() {
  const uint64_t version = ++view_.version;
  queue_.After(duration::zero(), [this, version] {
    if (version != view_.version) return;
    for (member& m : view_.members) {
      const bool is_up = IsUp(index_of_.at(m.address.id));
      m.state = is_up ? member_state::kAlive : member_state::kDead;
    }
    for (size_t i = 0; i < nodes_.size(); ++i) {
      if (IsUp(i)) ShowMembers(i);
    }
  });
}

config_agent::hooks config_fleet::MakeHooks(size_t index) {
  config_agent::hooks hooks;
  hooks.send = [this](const peer_message& message) { bus_.Send(message); };
  hooks.call_platform = [this, index](const platform_request& request) {
    const uint64_t life = nodes_[index].life;
    platform_.Call(DomainOf(index), request,
                   [this, index, life](const platform_reply& reply) {
                     Tell(index, life, [this, index, reply] {
                       nodes_[index].agent->OnPlatformReply(queue_.Now(),
                                                            reply);
                     });
                   });
  };
  hooks.log = [](const log_record&) {};
  hooks.in_force = [this, index](time_point, const effective_config_ptr& made) {
    in_force_(index, made->number);
  };
  hooks.load = settings_.load;
  return hooks;
}

}  // namespace poplarstair
