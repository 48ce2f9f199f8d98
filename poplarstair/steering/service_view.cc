#include "poplarstair/steering/service_view.h"

#include <algorithm>

#include "poplarstair/steering/route_index.h"
#include "poplarstair/steering/server_choice.h"

namespace poplarstair {

bool service_view::IsServed(const std::string& service) const {
  const auto rows = servers_.OfService(service);
  return std::any_of(rows.begin(), rows.end(), [this](server_row row) {
    return servers_.At(row).TakesNewFlows() && !estimates_.IsSilent(row);
  });
}

bool service_view::IsServedIn(const std::string& domain,
                              const std::string& service) const {
  const auto rows = servers_.OfService(service);
  return std::any_of(rows.begin(), rows.end(), [&](server_row row) {
    const known_server& server = servers_.At(row);
    return server.failure_domain == domain && server.TakesNewFlows() &&
           !estimates_.IsSilent(row);
  });
}

bool service_view::IsServedOrEmpty(const std::string& service) const {
  const auto rows = servers_.OfService(service);
  const bool is_empty = std::none_of(
      rows.begin(), rows.end(),
      [this](server_row row) { return servers_.At(row).TakesNewFlows(); });
  return is_empty || IsServed(service);
}

bool service_view::HasUnconfirmed(time_point now,
                                  const std::string& service) const {
  const auto rows = servers_.OfService(service);
  return std::any_of(rows.begin(), rows.end(), [this, now](server_row row) {
    const known_server& server = servers_.At(row);
    return server.TakesNewFlows() && !estimates_.IsSilent(row) &&
           (server.is_unconfirmed || estimates_.MayHaveRestarted(now, row));
  });
}

const std::string* service_view::ServiceFor(const service_route& route,
                                            uint64_t flow_hash) const {
  const std::string* chosen = route_index::ServiceOf(route, flow_hash);
  if (chosen == nullptr || route.services.size() == 1) return chosen;
  if (IsServed(*chosen)) return chosen;
  const std::string* other = route_index::ServiceOf(
      route, flow_hash,
      [this](const std::string& name) { return IsServed(name); });
  return other == nullptr ? chosen : other;
}

bool service_view::MayOpen(time_point now, const service_route& route,
                           server_row row, bool is_placed_cold) const {
  const known_server& server = servers_.At(row);
  const bool is_cold = IsCold(now, servers_, estimates_, row);
  return server.TakesNewFlows() && (!is_cold || is_placed_cold) &&
         std::any_of(route.services.begin(), route.services.end(),
                     [&server](const weighted_service& s) {
                       return s.weight > 0 && s.service == server.service;
                     });
}

bool service_view::HasOtherServer(time_point now, const service_route& route,
                                  server_row row) const {
  const auto is_usable = [this, now, row](server_row other) {
    const known_server& server = servers_.At(other);
    return other != row && server.TakesNewFlows() &&
           !IsCold(now, servers_, estimates_, other) &&
           estimates_.TakesFlow(now, other);
  };
  return std::any_of(route.services.begin(), route.services.end(),
                     [this, &is_usable](const weighted_service& s) {
                       const auto rows = servers_.OfService(s.service);
                       return s.weight > 0 &&
                              std::any_of(rows.begin(), rows.end(), is_usable);
                     });
}

}  // namespace poplarstair
