#include "poplarstair/steering/flow_tracker.h"

#include <algorithm>

namespace poplarstair {

namespace {

/// Most data that a caller sends before it has got an acknowledgement: what
/// goes beyond proves that the server lives.
constexpr uint32_t kUnacknowledgedBytes = 16 * 1200;
/// Flows whose caller has sent its last packet are kept for stray ones.
constexpr duration kFinishedFlowTime = std::chrono::seconds(2);

/// True if sequence number `a` lies after `b`.
bool IsAfter(uint32_t a, uint32_t b) { return static_cast<int32_t>(a - b) > 0; }

}  // namespace

flow_tracker::flow_tracker(const estimate_settings& settings,
                           metric_registry& metrics, hooks actions)
    : actions_(std::move(actions)),
      estimates_(settings),
      handshake_time_(metrics.Histogram("handshake_seconds",
                                        "From a flow's first packet to the "
                                        "caller's answer to the handshake")),
      request_time_(metrics.Histogram(
          "request_seconds",
          "From a request's first packet to the first of its answer")) {}

flow_record* flow_tracker::Find(uint64_t hash) {
  const auto it = flows_.find(hash);
  return it == flows_.end() ? nullptr : &it->second;
}

void flow_tracker::Close(time_point now, uint64_t hash) {
  const auto it = flows_.find(hash);
  if (it == flows_.end()) return;
  Release(now, hash, it->second);
  flows_.erase(it);
}

bool flow_tracker::IsOfFlow(const flow_record& record, const segment& packet) {
  // A client chooses a new sequence number for each flow, and sends no further
  // than this without an acknowledgement.
  const uint32_t distance = packet.sequence - record.next_sequence;
  return distance <= kUnacknowledgedBytes || -distance <= kUnacknowledgedBytes;
}

void flow_tracker::OnPacket(time_point now, const segment& packet,
                            uint64_t hash, flow_record& record) {
  if (!record.is_open) Open(now, packet, record);
  record.last_seen = now;
  if (IsAfter(packet.acknowledged, record.acknowledged)) {
    record.acknowledged = packet.acknowledged;
    OnProgress(now, record);
    if (record.has_request) EndRequest(now, hash, record);
  }
  if (packet.payload_bytes > 0) TrackData(now, packet, record, hash);
  if (packet.finishes) {
    record.is_finished = true;
    DropRequest(now, hash, record);
  }
}

void flow_tracker::Open(time_point now, const segment& packet,
                        flow_record& record) {
  record.is_open = true;
  record.acknowledged = packet.acknowledged;
  estimates_.OnFlowOpened(record.row);
  if (!record.opening) {
    record.next_sequence = packet.sequence;
    return;
  }
  const duration took = now - record.request_at;
  handshake_time_.Observe(took);
  if (!record.is_repeated) handshakes_.OnHandshake(took);
  OnProgress(now, record);
}

void flow_tracker::TrackData(time_point now, const segment& packet,
                             flow_record& record, uint64_t hash) {
  const uint32_t end = packet.sequence + packet.payload_bytes;
  if (!IsAfter(end, record.next_sequence)) {
    return OnRepeat(now, record, hash);
  }
  record.next_sequence = end;
  record.sent_at = now;
  if (!record.has_request) {
    record.has_request = true;
    record.request_at = now;
    record.request_bytes = 0;
    record.per_slot =
        static_cast<float>(estimates_.OnRequestSent(now, record.row));
    actions_.started(now, hash, record.row);
  }
  record.request_bytes += packet.payload_bytes;
  if (record.request_bytes > kUnacknowledgedBytes) {
    OnProgress(now, record);
  }
}

void flow_tracker::EndRequest(time_point now, uint64_t hash,
                              flow_record& record) {
  const duration took = now - record.request_at;
  record.has_request = false;
  request_time_.Observe(took);
  // The time in which a server was silent says nothing of its work.
  const bool was_silent =
      record.request_at < estimates_.SilenceEndedAt(record.row);
  const auto per_slot =
      was_silent ? std::nullopt : std::optional<double>(record.per_slot);
  estimates_.OnRequestDone(now, record.row, took, per_slot);
  actions_.ended(now, hash, took);
}

void flow_tracker::DropRequest(time_point now, uint64_t hash,
                               flow_record& record) {
  if (!record.has_request) return;
  record.has_request = false;
  estimates_.OnRequestDropped(now, record.row, now - record.request_at);
  actions_.ended(now, hash, std::nullopt);
}

void flow_tracker::Release(time_point now, uint64_t hash, flow_record& record) {
  if (!record.has_request) {
    actions_.ended(now, hash, std::nullopt);
  }
  DropRequest(now, hash, record);
  if (record.is_open) estimates_.OnFlowClosed(record.row);
}

void flow_tracker::OnProgress(time_point now, const flow_record& record) {
  last_progress_ = now;
  if (estimates_.OnProgress(now, record.row, record.known_since)) {
    actions_.answers(record.row);
  }
}

void flow_tracker::OnRepeat(time_point now, const flow_record& record,
                            uint64_t hash) {
  if (IsLate(now)) return;
  if (estimates_.OnRepeat(now, record.row, hash, record.sent_at)) {
    actions_.silent(now, record.row, "callers");
  }
}

void flow_tracker::Sweep(time_point now, duration idle_timeout,
                         duration longest_request) {
  for (auto it = flows_.begin(); it != flows_.end();) {
    flow_record& record = it->second;
    // Its caller has given up: neither work in progress nor an answer.
    if (record.has_request && now - record.request_at > longest_request) {
      DropRequest(now, it->first, record);
    }
    const duration idle = now - record.last_seen;
    const duration limit =
        record.is_finished ? kFinishedFlowTime : idle_timeout;
    if (idle <= limit) {
      ++it;
      continue;
    }
    Release(now, it->first, record);
    flows_.erase(it++);
  }
}

}  // namespace poplarstair
