// The services of the configuration in force, as packets need them.
#ifndef POPLARSTAIR_ROUTING_SERVICE_DIRECTORY_H_
#define POPLARSTAIR_ROUTING_SERVICE_DIRECTORY_H_

#include <absl/container/flat_hash_map.h>

#include <vector>

#include "poplarstair/config/effective_config.h"
#include "poplarstair/routing/flow_plane.h"
#include "poplarstair/routing/placement.h"

namespace poplarstair {

/// Position of a service in its configuration's list.
using service_index = uint16_t;
inline constexpr service_index kNoService = 0xffff;

struct server_position {
  service_index service = kNoService;
  server_index server = kNoServer;
};

/// Look-ups in one configuration; empty before the first.
class service_directory {
 public:
  service_directory() = default;
  explicit service_directory(effective_config_ptr config);

  bool IsEmpty() const { return config_ == nullptr; }
  const effective_config& Config() const { return *config_; }
  service_index ServiceCount() const {
    return static_cast<service_index>(may_receive_.size());
  }
  const service_config& Service(service_index i) const {
    return config_->services[i];
  }
  const backend_server_config& Server(service_index service,
                                      server_index server) const {
    return Service(service).backend_servers[server];
  }

  /// kNoService if there is none.
  service_index FindByAddress(const endpoint& address) const;
  service_index FindById(service_id id) const;
  /// kNoServer if the service has no such server.
  server_position FindServer(backend_server_id id) const;

  /// Whether packets may be sent to the server.
  bool MayReceive(service_index service, server_index server) const {
    return may_receive_[service][server];
  }
  bool TakesNew(service_index service, server_index server) const {
    return takes_new_[service][server];
  }
  packet_decision Deliver(service_index service, server_index server,
                          packet_reason reason) const;

 private:
  effective_config_ptr config_;
  absl::flat_hash_map<endpoint, service_index> by_address_;
  absl::flat_hash_map<service_id, service_index> by_id_;
  absl::flat_hash_map<backend_server_id, server_position> servers_;
  std::vector<std::vector<bool>> may_receive_;
  std::vector<std::vector<bool>> takes_new_;
};

inline packet_decision DropPacket(packet_reason reason) {
  return {packet_verdict::kDrop, reason, {}, {}, {}};
}

}  // namespace poplarstair

#endif  // POPLARSTAIR_ROUTING_SERVICE_DIRECTORY_H_
