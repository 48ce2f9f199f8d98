#include "poplarstair/config/effective_config.h"

#include <algorithm>

namespace poplarstair {

namespace {

template <typename Container, typename Predicate>
const typename Container::value_type* FindIn(const Container& items,
                                             Predicate matches) {
  const auto it = std::find_if(items.begin(), items.end(), matches);
  return it == items.end() ? nullptr : &*it;
}

}  // namespace

const failure_domain_config* effective_config::FindDomain(
    failure_domain_id id) const {
  return FindIn(failure_domains, [id](const auto& d) { return d.id == id; });
}

const service_config* effective_config::FindService(service_id id) const {
  return FindIn(services, [id](const auto& s) { return s.id == id; });
}

const service_config* effective_config::FindServiceByName(
    std::string_view name) const {
  return FindIn(services, [name](const auto& s) { return s.name == name; });
}

bool MayReceive(const effective_config& config,
                const backend_server_config& server) {
  const auto* domain = config.FindDomain(server.failure_domain);
  return domain != nullptr && domain->in_service;
}

bool TakesNewWork(const effective_config& config,
                  const backend_server_config& server) {
  return server.state == backend_server_state::kActive && server.weight > 0 &&
         MayReceive(config, server);
}

}  // namespace poplarstair
