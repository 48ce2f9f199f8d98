// Reads the list of live instances from the platform, for the emulators.
#ifndef POPLARSTAIR_EMULATOR_LIVE_INSTANCES_H_
#define POPLARSTAIR_EMULATOR_LIVE_INSTANCES_H_

#include <functional>
#include <vector>

#include "poplarstair/core/endpoint.h"
#include "poplarstair/io/http_client.h"

namespace poplarstair {

/// Addresses of an instance that is listed as live.
struct live_instance {
  /// Receives packets from the fabric (UDP).
  endpoint packet_address;
  /// Receives the clients' requests (HTTP/2 over TCP).
  endpoint request_address;
};

/// Reads the list once and passes it to `on_list`. Does not call `on_list` if
/// the platform does not answer or answers with an error.
void ReadLiveInstances(
    http_client& client, const endpoint& platform,
    std::function<void(const std::vector<live_instance>&)> on_list);

}  // namespace poplarstair

#endif  // POPLARSTAIR_EMULATOR_LIVE_INSTANCES_H_
