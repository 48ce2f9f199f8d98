// What the servers of a service can do for a new flow.
#ifndef POPLARSTAIR_STEERING_SERVICE_VIEW_H_
#define POPLARSTAIR_STEERING_SERVICE_VIEW_H_

#include <cstdint>
#include <string>

#include "poplarstair/admission/server_estimates.h"
#include "poplarstair/catalog/catalog.h"
#include "poplarstair/steering/server_set.h"

namespace poplarstair {

/// Reads the servers and the beliefs about them; both have to outlive it.
class service_view {
 public:
  service_view(const server_set& servers, const server_estimates& estimates)
      : servers_(servers), estimates_(estimates) {}

  /// True if a server of the service takes flows and answers.
  bool IsServed(const std::string& service) const;
  /// The same, counting servers of this failure domain alone.
  bool IsServedIn(const std::string& domain, const std::string& service) const;
  /// As IsServed, or no server of the service takes flows.
  bool IsServedOrEmpty(const std::string& service) const;
  /// True if a server of the service may turn out to be warm within the time
  /// of the client's next copy.
  bool HasUnconfirmed(time_point now, const std::string& service) const;
  /// The service that the weights choose; another one of the route while that
  /// one has no server that takes flows and answers. Null if the route has no
  /// service.
  const std::string* ServiceFor(const service_route& route,
                                uint64_t flow_hash) const;
  /// True if a flow of the route, placed at the server when that was cold or
  /// warm, would still be placed there.
  bool MayOpen(time_point now, const service_route& route, server_row row,
               bool is_placed_cold) const;
  /// True if the route has another warm server that takes flows and answers.
  bool HasOtherServer(time_point now, const service_route& route,
                      server_row row) const;

 private:
  const server_set& servers_;
  const server_estimates& estimates_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_STEERING_SERVICE_VIEW_H_
