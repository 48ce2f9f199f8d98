// msgpack encoding of the typed messages of every plane.
#ifndef POPLARSTAIR_CORE_CODEC_H_
#define POPLARSTAIR_CORE_CODEC_H_

#include <msgpack.hpp>
#include <string>
#include <string_view>

#include "poplarstair/core/error.h"

namespace poplarstair {

/// Encodes a message type that declares MSGPACK_DEFINE.
template <typename Message>
std::string EncodeMessage(const Message& message) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, message);
  return std::string(buffer.data(), buffer.size());
}

/// Decodes exactly one message. Throws malformed_message for anything else;
/// sizes inside `bytes` can't make it allocate more than `bytes` justifies.
template <typename Message>
Message DecodeMessage(std::string_view bytes) {
  try {
    constexpr size_t kMaxDepth = 16;
    const size_t limit = bytes.size();
    const msgpack::unpack_limit limits(limit, limit, limit, limit, limit,
                                       kMaxDepth);
    size_t offset = 0;
    const msgpack::object_handle handle = msgpack::unpack(
        bytes.data(), bytes.size(), offset, nullptr, nullptr, limits);
    if (offset != bytes.size()) {
      throw malformed_message("msgpack", "bytes after the message");
    }
    return handle.get().as<Message>();
  } catch (const msgpack::unpack_error& failure) {
    throw malformed_message("msgpack", failure.what());
  } catch (const msgpack::type_error& failure) {
    throw malformed_message("msgpack", failure.what());
  }
}

}  // namespace poplarstair

#endif  // POPLARSTAIR_CORE_CODEC_H_
