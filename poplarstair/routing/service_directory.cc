#include "poplarstair/routing/service_directory.h"

namespace poplarstair {

service_directory::service_directory(effective_config_ptr config)
    : config_(std::move(config)) {
  for (const service_config& service : config_->services) {
    const auto index = static_cast<service_index>(may_receive_.size());
    by_id_[service.id] = index;
    for (const endpoint& address : service.addresses) {
      by_address_[address] = index;
    }
    std::vector<bool> may_receive;
    std::vector<bool> takes_new;
    for (const backend_server_config& server : service.backend_servers) {
      const auto position = static_cast<server_index>(may_receive.size());
      servers_[server.id] = {index, position};
      may_receive.push_back(poplarstair::MayReceive(*config_, server));
      takes_new.push_back(TakesNewWork(*config_, server));
    }
    may_receive_.push_back(std::move(may_receive));
    takes_new_.push_back(std::move(takes_new));
  }
}

service_index service_directory::FindByAddress(const endpoint& address) const {
  const auto it = by_address_.find(address);
  return it == by_address_.end() ? kNoService : it->second;
}

service_index service_directory::FindById(service_id id) const {
  const auto it = by_id_.find(id);
  return it == by_id_.end() ? kNoService : it->second;
}

server_position service_directory::FindServer(backend_server_id id) const {
  const auto it = servers_.find(id);
  return it == servers_.end() ? server_position{} : it->second;
}

packet_decision service_directory::Deliver(service_index service,
                                           server_index server,
                                           packet_reason reason) const {
  if (!may_receive_[service][server]) {
    return DropPacket(packet_reason::kFailureDomainOut);
  }
  const backend_server_config& target = Server(service, server);
  return {packet_verdict::kDeliver, reason, target.address, target.id,
          Service(service).id};
}

}  // namespace poplarstair
