#include "poplarstair/catalog/entry_judgement.h"

namespace poplarstair {

namespace {

/// True if the difference is not worth any news: the store tells none if a
/// server reports the same again.
bool SaysTheSame(time_point now, const server_entry& a, const server_entry& b) {
  return a.id == b.id && a.service == b.service && a.address == b.address &&
         a.failure_domain == b.failure_domain && a.state == b.state &&
         a.slots == b.slots && a.born_ms == b.born_ms &&
         (a.cold_until > now) == (b.cold_until > now);
}

/// True if the server has reported `offered` before `known`: the store's order
/// tells within an epoch, and the server's own between epochs.
bool IsEarlierWord(time_point now, const read_server& offered,
                   const read_server& known) {
  const bool is_doubted_there = offered.read.revision == kDoubtedRevision;
  if (known.read.epoch == offered.read.epoch && !is_doubted_there) {
    return offered.read.revision < known.read.revision;
  }
  return IsEarlierReport(*offered.entry, *known.entry) &&
         !SaysTheSame(now, *offered.entry, *known.entry);
}

/// True if another instance has kept the entry over a return, and what this one
/// has heard of the server since then says that it is gone.
bool IsGoneSince(const entry_judgement& e) {
  if (e.offered.read.epoch >= e.listed_at.epoch) return false;
  const bool has_later = e.known.entry != nullptr &&
                         e.known.read.epoch > e.offered.read.epoch &&
                         !IsEarlierReport(*e.known.entry, *e.offered.entry);
  const bool is_told_gone =
      e.removed != nullptr && e.removed->removed_at.epoch == e.listed_at.epoch;
  return has_later || is_told_gone;
}

}  // namespace

entry_verdict Judge(time_point now, const entry_judgement& e) {
  if (e.offered.entry == nullptr) return entry_verdict::kTake;
  if (IsGoneSince(e)) return entry_verdict::kGone;
  if (e.known.entry != nullptr && IsEarlierWord(now, e.offered, e.known)) {
    return e.is_keeping ? entry_verdict::kKeep : entry_verdict::kDoubt;
  }
  if (e.offered.read.revision == kDoubtedRevision) {
    return entry_verdict::kDoubt;
  }
  if (e.removed == nullptr) return entry_verdict::kTake;
  const read_entry& last = e.removed->last;
  const bool is_back = e.removed->is_gone
                           ? IsEarlierReport(last.entry, *e.offered.entry)
                           : !IsEarlierReport(*e.offered.entry, last.entry);
  const bool is_earlier = last.read.revision != 0 &&
                          last.read.epoch != e.offered.read.epoch && !is_back;
  return is_earlier ? entry_verdict::kDoubt : entry_verdict::kTake;
}

}  // namespace poplarstair
