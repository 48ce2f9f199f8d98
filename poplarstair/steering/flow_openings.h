// New flows: where each is placed, and what becomes of it until its handshake
// is over.
#ifndef POPLARSTAIR_STEERING_FLOW_OPENINGS_H_
#define POPLARSTAIR_STEERING_FLOW_OPENINGS_H_

#include <algorithm>
#include <cstdint>
#include <span>
#include <string>

#include "poplarstair/core/random.h"
#include "poplarstair/steering/awaited_handshakes.h"
#include "poplarstair/steering/cold_flow_limits.h"
#include "poplarstair/steering/service_admission.h"
#include "poplarstair/steering/service_view.h"
#include "poplarstair/steering/steering_state.h"

namespace poplarstair {

/// Deterministic: it reads no clock and does no I/O. A flow is placed once, by
/// whoever gets its first packet: two servers that answer its handshake would
/// leave each instance to guess which of them has it.
class flow_openings {
 public:
  flow_openings(steering_state& state, random_source random,
                metric_registry& metrics);

  /// A packet that opens a flow; as flow_steering::OnSegment.
  steer_decision OnPacket(time_point now, const segment& packet, uint64_t hash,
                          std::span<const uint8_t> bytes);
  /// To be called when NextDue is due.
  void OnTimer(time_point now);
  time_point NextDue() const {
    return std::min(awaited_.NextDue(), admission_.NextDue());
  }
  /// To be called ten times a second.
  void OnTick(time_point now);
  /// The servers or the routes have changed.
  void OnRoutes(time_point now, const route_table& routes);
  /// Places held flows for which there is room, and refuses those that can't
  /// be placed in time any more.
  void DecideHeld(time_point now);
  /// A request was sent to a server.
  void OnStarted(time_point now, uint64_t flow, server_row row);

  service_admission& Admission() { return admission_; }
  const service_admission& Admission() const { return admission_; }
  const service_view& Services() const { return services_; }

 private:
  steer_decision Decide(time_point now, const segment& packet, uint64_t hash,
                        std::span<const uint8_t> bytes);
  /// Another instance may have placed the flow. The reset makes the client open
  /// another flow at once; if this one has opened meanwhile, its client ignores
  /// the reset, whose sequence number is not near what it expects. A new flow
  /// would fare no better while this instance has no server for it.
  steer_decision OnUnknownCopy(time_point now, const segment& packet,
                               uint64_t hash);
  /// Another service of the route replaces `service` if it has a free slot and
  /// that one has no room.
  admission_verdict Admit(time_point now, const segment& packet, uint64_t hash,
                          std::span<const uint8_t> bytes,
                          const service_route& route,
                          const std::string*& service);
  /// Keeps a packet that was forwarded until its handshake is over.
  void AwaitHandshake(time_point now, const segment& packet, uint64_t hash,
                      std::span<const uint8_t> bytes);
  /// Checks a handshake when it is overdue, unless the client will have sent
  /// its packet again by then, or this instance has done so often enough.
  void Await(time_point now, awaited_handshake sent);
  /// The caller would repeat its packet only after its own timeout.
  void OnOverdue(time_point now, awaited_handshake overdue);
  /// Sends the packet that opened a flow to its server again, or ends the flow
  /// if another server would be better for its client: the reset makes it open
  /// a new one at once. `is_silent` tells whether the server has let this flow
  /// wait for long, or others too.
  steer_decision PlaceAgain(time_point now, const segment& packet,
                            uint64_t hash, const flow_record& record,
                            bool is_silent);
  /// True if it may be the way to the flow's server that is cut, and with it
  /// those to the others of other domains: a client would lose all its tries.
  bool IsOutOfReach(time_point now, const flow_record& record) const;
  /// True if the flow's server has answered others since it got the flow.
  bool AnswersOthers(time_point now, const flow_record& record) const;
  steer_decision Place(time_point now, const segment& packet, uint64_t hash,
                       const service_route& route, const std::string& service);
  /// True if a copy of the client's packet may be served, here or at another
  /// instance, though a new flow is not now.
  bool MayBeServedLater(time_point now, const std::string& service) const;
  /// Refuses a new flow at once if what is known is current; else, or if it may
  /// be served later, its copy may find more.
  steer_decision Refuse(time_point now, const segment& packet,
                        steer_reason reason, bool may_be_served = false);
  void UpdateRoom(time_point now);

  steering_state& state_;
  const service_view services_;
  random_source random_;
  awaited_handshakes awaited_;
  cold_flow_limits cold_limits_;
  service_admission admission_;
  time_point next_room_update_{};
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_STEERING_FLOW_OPENINGS_H_
