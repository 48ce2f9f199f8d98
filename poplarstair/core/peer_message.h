// A message between two instances, as the planes hand it to the wire.
#ifndef POPLARSTAIR_CORE_PEER_MESSAGE_H_
#define POPLARSTAIR_CORE_PEER_MESSAGE_H_

#include <cstdint>
#include <functional>
#include <string>

#include "poplarstair/core/enum_names.h"
#include "poplarstair/core/ids.h"

namespace poplarstair {

/// The plane that a message belongs to; each plane encodes its own bodies.
enum class message_channel : uint8_t {
  kMembership,
  kConfiguration,
  kFlow,
  kRequest,
};

template <>
struct enum_names<message_channel> {
  static constexpr std::string_view kNames[] = {"membership", "configuration",
                                                "flow", "request"};
};

/// `body` is msgpack, written and read by the plane that owns `channel`.
struct peer_message {
  instance_id from;
  instance_id to;
  message_channel channel = message_channel::kMembership;
  std::string body;
  /// Life of the sender, from the frame; 0 when not known.
  incarnation sender_incarnation = 0;

  /// Bytes of the frame around `body`: length, version, channel, sender and
  /// sender's incarnation. Counted as control traffic.
  static constexpr size_t kFrameOverheadBytes = 22;
  size_t WireBytes() const { return kFrameOverheadBytes + body.size(); }
};

/// Sends a message or loses it: delivery, order and single copies are never
/// promised to a plane.
using send_hook = std::function<void(peer_message)>;

}  // namespace poplarstair

#endif  // POPLARSTAIR_CORE_PEER_MESSAGE_H_
