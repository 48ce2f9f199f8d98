// Emulates the fabric: distributes packets over the instances.
#ifndef POPLARSTAIR_EMULATOR_FABRIC_EMULATOR_H_
#define POPLARSTAIR_EMULATOR_FABRIC_EMULATOR_H_

#include <vector>

#include "poplarstair/core/endpoint.h"
#include "poplarstair/core/random.h"
#include "poplarstair/io/event_loop.h"
#include "poplarstair/io/http_client.h"
#include "poplarstair/io/socket.h"

namespace poplarstair {

/// Sends each received packet to an instance chosen at random among those that
/// the platform lists as live. Drops packets while the list is empty.
class fabric_emulator {
 public:
  fabric_emulator(event_loop& loop, const endpoint& local,
                  const endpoint& platform, uint64_t seed);

 private:
  void FetchInstances();
  void Forward();

  const endpoint platform_;
  http_client client_;
  timer_watcher refresh_timer_;
  std::vector<endpoint> instances_;
  random_source random_;
  unique_fd socket_;
  io_watcher watcher_;
  udp_batch received_;
  udp_batch sent_;
  std::vector<datagram> outgoing_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_EMULATOR_FABRIC_EMULATOR_H_
