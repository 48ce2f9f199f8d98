// The parts of a site under test, which the paths through it share.
#ifndef POPLARSTAIR_TESTING_SITE_STATE_H_
#define POPLARSTAIR_TESTING_SITE_STATE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "poplarstair/balancer/balancer.h"
#include "poplarstair/testing/history.h"
#include "poplarstair/testing/message_bus.h"
#include "poplarstair/testing/planted_fault.h"
#include "poplarstair/testing/platform_fake.h"
#include "poplarstair/testing/server_fake.h"

namespace poplarstair {

struct site_driver_settings {
  uint64_t seed = 1;
  flow_strategy strategy = flow_plane_settings{}.strategy;
  mutant planted = mutant::kNone;
  /// Gets one line for each event; may be null.
  std::function<void(const std::string&)> trace;
};

/// One instance with what surrounds its process.
struct entry_instance {
  daemon_settings settings;
  instance_id id;
  failure_domain_id domain;
  std::unique_ptr<balancer> process;
  incarnation life = 0;
  bool is_paused = false;
  bool is_stopping = false;
  bool fabric_sees_it = true;
  time_point stop_began{};
  /// Since when it could hear of an edit without a break.
  time_point reachable_since{};
  generation in_force = 0;
  /// What arrived while it was paused.
  std::vector<std::function<void(balancer&)>> held;
  /// Servers to which its connections are silent.
  std::set<backend_server_id> silent;
  std::map<call_id, time_point> calls;
};

/// Flat on purpose: the driver and its paths are one program in several files.
struct site_state {
  site_state(deployment site, const site_driver_settings& wanted);

  /// Hands an event to an instance, if that life of it still goes on.
  void Input(size_t i, incarnation life,
             const std::function<void(balancer&)>& todo);
  /// A seed-chosen instance that the fabric sees; none if it sees none.
  std::optional<size_t> PickInstance();

  // The network.
  /// Cut off from the platform and from every other domain.
  bool IsIsolated(failure_domain_id domain) const;
  /// False while an instance is cut off, and for a while after.
  bool CouldKnow(size_t i) const;
  duration DelayBetween(failure_domain_id a, failure_domain_id b) const;

  // History.
  void Record(history_event event);
  history_event ServerEvent(history_kind kind, size_t s) const;
  void NoteServer(history_kind kind, size_t s);
  void Fault() { Record({}); }
  void Trace(const std::string& line) const;

  // Names; the number of things for an unknown one.
  std::string NameOfServer(backend_server_id id) const;
  size_t InstanceIndex(const std::string& name) const;
  size_t ServerIndex(const std::string& name) const;

  const site_driver_settings settings;
  const deployment deployed;
  random_source random;
  event_queue queue;
  message_bus bus;
  platform_fake platform;
  planted_fault planted;
  std::vector<entry_instance> instances;
  std::vector<server_fake> servers;
  std::set<failure_domain_id> cut_from_platform;
  std::map<failure_domain_id, time_point> isolated_until;
  history events;
  site_facts facts;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_TESTING_SITE_STATE_H_
