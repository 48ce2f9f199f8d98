// Carries packets from callers through instances to backend servers.
#ifndef POPLARSTAIR_TESTING_PACKET_PATH_H_
#define POPLARSTAIR_TESTING_PACKET_PATH_H_

#include "poplarstair/testing/flow_callers.h"
#include "poplarstair/testing/site_state.h"

namespace poplarstair {

class packet_path {
 public:
  explicit packet_path(site_state& site);

  void Start(uint32_t feeds, uint32_t uploads) { flows_.Start(feeds, uploads); }

 private:
  /// The fabric: any instance that it sees.
  void Send(const flow_packet& packet);
  void Receive(size_t i, const flow_packet& packet);
  void HandOn(size_t from, flow_packet packet, const endpoint& address);
  void Forward(size_t i, const flow_packet& packet, const endpoint& address);
  void Deliver(size_t i, size_t s, const flow_packet& packet, bool could_know);

  site_state& site_;
  flow_callers flows_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_TESTING_PACKET_PATH_H_
