#include "poplarstair/routing/keeper_ring.h"

namespace poplarstair {

namespace {

keeper_pair PairOf(const std::vector<keeper_candidate>& candidates,
                   uint32_t slot) {
  const keeper_candidate* first = nullptr;
  uint64_t first_score = 0;
  for (const keeper_candidate& c : candidates) {
    const uint64_t score = HashCombine(c.id.Value(), slot);
    if (first != nullptr && score <= first_score) continue;
    first = &c;
    first_score = score;
  }
  if (first == nullptr) return {};
  // Another domain goes before a higher score.
  const keeper_candidate* second = nullptr;
  bool second_apart = false;
  uint64_t second_score = 0;
  for (const keeper_candidate& c : candidates) {
    if (c.id == first->id) continue;
    const uint64_t score = HashCombine(c.id.Value(), slot);
    const bool apart = c.failure_domain != first->failure_domain;
    const bool better = second == nullptr || apart > second_apart ||
                        (apart == second_apart && score > second_score);
    if (!better) continue;
    second = &c;
    second_apart = apart;
    second_score = score;
  }
  return {first->id, second == nullptr ? instance_id() : second->id};
}

}  // namespace

keeper_ring::keeper_ring(const std::vector<keeper_candidate>& candidates) {
  pairs_.reserve(kSlots);
  for (uint32_t slot = 0; slot < kSlots; ++slot) {
    pairs_.push_back(PairOf(candidates, slot));
  }
}

}  // namespace poplarstair
