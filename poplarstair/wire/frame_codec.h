// Frames on the TCP connections between instances.
#ifndef POPLARSTAIR_WIRE_FRAME_CODEC_H_
#define POPLARSTAIR_WIRE_FRAME_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "poplarstair/core/peer_message.h"

namespace poplarstair {

/// The largest frame that is sent or taken.
inline constexpr size_t kMaxFrameBytes = 1 << 20;
/// The version of the protocol between instances.
inline constexpr uint8_t kFrameVersion = 1;

/// The bytes of one frame: length (4), version, channel, sender (8), sender's
/// life (8), body; integers in network byte order.
std::string EncodeFrame(const peer_message& message);

/// Cuts a byte stream into frames.
class frame_decoder {
 public:
  void Append(std::string_view bytes) { buffer_.append(bytes); }

  /// The message of the next whole frame, or nothing yet; its `to` is not set.
  /// Throws malformed_message; the stream can't be read on after that.
  std::optional<peer_message> Next();

 private:
  std::string buffer_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_WIRE_FRAME_CODEC_H_
