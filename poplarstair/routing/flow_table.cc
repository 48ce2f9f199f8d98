#include "poplarstair/routing/flow_table.h"

#include "poplarstair/core/assert.h"

namespace poplarstair {

namespace {

/// Slots for each flow at the limit; keeps probe sequences short.
constexpr size_t kSlotsPerFlow = 2;
constexpr size_t kMinSlots = 16;

}  // namespace

flow_table::flow_table(uint32_t max_flows)
    : slots_(kMinSlots), mask_(kMinSlots - 1), max_flows_(max_flows) {}

flow_entry* flow_table::Put(const flow_entry& entry) {
  POPLARSTAIR_ASSERT(!entry.IsFree());
  if (flow_entry* existing = Find(entry.flow)) {
    *existing = entry;
    return existing;
  }
  if (size_ >= max_flows_) return nullptr;
  if ((size_ + 1) * kSlotsPerFlow > slots_.size()) Grow();
  Insert(entry);
  ++size_;
  return Find(entry.flow);
}

void flow_table::Insert(const flow_entry& entry) {
  size_t slot = SlotOf(entry.flow);
  while (!slots_[slot].IsFree()) slot = Next(slot);
  slots_[slot] = entry;
}

void flow_table::Grow() {
  std::vector<flow_entry> old(slots_.size() * 2);
  old.swap(slots_);
  mask_ = slots_.size() - 1;
  for (const flow_entry& entry : old) {
    if (!entry.IsFree()) Insert(entry);
  }
}

void flow_table::Erase(flow_fingerprint flow) {
  const flow_entry* entry = Find(flow);
  if (entry != nullptr) EraseSlot(static_cast<size_t>(entry - slots_.data()));
}

void flow_table::EraseSlot(size_t slot) {
  --size_;
  size_t hole = slot;
  // Moves later entries of the probe sequence back over the hole.
  for (size_t i = Next(slot); !slots_[i].IsFree(); i = Next(i)) {
    const size_t distance_to_home = (i - SlotOf(slots_[i].flow)) & mask_;
    const size_t distance_to_hole = (i - hole) & mask_;
    if (distance_to_home >= distance_to_hole) {
      slots_[hole] = slots_[i];
      hole = i;
    }
  }
  slots_[hole] = flow_entry{};
}

}  // namespace poplarstair
