#include "poplarstair/wire/frame_codec.h"

#include "poplarstair/core/assert.h"
#include "poplarstair/core/byte_order.h"
#include "poplarstair/core/error.h"

namespace poplarstair {

namespace {

constexpr size_t kLengthBytes = 4;
constexpr size_t kHeaderBytes = peer_message::kFrameOverheadBytes;
constexpr size_t kChannels = std::size(enum_names<message_channel>::kNames);

}  // namespace

std::string EncodeFrame(const peer_message& message) {
  const size_t total = message.WireBytes();
  POPLARSTAIR_ASSERT(total <= kMaxFrameBytes);
  std::string out;
  out.reserve(total);
  AppendBigEndian(static_cast<uint32_t>(total - kLengthBytes), out);
  AppendBigEndian(static_cast<uint8_t>(kFrameVersion), out);
  AppendBigEndian(static_cast<uint8_t>(message.channel), out);
  AppendBigEndian(message.from.Value(), out);
  AppendBigEndian(message.sender_incarnation, out);
  out += message.body;
  return out;
}

std::optional<peer_message> frame_decoder::Next() {
  if (buffer_.size() < kLengthBytes) return std::nullopt;
  const size_t total =
      size_t{LoadBigEndian<uint32_t>(BytesAt(buffer_, 0))} + kLengthBytes;
  if (total > kMaxFrameBytes) {
    throw malformed_message("frame", "longer than the limit");
  }
  if (total < kHeaderBytes) throw malformed_message("frame", "too short");
  if (buffer_.size() < total) return std::nullopt;

  const uint64_t version = LoadBigEndian<uint8_t>(BytesAt(buffer_, 4));
  if (version != kFrameVersion) {
    throw malformed_message("frame",
                            "unknown version " + std::to_string(version));
  }
  const uint64_t channel = LoadBigEndian<uint8_t>(BytesAt(buffer_, 5));
  if (channel >= kChannels) {
    throw malformed_message("frame",
                            "unknown channel " + std::to_string(channel));
  }
  peer_message message;
  message.channel = static_cast<message_channel>(channel);
  message.from = instance_id(LoadBigEndian<uint64_t>(BytesAt(buffer_, 6)));
  message.sender_incarnation = LoadBigEndian<uint64_t>(BytesAt(buffer_, 14));
  message.body = buffer_.substr(kHeaderBytes, total - kHeaderBytes);
  buffer_.erase(0, total);
  return message;
}

}  // namespace poplarstair
