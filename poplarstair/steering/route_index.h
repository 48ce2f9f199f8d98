// Finds the route of a packet by the address that its client uses.
#ifndef POPLARSTAIR_STEERING_ROUTE_INDEX_H_
#define POPLARSTAIR_STEERING_ROUTE_INDEX_H_

#include <absl/container/flat_hash_map.h>

#include <string>

#include "poplarstair/catalog/catalog.h"
#include "poplarstair/core/hash.h"

namespace poplarstair {

/// Finds routes by service address.
class route_index {
 public:
  /// Replaces the routes if the version of `table` differs from the current
  /// one.
  void Update(const route_table& table) {
    if (table.version == version_) return;
    version_ = table.version;
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

  /// Chooses the service of a flow by the weights of its route. The result
  /// depends only on the route and the flow, so every instance chooses the same
  /// service for every copy of a packet. Null if the sum of the weights is 0.
  static const std::string* ServiceOf(const service_route& route,
                                      uint64_t flow_hash) {
    uint64_t total = 0;
    for (const weighted_service& s : route.services) total += s.weight;
    if (total == 0) return nullptr;
    uint64_t point = flow_hash % total;
    for (const weighted_service& s : route.services) {
      if (point < s.weight) return &s.service;
      point -= s.weight;
    }
    return nullptr;
  }

 private:
  uint64_t version_ = 0;
  absl::flat_hash_map<endpoint, service_route> routes_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_STEERING_ROUTE_INDEX_H_
