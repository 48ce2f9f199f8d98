// Chooses the peers with which an instance exchanges configurations.
#ifndef POPLARSTAIR_CONFIG_SPREAD_PEERS_H_
#define POPLARSTAIR_CONFIG_SPREAD_PEERS_H_

#include <vector>

#include "poplarstair/core/random.h"
#include "poplarstair/membership/member.h"

namespace poplarstair {

struct spread_peers {
  /// The other usable members of this instance's failure domain.
  std::vector<instance_id> domain;
  /// The watchers of all other failure domains.
  std::vector<instance_id> remote_watchers;
  bool is_watcher = true;

  /// Chooses the members of each failure domain with the highest hashes as
  /// watchers (rendezvous hashing). Instances with the same view choose the
  /// same watchers, and the loss of one replaces only that one.
  static spread_peers FromView(const member_view& view, instance_id self,
                               size_t watchers_per_domain);
};

/// Returns up to `count` random entries of `from`, each at most once.
std::vector<instance_id> PickSome(std::vector<instance_id> from, size_t count,
                                  random_source& random);

}  // namespace poplarstair

#endif  // POPLARSTAIR_CONFIG_SPREAD_PEERS_H_
