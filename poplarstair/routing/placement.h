// Which backend server the flows of each bucket of a service go to.
#ifndef POPLARSTAIR_ROUTING_PLACEMENT_H_
#define POPLARSTAIR_ROUTING_PLACEMENT_H_

#include <cstdint>
#include <vector>

#include "poplarstair/config/effective_config.h"

namespace poplarstair {

/// Position of a backend server in its service's list.
using server_index = uint16_t;
inline constexpr server_index kNoServer = 0xffff;

/// Buckets for each backend server of a service, at least.
inline constexpr uint32_t kBucketsPerServer = 256;
inline constexpr uint32_t kMinBuckets = 1024;
/// No server gets more buckets than this times its share by weight.
inline constexpr double kMaxBucketShare = 1.06;

/// Bucket to server, the same on every instance that has the same
/// configuration: weighted rendezvous hashing with bounded shares, so a change
/// moves little more than the buckets of the servers that changed.
class placement {
 public:
  placement() = default;
  placement(const effective_config& config, const service_config& service);

  uint32_t BucketOf(uint64_t flow_hash) const {
    return HashToRange(flow_hash, static_cast<uint32_t>(servers_.size()));
  }
  /// kNoServer if no server takes new work.
  server_index ServerOf(uint64_t flow_hash) const {
    return servers_.empty() ? kNoServer : servers_[BucketOf(flow_hash)];
  }
  const std::vector<server_index>& Buckets() const { return servers_; }

 private:
  std::vector<server_index> servers_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_ROUTING_PLACEMENT_H_
