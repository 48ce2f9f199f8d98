// One instance's decisions: events in, actions out, no I/O.
#ifndef POPLARSTAIR_BALANCER_BALANCER_H_
#define POPLARSTAIR_BALANCER_BALANCER_H_

#include <functional>
#include <memory>
#include <string>

#include "poplarstair/balancer/pause_guard.h"
#include "poplarstair/config/config_agent.h"
#include "poplarstair/core/counters.h"
#include "poplarstair/core/log_record.h"
#include "poplarstair/core/peer_message.h"
#include "poplarstair/core/time.h"
#include "poplarstair/membership/membership.h"
#include "poplarstair/object_store/platform_message.h"
#include "poplarstair/requests/request_plane.h"
#include "poplarstair/routing/flow_plane.h"

namespace poplarstair {

struct balancer_settings {
  instance_address self;
  /// Grows with every start of this instance.
  incarnation life = 1;
  uint64_t random_seed = 0;
  /// Instances to ask first, before the platform's list is known.
  std::vector<instance_address> seeds;
  membership_settings members;
  config_agent_settings config;
  flow_plane_settings flows;
  request_plane_settings requests;
  pause_guard_settings pauses;
};

/// Composes the planes of one instance. All of a bench, a test or the daemon
/// sees the same narrow boundary: the events below and the hooks.
class balancer {
 public:
  /// What the balancer asks of its surroundings.
  struct hooks {
    send_hook send;
    platform_hook call_platform;
    log_hook log;
    std::function<void(const attempt&)> start_attempt;
    std::function<void(attempt_id)> cancel_attempt;
    std::function<void(call_id, const answer&)> end_call;
  };

  balancer(const balancer_settings& settings, hooks actions);
  ~balancer();

  // Packets of flows.
  packet_decision OnPacket(time_point now, const packet_info& packet);

  // Requests.
  void OnCall(time_point now, call_id call, request request);
  void OnCallerGone(time_point now, call_id call);
  void OnAttemptEnd(time_point now, const attempt_end& end);

  // Other instances and the platform. What can't be read, and messages of a
  // sender's earlier life, are counted, logged and dropped.
  void OnMessage(time_point now, const peer_message& message);
  void OnPlatformReply(time_point now, const platform_reply& reply);

  // Time and stopping.
  void OnTick(time_point now);
  static constexpr duration kTickInterval = std::chrono::milliseconds(5);
  /// Starts a graceful stop; it is over when IsIdle() is true.
  void BeginStop(time_point now);
  bool IsIdle() const;

  // For operators.
  metric_registry& Metrics();
  const member_view& Members() const;
  generation ConfigInForce() const;
  /// Null before the first configuration.
  effective_config_ptr Config() const;
  std::string StateJson() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_BALANCER_BALANCER_H_
