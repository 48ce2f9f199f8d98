// Many configuration agents on one bus before one platform, in virtual time.
#ifndef POPLARSTAIR_TESTING_CONFIG_FLEET_H_
#define POPLARSTAIR_TESTING_CONFIG_FLEET_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "poplarstair/config/config_agent.h"
#include "poplarstair/testing/event_queue.h"
#include "poplarstair/testing/message_bus.h"
#include "poplarstair/testing/virtual_platform.h"

namespace poplarstair {

struct config_fleet_settings {
  size_t instances = 7;
  size_t failure_domains = 3;
  config_agent_settings agent;
  message_bus_settings bus;
  uint64_t seed = 1;
  /// As in config_agent::hooks; lets instances share what they parse.
  std::function<effective_config_ptr(const config_files&)> load = {};
};

/// Member views are given directly and know every death at once.
class config_fleet {
 public:
  /// `in_force` is called when an instance, by index, brings one into force.
  using in_force_hook = std::function<void(size_t, generation)>;

  config_fleet(event_queue& queue, virtual_platform& platform,
               const config_fleet_settings& settings, in_force_hook in_force);

  size_t Size() const { return nodes_.size(); }
  bool IsUp(size_t index) const { return nodes_[index].agent != nullptr; }
  bool IsPaused(size_t index) const { return nodes_[index].is_paused; }
  failure_domain_id DomainOf(size_t index) const;
  generation InForce(size_t index) const;
  message_bus& Bus() { return bus_; }
  uint64_t BytesSent(size_t index);

  // Faults.
  void Crash(size_t index);
  /// A new life with nothing kept.
  void Start(size_t index);
  /// Neither sees nor does anything until it resumes; what came meanwhile is
  /// seen then.
  void Pause(size_t index);
  void Resume(size_t index);

 private:
  struct node {
    instance_address address;
    std::unique_ptr<config_agent> agent;
    /// Grows with each life, so that answers to an earlier one are dropped.
    uint64_t life = 0;
    bool is_paused = false;
    std::vector<event_queue::work> while_paused;
  };

  void Add(size_t index);
  void Tell(size_t index, uint64_t life, const event_queue::work& todo);
  void ShowMembers(size_t index);
  void ShowMembersToAll();
  config_agent::hooks MakeHooks(size_t index);

  event_queue& queue_;
  virtual_platform& platform_;
  const config_fleet_settings settings_;
  const in_force_hook in_force_;
  message_bus bus_;
  std::vector<node> nodes_;
  absl::flat_hash_map<instance_id, size_t> index_of_;
  member_view view_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_TESTING_CONFIG_FLEET_H_
