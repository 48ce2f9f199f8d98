// The bucket states of one service, as one instance knows them.
#ifndef POPLARSTAIR_ROUTING_BUCKET_MAP_H_
#define POPLARSTAIR_ROUTING_BUCKET_MAP_H_

#include <cstdint>
#include <vector>

#include "poplarstair/core/time.h"
#include "poplarstair/routing/keeper_ring.h"
#include "poplarstair/routing/placement.h"
#include "poplarstair/routing/service_directory.h"

namespace poplarstair {

/// A settled bucket sends every flow to `base`. In any other, flows without a
/// record belong to `base`, and new ones are placed by the bucket's keepers.
struct bucket_state {
  server_index base = kNoServer;
  /// Server of new flows under the configuration in force.
  server_index target = kNoServer;
  /// Server of new flows before the change. It still gets them while `target`
  /// is not active and `base` accepts no new flows.
  server_index previous_target = kNoServer;
  /// Grows when the keepers give the bucket another base.
  uint16_t epoch = 0;
  bool settled = true;
  /// The change removed the base, so new flows wait until all instances know.
  bool base_lost = false;
  /// Records held here of flows that are not at `base`.
  uint32_t records = 0;
  /// Generation in which the bucket became unsettled.
  generation changed_in = 0;
  /// When that generation came into force here.
  time_point changed_at{};
  /// New flows go to `target` from then on.
  time_point active_at{};
  /// Since when this instance sees all flows of the bucket.
  time_point watched_since{};
};

class bucket_map {
 public:
  bucket_map() = default;
  /// All buckets settled as the configuration says.
  bucket_map(const service_directory& directory, service_index service);

  /// Takes over what `before` knew, under the new configuration. Buckets whose
  /// server may receive nothing any more move at once; others whose target is
  /// not their base become unsettled.
  void Inherit(const bucket_map& before, const service_directory& old_directory,
               service_index old_service, time_point now);

  uint32_t Count() const { return static_cast<uint32_t>(states_.size()); }
  uint32_t BucketOf(uint64_t flow_hash) const {
    return HashToRange(flow_hash, Count());
  }
  bucket_state& At(uint32_t bucket) { return states_[bucket]; }
  const bucket_state& At(uint32_t bucket) const { return states_[bucket]; }
  uint32_t SlotOf(uint32_t bucket) const {
    return keeper_ring::SlotOf(directory_->Service(service_).id, bucket,
                               Count());
  }
  /// Buckets that were unsettled when last listed; Unsettle adds to it.
  const std::vector<uint32_t>& Unsettled() const { return unsettled_; }

  void Unsettle(uint32_t bucket);
  /// Takes settled buckets off the list.
  void PruneUnsettled();

 private:
  void InheritBucket(uint32_t bucket, const bucket_state& old,
                     server_index base);
  time_point ActivationOf(uint32_t bucket, time_point now) const;

  const service_directory* directory_ = nullptr;
  service_index service_ = kNoService;
  std::vector<bucket_state> states_;
  std::vector<uint32_t> unsettled_;
  /// By server: true if it took no new work before and so starts slowly.
  std::vector<bool> ramps_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_ROUTING_BUCKET_MAP_H_
