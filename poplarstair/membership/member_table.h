// The members with what the protocol notes about each, and their digest.
#ifndef POPLARSTAIR_MEMBERSHIP_MEMBER_TABLE_H_
#define POPLARSTAIR_MEMBERSHIP_MEMBER_TABLE_H_

#include <array>
#include <optional>
#include <vector>

#include "poplarstair/membership/member.h"
#include "poplarstair/membership/membership_message.h"

namespace poplarstair {

/// Kept compact: one view and a few bytes more a member.
class member_table {
 public:
  static constexpr uint32_t kBuckets = 128;
  using digest_array = std::array<uint32_t, kBuckets>;

  /// What the view does not show.
  struct notes {
    uint32_t refutation = 0;
    /// What is told to others; the view shows a member that is alive but out of
    /// this instance's sight as suspect.
    member_state told = member_state::kAlive;
    bool out_of_sight = false;
    bool is_listed = false;
    bool is_listed_leaving = false;
  };

  const member_view& View() const { return view_; }
  size_t Size() const { return notes_.size(); }
  std::optional<size_t> IndexOf(instance_id id) const;
  const member& At(size_t i) const { return view_.members[i]; }
  notes& NotesAt(size_t i) { return notes_[i]; }
  const notes& NotesAt(size_t i) const { return notes_[i]; }

  member_claim ClaimAt(size_t i, bool with_address) const;

  /// Adds members that are not known yet.
  void Insert(std::vector<member_claim> claims, bool out_of_sight);
  void Erase(size_t i);
  /// Takes over life, refutation, state and, if there is one, address.
  void Set(size_t i, const member_claim& claim);
  void SetOutOfSight(size_t i, bool out_of_sight);
  void SetPartitioned(bool partitioned);

  size_t CountOutOfSight() const { return out_of_sight_count_; }
  size_t CountDead() const { return dead_count_; }

  // Anti-entropy. Dead members don't count: they are forgotten at different
  // times.
  const digest_array& Digest() const { return digest_; }
  static uint32_t BucketOf(instance_id id);

  /// True if anything has changed since the last call.
  bool TakeChanged();
  size_t MemoryBytes() const;

 private:
  uint32_t HashAt(size_t i) const;
  void ToggleDigest(size_t i);
  void ShowState(size_t i);
  void Count(size_t i, size_t step);

  member_view view_;
  std::vector<notes> notes_;
  digest_array digest_{};
  size_t out_of_sight_count_ = 0;
  size_t dead_count_ = 0;
  bool changed_ = true;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_MEMBERSHIP_MEMBER_TABLE_H_
