// Chooses the backend server that runs each request, and decides the outcome of
// each call.
#ifndef POPLARSTAIR_REQUESTS_REQUEST_PLANE_H_
#define POPLARSTAIR_REQUESTS_REQUEST_PLANE_H_

#include <functional>
#include <memory>
#include <string>

#include "poplarstair/config/effective_config.h"
#include "poplarstair/core/counters.h"
#include "poplarstair/core/log_record.h"
#include "poplarstair/core/peer_message.h"
#include "poplarstair/core/random.h"
#include "poplarstair/core/time.h"
#include "poplarstair/membership/member.h"
#include "poplarstair/requests/request.h"

namespace poplarstair {

struct request_plane_settings {
  /// How long the id of an ended request is stored, to refuse late copies.
  duration remember_ended = std::chrono::minutes(5);
  /// How long the fabric may still send calls to an instance that stops.
  duration leave_time = std::chrono::seconds(3);
};

/// Deterministic: it reads no clock and does no I/O.
class request_plane {
 public:
  struct hooks {
    send_hook send;
    log_hook log;
    std::function<void(const attempt&)> start_attempt;
    std::function<void(attempt_id)> cancel_attempt;
    /// Called exactly once for each call.
    std::function<void(call_id, const answer&)> end_call;
  };

  request_plane(const request_plane_settings& settings, instance_id self,
                random_source random, metric_registry& metrics, hooks actions);
  ~request_plane();

  // Events.
  void OnCall(time_point now, call_id call, request request);
  /// The client has cancelled the call or has disconnected; the call ends
  /// without an answer.
  void OnCallerGone(time_point now, call_id call);
  void OnAttemptEnd(time_point now, const attempt_end& end);
  void OnMessage(time_point now, const peer_message& message);
  void OnConfig(time_point now, effective_config_ptr config);
  void OnMembers(time_point now, const member_view& view);
  /// To be called at least every 10 ms.
  void OnTick(time_point now);
  /// Begins a graceful shutdown. New calls are accepted for the leave time,
  /// because the fabric still sends them here, and are refused after that.
  /// Calls under way are completed.
  void BeginStop(time_point now);

  /// True if no call is under way. During a graceful shutdown, true only once
  /// new calls are refused.
  bool IsIdle() const;
  /// Returns the state as a JSON object, for operators.
  std::string StateJson() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_REQUESTS_REQUEST_PLANE_H_
