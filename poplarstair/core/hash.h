// Hash functions whose results are part of the protocol between instances.
#ifndef POPLARSTAIR_CORE_HASH_H_
#define POPLARSTAIR_CORE_HASH_H_

#include <xxhash.h>

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace poplarstair {

/// XXH3 of `bytes`; the same on every instance.
inline uint64_t HashBytes(std::string_view bytes, uint64_t seed = 0) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

/// Mixes two 64-bit values into one well-spread value.
inline uint64_t HashCombine(uint64_t a, uint64_t b) {
  const uint64_t both[2] = {a, b};
  return XXH3_64bits(both, sizeof(both));
}

/// Maps a hash evenly onto [0, 1).
inline double HashToUnit(uint64_t hash) {
  constexpr double kTwoToMinus53 = 1.0 / 9007199254740992.0;
  return static_cast<double>(hash >> 11) * kTwoToMinus53;
}

/// Maps a hash evenly onto [0, count) without a division.
inline uint32_t HashToRange(uint64_t hash, uint32_t count) {
  return static_cast<uint32_t>(((hash >> 32) * count) >> 32);
}

}  // namespace poplarstair

#endif  // POPLARSTAIR_CORE_HASH_H_
