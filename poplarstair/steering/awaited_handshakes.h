// Packets that opened a flow and wait for its handshake, to be sent again when
// that is overdue.
#ifndef POPLARSTAIR_STEERING_AWAITED_HANDSHAKES_H_
#define POPLARSTAIR_STEERING_AWAITED_HANDSHAKES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "poplarstair/core/time.h"
#include "poplarstair/steering/segment.h"

namespace poplarstair {

/// A packet that opened a flow, kept until its handshake is overdue.
struct awaited_handshake {
  time_point due_at{};
  uint64_t hash = 0;
  segment packet;
  std::vector<uint8_t> bytes;
  /// Number of times that this instance has retransmitted the packet.
  uint32_t sent_again = 0;
  /// The check was put off once, since it came late.
  bool is_put_off = false;
  /// When the packet was sent; a later copy has its own entry.
  time_point sent_at{};
  /// When the client sends the packet again itself.
  time_point next_copy_at{};
};

/// Handshakes in the order of their due times.
class awaited_handshakes {
 public:
  /// Drops the handshake if the queue is full.
  void Add(awaited_handshake awaited) {
    const time_point due_at = awaited.due_at;
    if (queue_.size() < kMost) queue_.emplace(due_at, std::move(awaited));
  }

  /// Due time of the first handshake; kNever if the queue is empty.
  time_point NextDue() const {
    return queue_.empty() ? kNever : queue_.begin()->first;
  }

  std::optional<awaited_handshake> TakeDue(time_point now) {
    if (NextDue() > now) return std::nullopt;
    return std::move(queue_.extract(queue_.begin()).mapped());
  }

 private:
  /// A longer queue indicates a flood of new flows. Each entry holds a packet
  /// of a few dozen bytes.
  static constexpr size_t kMost = 4096;

  std::multimap<time_point, awaited_handshake> queue_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_STEERING_AWAITED_HANDSHAKES_H_
