// All permits of one instance: those it uses and those it grants.
#ifndef POPLARSTAIR_ADMISSION_SLOT_EXCHANGE_H_
#define POPLARSTAIR_ADMISSION_SLOT_EXCHANGE_H_

#include <memory>
#include <vector>

#include "poplarstair/config/effective_config.h"
#include "poplarstair/core/peer_message.h"
#include "poplarstair/core/time.h"
#include "poplarstair/membership/member.h"
#include "poplarstair/requests/request.h"

namespace poplarstair {

/// The instance that grants a server's slots: by rendezvous among the usable
/// members in the server's own failure domain, since whoever is cut off from
/// there can't reach the server either. Unset if there is none; from all
/// usable members if the domain has no members at all.
instance_id GrantingInstance(const backend_server_config& server,
                             const member_view& view);

class slot_exchange {
 public:
  slot_exchange(instance_id self, send_hook send);
  ~slot_exchange();

  void OnConfig(time_point now, const effective_config_ptr& config);
  void OnMembers(time_point now, const member_view& view);
  /// True if the message was one of the exchange's.
  bool OnMessage(time_point now, const peer_message& message);
  void OnTick(time_point now);

  /// Asks for what `waiting` requests of the service need; returns what is
  /// not needed.
  void Want(time_point now, const service_config& service, size_t waiting);
  /// The server to start an attempt at now, null if there is no free permit.
  const backend_server_config* Choose(time_point now,
                                      const service_config& service) const;

  void OnStart(time_point now, backend_server_id server, attempt_id id,
               time_point deadline);
  void OnEnd(time_point now, backend_server_id server, attempt_id id,
             attempt_result result);
  /// No attempt may run longer.
  duration LongestAttempt() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_ADMISSION_SLOT_EXCHANGE_H_
