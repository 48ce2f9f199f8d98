// How clients of flows repeat their packets.
#ifndef POPLARSTAIR_STEERING_CLIENT_TIMING_H_
#define POPLARSTAIR_STEERING_CLIENT_TIMING_H_

#include <algorithm>
#include <cstdint>

#include "poplarstair/core/time.h"

namespace poplarstair {

/// A packet that is not answered is repeated after this long, and again after
/// twice that; the copies of one that opens a flow come 200 and 600 ms after
/// it.
inline constexpr duration kClientRepeatTime = std::chrono::milliseconds(200);
/// When the last copy of a packet that opens a flow comes.
inline constexpr duration kLastOpeningCopy = 3 * kClientRepeatTime;
/// When the client gives up a flow that has not opened.
inline constexpr duration kOpeningGivenUp = 7 * kClientRepeatTime;

/// Copies that a client sends of a packet that opens a flow.
inline constexpr uint32_t kOpeningCopies = 2;

/// Time until the client's next copy of a packet that opens a flow, after
/// `copies` earlier ones; after the last one, until it gives the flow up.
inline duration TimeToNextCopy(uint32_t copies) {
  return kClientRepeatTime * (1 << std::min(copies, kOpeningCopies));
}

}  // namespace poplarstair

#endif  // POPLARSTAIR_STEERING_CLIENT_TIMING_H_
