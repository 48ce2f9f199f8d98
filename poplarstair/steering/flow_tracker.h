// The flows whose packets pass this instance, and what their packets tell of
// the backend servers.
#ifndef POPLARSTAIR_STEERING_FLOW_TRACKER_H_
#define POPLARSTAIR_STEERING_FLOW_TRACKER_H_

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <optional>
#include <string_view>

#include "poplarstair/admission/server_estimates.h"
#include "poplarstair/catalog/catalog.h"
#include "poplarstair/core/counters.h"
#include "poplarstair/steering/handshake_timer.h"
#include "poplarstair/steering/segment.h"
#include "poplarstair/steering/server_set.h"

namespace poplarstair {

/// What an instance remembers of a flow. Nothing is lost with it: the cookie
/// alone still names the server.
struct flow_record {
  /// The only server that gets packets of the flow.
  server_row row = kNoServer;
  /// Sequence number of the packet that opened the flow, which tells it from
  /// earlier flows of the same port; nothing if another instance has placed it.
  std::optional<uint32_t> opening;
  /// The server was cold when the flow was placed.
  bool is_placed_cold = false;
  /// The caller has answered the handshake.
  bool is_open = false;
  bool has_request = false;
  bool is_finished = false;
  /// The packet that opened the flow was sent more than once.
  bool is_repeated = false;
  request_kind kind = request_kind::kNotIdempotent;
  uint32_t next_sequence = 0;
  uint32_t acknowledged = 0;
  uint32_t request_bytes = 0;
  /// Requests per slot at the server when the request was sent, with it.
  float per_slot = 1;
  /// When what the caller may have to repeat was sent first.
  time_point sent_at{};
  time_point request_at{};
  /// When the caller repeated its opening packet last.
  time_point copied_at{};
  time_point last_seen{};
  /// When it was placed, or first seen here.
  time_point known_since{};
};

/// Deterministic: it reads no clock and does no I/O.
class flow_tracker {
 public:
  struct hooks {
    /// A server that counted as silent has answered.
    std::function<void(server_row)> answers;
    /// A server counts as silent from now on; by whose evidence.
    std::function<void(time_point, server_row, std::string_view source)> silent;
    /// A flow's request was sent to its server.
    std::function<void(time_point, uint64_t flow, server_row)> started;
    /// A flow's request has ended, or a flow without one; after which time if
    /// by an answer.
    std::function<void(time_point, uint64_t flow, std::optional<duration> took)>
        ended;
  };

  flow_tracker(const estimate_settings& settings, metric_registry& metrics,
               hooks actions);

  server_estimates& Estimates() { return estimates_; }
  const server_estimates& Estimates() const { return estimates_; }

  /// Null if the flow is not known.
  flow_record* Find(uint64_t hash);
  /// The record of the flow, a new one if it is not known.
  flow_record& Add(uint64_t hash) { return flows_[hash]; }
  void Erase(uint64_t hash) { flows_.erase(hash); }
  /// Forgets the flow: its caller or this instance has reset it.
  void Close(time_point now, uint64_t hash);
  size_t Size() const { return flows_.size(); }

  /// True if the packet belongs to the recorded flow, and not to an earlier or
  /// a later one of the same port.
  static bool IsOfFlow(const flow_record& record, const segment& packet);
  /// A packet of the flow that is not its first one has come; the flow opens if
  /// it is not open yet.
  void OnPacket(time_point now, const segment& packet, uint64_t hash,
                flow_record& record);
  /// The caller has repeated what it sent to the flow's server.
  void OnRepeat(time_point now, const flow_record& record, uint64_t hash);
  /// This instance was late itself: until then repetitions prove nothing.
  void SetLateUntil(time_point until) { late_until_ = until; }
  bool IsLate(time_point now) const { return now < late_until_; }
  /// Forgets flows that have been idle for longer than `idle_timeout`. No
  /// client waits longer than `longest_request` for an answer.
  void Sweep(time_point now, duration idle_timeout, duration longest_request);

  /// Tells when a handshake is overdue.
  handshake_timer& Handshakes() { return handshakes_; }
  /// When any server was last seen to answer.
  time_point LastProgress() const { return last_progress_; }

 private:
  void Open(time_point now, const segment& packet, flow_record& record);
  void TrackData(time_point now, const segment& packet, flow_record& record,
                 uint64_t hash);
  void EndRequest(time_point now, uint64_t hash, flow_record& record);
  void DropRequest(time_point now, uint64_t hash, flow_record& record);
  void Release(time_point now, uint64_t hash, flow_record& record);
  void OnProgress(time_point now, const flow_record& record);

  const hooks actions_;
  server_estimates estimates_;
  latency_histogram& handshake_time_;
  latency_histogram& request_time_;
  absl::flat_hash_map<uint64_t, flow_record> flows_;
  handshake_timer handshakes_;
  time_point late_until_{};
  time_point last_progress_{};
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_STEERING_FLOW_TRACKER_H_
