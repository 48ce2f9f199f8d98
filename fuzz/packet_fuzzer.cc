// Fuzzes the headers of flow packets.

#include <cstdint>
#include <span>
#include <variant>

#include "poplarstair/core/error.h"
#include "poplarstair/wire/encapsulation.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace poplarstair;
  const std::span<const uint8_t> bytes(data, size);
  const auto parsed = ParsePacket(bytes);
  if (const auto* info = std::get_if<packet_info>(&parsed)) {
    static_cast<void>(HashFlow(info->key));
  }
  try {
    static_cast<void>(ReadHandOnHeader(bytes));
  } catch (const malformed_message&) {
    // The one way in which it may fail.
  }
  try {
    static_cast<void>(ReadInnerPacket(bytes));
  } catch (const malformed_message&) {
    // Likewise.
  }
  return 0;
}
