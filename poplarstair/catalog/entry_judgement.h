// What becomes of a server's entry that the store or another instance lists,
// over the store's returns from a copy.
#ifndef POPLARSTAIR_CATALOG_ENTRY_JUDGEMENT_H_
#define POPLARSTAIR_CATALOG_ENTRY_JUDGEMENT_H_

#include "poplarstair/catalog/catalog.h"

namespace poplarstair {

/// Stands in place of the revision of a server's entry that is not used: the
/// store lists it after its return from a copy, and its server had followed it
/// by another one before. No answer of a store holds so large a revision.
inline constexpr store_revision kDoubtedRevision = ~store_revision{0};

/// An entry and the position of its last change.
struct read_entry {
  /// Revision 0 if it could not be read.
  store_position read;
  server_entry entry;
};

/// The same, as an instance holds it or is offered it.
struct read_server {
  store_position read;
  /// Null if there is none that can be read.
  const server_entry* entry = nullptr;
};

/// A server that is gone, or whose entry is not used.
struct removed_server {
  store_position removed_at;
  /// What it had reported last.
  read_entry last;
  /// The store had told that report's end: only a later one brings the server
  /// back. Otherwise the store listed an earlier report, and the same one does.
  bool is_gone = true;
};

enum class entry_verdict : uint8_t {
  /// It comes into use.
  kTake,
  /// What is held stays: a later word, which the store has lost.
  kKeep,
  /// Neither is used until the server reports again.
  kDoubt,
  /// The store has told since that the server is gone.
  kGone,
};

struct entry_judgement {
  /// The state that `offered` is listed in.
  store_position listed_at;
  read_server known;
  read_server offered;
  /// What is remembered if the server was gone; null if it was not.
  const removed_server* removed = nullptr;
  /// What the store lacks is kept.
  bool is_keeping = false;
};

entry_verdict Judge(time_point now, const entry_judgement& entry);

}  // namespace poplarstair

#endif  // POPLARSTAIR_CATALOG_ENTRY_JUDGEMENT_H_
