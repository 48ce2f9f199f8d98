// Integers in network byte order, in packets and frames.
#ifndef POPLARSTAIR_CORE_BYTE_ORDER_H_
#define POPLARSTAIR_CORE_BYTE_ORDER_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace poplarstair {

/// Reads `sizeof(Integer)` bytes; they have to be there.
template <typename Integer>
Integer LoadBigEndian(const uint8_t* from) {
  Integer value = 0;
  for (size_t i = 0; i < sizeof(Integer); ++i) {
    value = static_cast<Integer>(value << 8 | from[i]);
  }
  return value;
}

/// Writes `sizeof(Integer)` bytes.
template <typename Integer>
void StoreBigEndian(Integer value, uint8_t* to) {
  for (size_t i = sizeof(Integer); i-- > 0;) {
    to[i] = static_cast<uint8_t>(value & 0xff);
    value = static_cast<Integer>(value >> 8);
  }
}

/// Appends `sizeof(Integer)` bytes to a string or a vector of bytes.
template <typename Integer, typename Bytes>
void AppendBigEndian(Integer value, Bytes& out) {
  uint8_t bytes[sizeof(Integer)];
  StoreBigEndian(value, bytes);
  out.insert(out.end(), bytes, bytes + sizeof(Integer));
}

/// The bytes of a string, for LoadBigEndian.
inline const uint8_t* BytesAt(std::string_view text, size_t offset) {
  return reinterpret_cast<const uint8_t*>(text.data()) + offset;
}

}  // namespace poplarstair

#endif  // POPLARSTAIR_CORE_BYTE_ORDER_H_
