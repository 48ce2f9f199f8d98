#include "poplarstair/routing/placement.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace poplarstair {

namespace {

/// Rendezvous score of a server for a bucket; the highest wins, with a chance
/// in proportion to the weight.
double Score(uint64_t id, uint32_t bucket, double weight) {
  const double unit = HashToUnit(HashCombine(id, bucket));
  return -weight / std::log(unit + 0x1p-60);
}

/// Servers are drawn in two steps, so that the cost for each bucket grows with
/// the square root of their number.
constexpr uint32_t kGroups = 128;

/// A server or a group of servers, and the buckets that it may still get.
struct contender {
  uint64_t id = 0;
  double weight = 0;
  uint32_t room = 0;
  server_index server = kNoServer;
  std::vector<contender> members;
};

std::vector<contender> GroupsOf(const effective_config& config,
                                const service_config& service,
                                uint32_t bucket_count) {
  std::vector<contender> groups(kGroups);
  double total_weight = 0;
  for (size_t i = 0; i < service.backend_servers.size(); ++i) {
    const backend_server_config& server = service.backend_servers[i];
    if (!TakesNewWork(config, server)) continue;
    const uint32_t g = HashToRange(HashCombine(server.id.Value(), 0), kGroups);
    contender& group = groups[g];
    group.id = g + 1;
    group.weight += server.weight;
    total_weight += server.weight;
    group.members.push_back({server.id.Value(),
                             server.weight,
                             0,
                             static_cast<server_index>(i),
                             {}});
  }
  std::erase_if(groups, [](const contender& g) { return g.members.empty(); });
  for (contender& group : groups) {
    for (contender& c : group.members) {
      const double share = bucket_count * c.weight / total_weight;
      c.room = static_cast<uint32_t>(std::ceil(share * kMaxBucketShare));
      group.room += c.room;
    }
  }
  return groups;
}

contender* BestOf(std::vector<contender>& contenders, uint32_t bucket) {
  contender* best = nullptr;
  double best_score = 0;
  for (contender& c : contenders) {
    if (c.room == 0) continue;
    const double score = Score(c.id, bucket, c.weight);
    if (best != nullptr && score <= best_score) continue;
    best = &c;
    best_score = score;
  }
  return best;
}

server_index TakeBestServer(std::vector<contender>& groups, uint32_t bucket) {
  contender* group = BestOf(groups, bucket);
  if (group == nullptr) return kNoServer;
  contender* best = BestOf(group->members, bucket);
  --group->room;
  --best->room;
  return best->server;
}

}  // namespace

placement::placement(const effective_config& config,
                     const service_config& service) {
  const auto wanted =
      static_cast<uint32_t>(service.backend_servers.size()) * kBucketsPerServer;
  const uint32_t count = std::bit_ceil(std::max(wanted, kMinBuckets));
  servers_.resize(count);
  std::vector<contender> groups = GroupsOf(config, service, count);
  for (uint32_t bucket = 0; bucket < count; ++bucket) {
    servers_[bucket] = TakeBestServer(groups, bucket);
  }
}

}  // namespace poplarstair
