// Finds the route of a packet by the address that its client uses.
#ifndef POPLARSTAIR_STEERING_ROUTE_INDEX_H_
#define POPLARSTAIR_STEERING_ROUTE_INDEX_H_

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <string>
#include <vector>

#include "poplarstair/catalog/catalog.h"
#include "poplarstair/core/hash.h"

namespace poplarstair {

/// Finds routes by service address.
class route_index {
 public:
  /// Replaces the routes if the version of `table` differs from the current
  /// one, or if another part of the same version can be read now.
  void Update(const route_table& table) {
    if (table.version == version_ && table.unread == unread_) return;
    version_ = table.version;
    unread_ = table.unread;
    routes_.clear();
    for (const service_route& route : table.routes) {
      routes_[route.address] = route;
    }
  }

  /// Null if the address has no route.
  const service_route* Find(const endpoint& address) const {
    const auto it = routes_.find(address);
    return it == routes_.end() ? nullptr : &it->second;
  }

  uint64_t Version() const { return version_; }

  /// Chooses the service of a flow by the weights of its route, among those for
  /// which `is_available` is true. The result depends only on the route, the
  /// flow and what is available, so every instance chooses the same service for
  /// every copy of a packet. Null if the sum of the weights is 0.
  static const std::string* ServiceOf(
      const service_route& route, uint64_t flow_hash,
      const std::function<bool(const std::string&)>& is_available) {
    uint64_t total = 0;
    for (const weighted_service& s : route.services) {
      if (s.weight > 0 && is_available(s.service)) total += s.weight;
    }
    if (total == 0) return nullptr;
    uint64_t point = flow_hash % total;
    for (const weighted_service& s : route.services) {
      if (s.weight == 0 || !is_available(s.service)) continue;
      if (point < s.weight) return &s.service;
      point -= s.weight;
    }
    return nullptr;
  }

  /// The same with every service available.
  static const std::string* ServiceOf(const service_route& route,
                                      uint64_t flow_hash) {
    return ServiceOf(route, flow_hash, [](const std::string&) { return true; });
  }

 private:
  uint64_t version_ = 0;
  std::vector<unread_part> unread_;
  absl::flat_hash_map<endpoint, service_route> routes_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_STEERING_ROUTE_INDEX_H_
