// Applies a mutant to what passes between a balancer and the fakes.
#ifndef POPLARSTAIR_TESTING_PLANTED_FAULT_H_
#define POPLARSTAIR_TESTING_PLANTED_FAULT_H_

#include <optional>
#include <set>

#include "poplarstair/core/peer_message.h"
#include "poplarstair/requests/request.h"
#include "poplarstair/routing/flow_plane.h"
#include "poplarstair/testing/flow_callers.h"
#include "poplarstair/testing/mutant.h"

namespace poplarstair {

class planted_fault {
 public:
  planted_fault(mutant kind, const effective_config& config)
      : kind_(kind), config_(config) {}

  packet_decision OnDecision(const flow_packet& packet,
                             packet_decision decision);
  answer OnAnswer(answer result);
  /// `cold` is a server in cold start; may be null.
  attempt OnAttempt(attempt started, const backend_server_config* cold);
  std::optional<attempt> SecondAttempt(const attempt& started);
  generation SeenGeneration(size_t instance, generation in_force) const;
  /// What the instance with this index would use a lease with.
  uint64_t FencingNumber(uint64_t granted) const;
  bool IsDeaf(size_t instance, message_channel channel) const;
  bool StopsAtOnce() const { return kind_ == mutant::kStopAtOnce; }

  /// The server that operators are draining, if any.
  void SetDraining(backend_server_id server) { draining_ = server; }
  /// The domain that operators took out last.
  void SetWithdrawn(failure_domain_id domain) { withdrawn_ = domain; }

 private:
  const service_config& ServiceOf(backend_server_id server) const;
  bool IsNth(uint64_t n);

  const mutant kind_;
  const effective_config& config_;
  backend_server_id draining_;
  failure_domain_id withdrawn_;
  uint64_t count_ = 0;
  answer last_answer_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_TESTING_PLANTED_FAULT_H_
