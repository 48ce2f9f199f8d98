// What is decided about one packet of a client's flow, and why.
#ifndef POPLARSTAIR_STEERING_STEER_DECISION_H_
#define POPLARSTAIR_STEERING_STEER_DECISION_H_

#include <cstdint>
#include <string_view>

#include "poplarstair/core/enum_names.h"
#include "poplarstair/core/ids.h"
#include "poplarstair/steering/segment.h"

namespace poplarstair {

enum class steer_verdict : uint8_t { kForward, kReset, kDrop };

template <>
struct enum_names<steer_verdict> {
  static constexpr std::string_view kNames[] = {"forward", "reset", "drop"};
};

enum class steer_reason : uint8_t {
  kPlaced,
  /// The packet that opened the flow was sent to its server again.
  kPlacedAgain,
  kPlacedCold,
  kOpenFlow,
  kCookie,
  kUnknownRoute,
  kNoneEligible,
  kUnknownCookie,
  kServerGone,
  kServerSilent,
  /// The catalog is incomplete, or was not confirmed since the last pause.
  kNotReady,
  /// Waits until the service has room for it.
  kHeld,
  /// The service has no room for it before its client sends it again.
  kNoRoom,
  /// A copy of an opening packet that another instance may have placed.
  kUnknownOpening,
};

template <>
struct enum_names<steer_reason> {
  static constexpr std::string_view kNames[] = {
      "placed",      "placed_again",   "placed_cold", "open_flow",
      "cookie",      "unknown_route",  "no_server",   "unknown_cookie",
      "server_gone", "server_silent",  "not_ready",   "held",
      "no_room",     "unknown_opening"};
};

struct steer_decision {
  steer_verdict verdict = steer_verdict::kDrop;
  steer_reason reason = steer_reason::kNotReady;
  /// Server, destination and cookie are set for kForward only.
  backend_server_id server;
  endpoint destination;
  flow_cookie cookie = 0;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_STEERING_STEER_DECISION_H_
