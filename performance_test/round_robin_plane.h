// The comparison of bench_requests: round robin with naive retry.
#ifndef POPLARSTAIR_PERFORMANCE_TEST_ROUND_ROBIN_PLANE_H_
#define POPLARSTAIR_PERFORMANCE_TEST_ROUND_ROBIN_PLANE_H_

#include <map>
#include <utility>
#include <vector>

#include "poplarstair/requests/request_plane.h"

namespace poplarstair {

/// Has the events of request_plane. It counts no slots, knows no other
/// instance, and tries again after every lost or refused attempt.
class round_robin_plane {
 public:
  explicit round_robin_plane(request_plane::hooks actions)
      : hooks_(std::move(actions)) {}

  void OnCall(time_point now, call_id call, request wanted) {
    Start(now, {call, std::move(wanted), 0});
  }

  void OnCallerGone(time_point /*now*/, call_id /*call*/) {}

  void OnAttemptEnd(time_point now, const attempt_end& end) {
    const auto it = running_.find(end.id);
    if (it == running_.end()) return;
    pending p = std::move(it->second);
    running_.erase(it);
    if (end.result == attempt_result::kComplete) {
      return hooks_.end_call(p.call, {outcome::kAnswered, refusal_reason::kNone,
                                      end.status, end.body});
    }
    Start(now, std::move(p));
  }

  void OnMessage(time_point /*now*/, const peer_message& /*message*/) {}
  void OnConfig(time_point /*now*/, effective_config_ptr config) {
    config_ = std::move(config);
  }
  void OnMembers(time_point /*now*/, const member_view& /*view*/) {}
  void OnTick(time_point /*now*/) {}
  void BeginStop(time_point /*now*/) {}
  /// It waits for nothing when it stops.
  static bool IsIdle() { return true; }

 private:
  struct pending {
    call_id call;
    request wanted;
    int tries = 0;
  };

  void Start(time_point now, pending p) {
    constexpr int kMaxTries = 3;
    std::vector<const backend_server_config*> servers;
    for (const auto& server :
         config_->FindService(p.wanted.service)->backend_servers) {
      if (TakesNewWork(*config_, server)) servers.push_back(&server);
    }
    if (servers.empty() || p.tries == kMaxTries || now >= p.wanted.deadline) {
      return hooks_.end_call(
          p.call, {outcome::kNotRun, refusal_reason::kServerRefused, 0, ""});
    }
    ++p.tries;
    const backend_server_config& server = *servers[next_++ % servers.size()];
    const attempt_id id(++last_attempt_);
    const attempt started{id,
                          server.id,
                          server.request_address,
                          p.wanted.deadline - now,
                          p.wanted.id,
                          p.wanted.path,
                          p.wanted.body};
    running_[id] = std::move(p);
    hooks_.start_attempt(started);
  }

  const request_plane::hooks hooks_;
  effective_config_ptr config_;
  std::map<attempt_id, pending> running_;
  uint64_t next_ = 0;
  uint64_t last_attempt_ = 0;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_PERFORMANCE_TEST_ROUND_ROBIN_PLANE_H_
