// Carries messages between instances in virtual time, and goes wrong as told.
#ifndef POPLARSTAIR_TESTING_MESSAGE_BUS_H_
#define POPLARSTAIR_TESTING_MESSAGE_BUS_H_

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <set>
#include <utility>

#include "poplarstair/core/peer_message.h"
#include "poplarstair/core/random.h"
#include "poplarstair/testing/event_queue.h"

namespace poplarstair {

struct message_bus_settings {
  /// One way.
  duration delay_within_domain = std::chrono::microseconds(200);
  duration delay_between_domains = std::chrono::milliseconds(1);
  /// Chances for each message.
  double loss = 0;
  double duplication = 0;
  /// Up to this much is added at random, so that messages overtake each other.
  duration jitter{};
};

/// Control bytes that one instance has sent.
struct traffic {
  uint64_t messages = 0;
  uint64_t bytes = 0;
};

/// Fixed one-way delays and no model of a network.
class message_bus {
 public:
  using receiver = std::function<void(const peer_message&)>;

  message_bus(event_queue& queue, const message_bus_settings& settings,
              uint64_t seed);

  /// Adds an instance, or gives it a new life.
  void Attach(instance_id id, failure_domain_id domain, receiver on_message);
  /// Messages to it are lost from now on.
  void Detach(instance_id id);

  void Send(const peer_message& message);

  // Faults. A cut holds for messages sent while it is in place.
  void CutOneWay(failure_domain_id from, failure_domain_id to);
  void CutOneWay(instance_id from, instance_id to);
  void Heal();
  bool IsCut(failure_domain_id from, failure_domain_id to) const {
    return cut_domains_.contains({from, to});
  }
  message_bus_settings& Settings() { return settings_; }

  /// What `id` has sent since the last ResetTraffic.
  const traffic& Sent(instance_id id) { return port_of_[id].sent; }
  void ResetTraffic();

 private:
  struct port {
    failure_domain_id domain;
    receiver on_message;
    traffic sent;
  };

  bool IsCut(const port& from, const peer_message& message, const port& to);
  duration DrawDelay(const port& from, const port& to);
  void Deliver(const peer_message& message, duration delay);

  event_queue& queue_;
  message_bus_settings settings_;
  random_source random_;
  absl::flat_hash_map<instance_id, port> port_of_;
  std::set<std::pair<failure_domain_id, failure_domain_id>> cut_domains_;
  std::set<std::pair<instance_id, instance_id>> cut_instances_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_TESTING_MESSAGE_BUS_H_
