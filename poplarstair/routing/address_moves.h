// Addresses of backend servers that move from one service to another.
#ifndef POPLARSTAIR_ROUTING_ADDRESS_MOVES_H_
#define POPLARSTAIR_ROUTING_ADDRESS_MOVES_H_

#include <map>
#include <vector>

#include "poplarstair/routing/service_directory.h"

namespace poplarstair {

/// Tracks servers whose address another service had before. Such a server is
/// pending, and gets no packet, until every instance knows the move.
class address_moves {
 public:
  /// Finds the servers whose address another service had under `before`.
  void OnConfig(const service_directory& before,
                const service_directory& after);
  /// Takes over what another instance reports as pending in `since`.
  void Adopt(backend_server_id server, generation since);
  /// Ends the wait for servers that moved in generation `known` or earlier;
  /// every member knows that generation.
  void Release(generation known);

  bool IsPending(backend_server_id server) const {
    return !pending_.empty() && pending_.contains(server);
  }
  const std::map<backend_server_id, generation>& Pending() const {
    return pending_;
  }

 private:
  std::map<backend_server_id, generation> pending_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_ROUTING_ADDRESS_MOVES_H_
