#include "poplarstair/membership/member_table.h"

#include <algorithm>
#include <utility>

#include "poplarstair/core/hash.h"

namespace poplarstair {

std::optional<size_t> member_table::IndexOf(instance_id id) const {
  const member* found = view_.Find(id);
  if (found == nullptr) return std::nullopt;
  return static_cast<size_t>(found - view_.members.data());
}

member_claim member_table::ClaimAt(size_t i, bool with_address) const {
  const member& m = view_.members[i];
  member_claim claim{m.address.id, m.life, notes_[i].refutation, notes_[i].told,
                     std::nullopt};
  if (with_address) claim.address = m.address;
  return claim;
}

void member_table::Insert(std::vector<member_claim> claims, bool out_of_sight) {
  if (claims.empty()) return;
  std::sort(
      claims.begin(), claims.end(),
      [](const member_claim& a, const member_claim& b) { return a.id < b.id; });
  const auto repeated =
      std::unique(claims.begin(), claims.end(),
                  [](const member_claim& a, const member_claim& b) {
                    return a.id == b.id;
                  });
  claims.erase(repeated, claims.end());
  std::vector<member> members;
  std::vector<notes> merged_notes;
  members.reserve(Size() + claims.size());
  merged_notes.reserve(Size() + claims.size());
  std::vector<size_t> added;
  size_t old = 0;
  for (member_claim& claim : claims) {
    for (; old < Size() && view_.members[old].address.id < claim.id; ++old) {
      members.push_back(std::move(view_.members[old]));
      merged_notes.push_back(notes_[old]);
    }
    added.push_back(members.size());
    members.push_back({std::move(*claim.address), claim.life, claim.state});
    merged_notes.push_back(
        {claim.refutation, claim.state, out_of_sight, false, false});
  }
  for (; old < Size(); ++old) {
    members.push_back(std::move(view_.members[old]));
    merged_notes.push_back(notes_[old]);
  }
  view_.members = std::move(members);
  notes_ = std::move(merged_notes);
  for (const size_t i : added) {
    ToggleDigest(i);
    Count(i, 1);
    ShowState(i);
  }
}

void member_table::Erase(size_t i) {
  ToggleDigest(i);
  Count(i, static_cast<size_t>(-1));
  view_.members.erase(view_.members.begin() + static_cast<ptrdiff_t>(i));
  notes_.erase(notes_.begin() + static_cast<ptrdiff_t>(i));
  changed_ = true;
}

void member_table::Set(size_t i, const member_claim& claim) {
  ToggleDigest(i);
  Count(i, static_cast<size_t>(-1));
  view_.members[i].life = claim.life;
  notes_[i].refutation = claim.refutation;
  notes_[i].told = claim.state;
  if (claim.address) view_.members[i].address = *claim.address;
  Count(i, 1);
  ToggleDigest(i);
  ShowState(i);
}

void member_table::SetOutOfSight(size_t i, bool out_of_sight) {
  if (notes_[i].out_of_sight == out_of_sight) return;
  ToggleDigest(i);
  Count(i, static_cast<size_t>(-1));
  notes_[i].out_of_sight = out_of_sight;
  Count(i, 1);
  ToggleDigest(i);
  ShowState(i);
}

void member_table::SetPartitioned(bool partitioned) {
  view_.partitioned = partitioned;
  changed_ = true;
}

uint32_t member_table::BucketOf(instance_id id) {
  return HashToRange(HashCombine(id.Value(), 0), kBuckets);
}

bool member_table::TakeChanged() {
  if (changed_) ++view_.version;
  return std::exchange(changed_, false);
}

size_t member_table::MemoryBytes() const {
  size_t bytes = view_.members.capacity() * sizeof(member) +
                 notes_.capacity() * sizeof(notes) + sizeof(*this);
  const std::string in_place;
  for (const member& m : view_.members) {
    if (m.address.name.capacity() > in_place.capacity()) {
      bytes += m.address.name.capacity() + 1;
    }
  }
  return bytes;
}

uint32_t member_table::HashAt(size_t i) const {
  const notes& note = notes_[i];
  if (note.told == member_state::kDead) return 0;
  // A suspicion passes soon, so it does not count; being out of sight does, for
  // another's claim may end it.
  uint64_t shown = note.told == member_state::kLeaving ? 2 : 0;
  if (note.out_of_sight) shown = 1;
  const member& m = view_.members[i];
  const uint64_t version = HashCombine(m.life, note.refutation << 2 | shown);
  return static_cast<uint32_t>(HashCombine(m.address.id.Value(), version));
}

void member_table::ToggleDigest(size_t i) {
  digest_[BucketOf(view_.members[i].address.id)] ^= HashAt(i);
}

void member_table::ShowState(size_t i) {
  const notes& note = notes_[i];
  const bool is_hidden = note.out_of_sight && note.told == member_state::kAlive;
  view_.members[i].state = is_hidden ? member_state::kSuspect : note.told;
  changed_ = true;
}

void member_table::Count(size_t i, size_t step) {
  const bool is_dead = notes_[i].told == member_state::kDead;
  if (is_dead) dead_count_ += step;
  if (!is_dead && notes_[i].out_of_sight) out_of_sight_count_ += step;
}

}  // namespace poplarstair
