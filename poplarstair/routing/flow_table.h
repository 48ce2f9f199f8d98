// Hash table of the flows whose backend server an instance knows.
#ifndef POPLARSTAIR_ROUTING_FLOW_TABLE_H_
#define POPLARSTAIR_ROUTING_FLOW_TABLE_H_

#include <cstdint>
#include <vector>

#include "poplarstair/core/time.h"
#include "poplarstair/routing/placement.h"

namespace poplarstair {

/// The upper 48 bits of a flow's hash; its bucket follows from them.
using flow_fingerprint = uint64_t;
inline constexpr int kFingerprintShift = 16;
inline constexpr flow_fingerprint FingerprintOf(uint64_t flow_hash) {
  return flow_hash >> kFingerprintShift;
}

/// One flow. Times are in seconds to keep an entry at 16 bytes.
struct flow_entry {
  flow_fingerprint flow = 0;
  uint32_t last_seen_s : 28 = 0;
  /// The client has ended the flow; the entry is kept for its last packets.
  uint32_t ending : 1 = 0;
  /// Only seen at its bucket's base server, which needs no record.
  uint32_t is_base : 1 = 0;
  /// The other keeper has a copy.
  uint32_t copied : 1 = 0;
  uint16_t service = 0;
  server_index server = kNoServer;

  bool IsFree() const { return server == kNoServer; }
  uint64_t Hash() const { return flow << kFingerprintShift; }
};

static_assert(sizeof(flow_entry) == 16);

/// Open addressing with linear probing. Memory is bounded: a full table takes
/// no further flows. It starts small and doubles up to its limit.
class flow_table {
 public:
  explicit flow_table(uint32_t max_flows);

  /// Null when the flow is not known.
  flow_entry* Find(flow_fingerprint flow) {
    for (size_t i = SlotOf(flow); !slots_[i].IsFree(); i = Next(i)) {
      if (slots_[i].flow == flow) return &slots_[i];
    }
    return nullptr;
  }

  /// Adds the flow or overwrites its entry; null when the table is full.
  flow_entry* Put(const flow_entry& entry);
  void Erase(flow_fingerprint flow);

  /// Erases entries for which `should_erase` is true, looking at about
  /// `slot_count` slots from where the last call ended.
  template <typename Predicate>
  void SweepSome(size_t slot_count, Predicate should_erase);
  /// Erases every entry for which `should_erase` is true.
  template <typename Predicate>
  size_t EraseIf(Predicate should_erase);
  /// `visit` may change an entry but not its flow.
  template <typename Visitor>
  void ForEach(Visitor visit);

  size_t Size() const { return size_; }
  size_t Slots() const { return slots_.size(); }
  size_t MemoryBytes() const { return slots_.size() * sizeof(flow_entry); }

 private:
  size_t SlotOf(flow_fingerprint flow) const { return flow & mask_; }
  size_t Next(size_t slot) const { return (slot + 1) & mask_; }
  void Insert(const flow_entry& entry);
  void Grow();
  void EraseSlot(size_t slot);

  std::vector<flow_entry> slots_;
  size_t mask_ = 0;
  size_t size_ = 0;
  size_t max_flows_ = 0;
  size_t sweep_at_ = 0;
};

template <typename Predicate>
void flow_table::SweepSome(size_t slot_count, Predicate should_erase) {
  for (size_t i = 0; i < slot_count; ++i) {
    sweep_at_ &= mask_;
    const flow_entry& entry = slots_[sweep_at_];
    if (!entry.IsFree() && should_erase(entry)) {
      EraseSlot(sweep_at_);  // Another entry may have moved here.
    } else {
      ++sweep_at_;
    }
  }
}

template <typename Predicate>
size_t flow_table::EraseIf(Predicate should_erase) {
  std::vector<flow_fingerprint> flows_to_erase;
  ForEach([&](const flow_entry& entry) {
    if (should_erase(entry)) flows_to_erase.push_back(entry.flow);
  });
  for (const flow_fingerprint flow : flows_to_erase) Erase(flow);
  return flows_to_erase.size();
}

template <typename Visitor>
void flow_table::ForEach(Visitor visit) {
  for (flow_entry& entry : slots_) {
    if (!entry.IsFree()) visit(entry);
  }
}

}  // namespace poplarstair

#endif  // POPLARSTAIR_ROUTING_FLOW_TABLE_H_
