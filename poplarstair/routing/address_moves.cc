#include "poplarstair/routing/address_moves.h"

namespace poplarstair {

namespace {

using owner_map = absl::flat_hash_map<endpoint, service_id>;

owner_map OwnersOf(const service_directory& directory) {
  owner_map owners;
  if (directory.IsEmpty()) return owners;
  for (const service_config& service : directory.Config().services) {
    for (const backend_server_config& server : service.backend_servers) {
      owners[server.address] = service.id;
    }
  }
  return owners;
}

}  // namespace

void address_moves::OnConfig(const service_directory& before,
                             const service_directory& after) {
  const owner_map owners = OwnersOf(before);
  for (const service_config& service : after.Config().services) {
    for (const backend_server_config& server : service.backend_servers) {
      const auto old = owners.find(server.address);
      if (old == owners.end() || old->second == service.id) continue;
      pending_[server.id] = after.Config().number;
    }
  }
  std::erase_if(pending_, [&](const auto& entry) {
    return after.FindServer(entry.first).server == kNoServer;
  });
}

void address_moves::Adopt(backend_server_id server, generation since) {
  pending_.try_emplace(server, since);
}

void address_moves::Release(generation known) {
  std::erase_if(pending_,
                [known](const auto& entry) { return entry.second <= known; });
}

}  // namespace poplarstair
