// Which instances keep the records of the unsettled buckets.
#ifndef POPLARSTAIR_ROUTING_KEEPER_RING_H_
#define POPLARSTAIR_ROUTING_KEEPER_RING_H_

#include <cstdint>
#include <vector>

#include "poplarstair/core/ids.h"
#include "poplarstair/routing/placement.h"

namespace poplarstair {

/// An instance that may keep records.
struct keeper_candidate {
  instance_id id;
  failure_domain_id failure_domain;

  friend bool operator==(const keeper_candidate&,
                         const keeper_candidate&) = default;
};

/// The keepers of one slot. The first decides; the second holds copies, in
/// another failure domain if there is one. Unset where there is none.
struct keeper_pair {
  instance_id first;
  instance_id second;

  bool Has(instance_id id) const { return id == first || id == second; }
  friend bool operator==(const keeper_pair&, const keeper_pair&) = default;
};

/// Rendezvous hashing of slots over instances: a change of the candidates
/// moves only the slots of those that came or went.
class keeper_ring {
 public:
  static constexpr uint32_t kSlots = 1024;

  keeper_ring() : pairs_(kSlots) {}
  explicit keeper_ring(const std::vector<keeper_candidate>& candidates);

  const keeper_pair& Of(uint32_t slot) const { return pairs_[slot]; }
  /// The same for all sizes of a service's table (at least kMinBuckets), so
  /// that instances with different configurations agree.
  static uint32_t SlotOf(service_id service, uint32_t bucket, uint32_t count) {
    const uint32_t coarse = bucket / (count / kMinBuckets);
    return HashToRange(HashCombine(service.Value(), coarse), kSlots);
  }

 private:
  std::vector<keeper_pair> pairs_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_ROUTING_KEEPER_RING_H_
