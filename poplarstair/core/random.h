// The seeded random source that the deterministic core is given.
#ifndef POPLARSTAIR_CORE_RANDOM_H_
#define POPLARSTAIR_CORE_RANDOM_H_

#include <cstdint>
#include <pcg_random.hpp>

namespace poplarstair {

using random_source = pcg64;

/// A number in [0, 1).
inline double RandomUnit(random_source& random) {
  constexpr double kTwoToMinus53 = 1.0 / 9007199254740992.0;
  return static_cast<double>(random() >> 11) * kTwoToMinus53;
}

/// A number in [0, bound); `bound` is at least 1.
inline uint64_t RandomBelow(random_source& random, uint64_t bound) {
  return random() % bound;
}

}  // namespace poplarstair

#endif  // POPLARSTAIR_CORE_RANDOM_H_
