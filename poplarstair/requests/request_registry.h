// Ensures that at most one instance executes a request.
#ifndef POPLARSTAIR_REQUESTS_REQUEST_REGISTRY_H_
#define POPLARSTAIR_REQUESTS_REQUEST_REGISTRY_H_

#include <functional>
#include <memory>
#include <optional>

#include "poplarstair/core/peer_message.h"
#include "poplarstair/core/time.h"
#include "poplarstair/membership/member.h"
#include "poplarstair/requests/request.h"
#include "poplarstair/requests/request_key.h"

namespace poplarstair {

struct request_registry_settings {
  /// How long an ended request and its answer are stored.
  duration remember = std::chrono::minutes(5);
  /// How long an instance casts no votes after a restart if it cannot reach all
  /// members.
  duration quarantine = std::chrono::minutes(5);
  /// Largest number of stored requests; requests beyond it are not begun.
  size_t max_records = 200'000;
  /// Largest total size of stored answers, in bytes. Late copies of a request
  /// whose answer did not fit get an unknown outcome.
  size_t max_answer_bytes = 16'000'000;
};

/// Handles requests that are not idempotent. An instance executes a request
/// only after a majority of the request's keepers have voted for that instance.
/// Votes never change, so there is no lease that could expire while an instance
/// is paused. Instances with copies of the request follow its holder and get
/// its outcome.
class request_registry {
 public:
  struct hooks {
    send_hook send;
    /// Called when this instance has won the votes: it now holds the request
    /// and decides its outcome.
    std::function<void(time_point, request_key, request)> won;
    std::function<void(call_id, const answer&)> end_call;
    /// Time that an attempt at the service may need.
    std::function<duration(service_id)> attempt_time;
  };

  request_registry(const request_registry_settings& settings, instance_id self,
                   hooks actions);
  ~request_registry();

  /// Adds a call that carries a copy of the request `wanted`.
  void Join(time_point now, call_id call, request wanted);
  /// Ends a request that this instance holds. The result is final for all
  /// copies.
  void End(const request_key& key, const answer& result);
  /// Removes a call. Returns true if the call was waiting here. Sets `alone` to
  /// the request's key if no other call or instance waits for its outcome.
  bool Leave(call_id call, std::optional<request_key>& alone);

  /// Returns true if the message is of a kind that the registry handles.
  bool OnMessage(time_point now, const peer_message& message);
  void OnMembers(time_point now, const member_view& view);
  void OnTick(time_point now);

  size_t CallsWaiting() const;
  size_t Records() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_REQUESTS_REQUEST_REGISTRY_H_
