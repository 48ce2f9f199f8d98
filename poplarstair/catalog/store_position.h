// The order of the store's states.
#ifndef POPLARSTAIR_CATALOG_STORE_POSITION_H_
#define POPLARSTAIR_CATALOG_STORE_POSITION_H_

#include <compare>
#include <cstdint>

namespace poplarstair {

/// Number of the store's whole state; grows with each change of any object.
using store_revision = uint64_t;

/// Counts the store's returns from a copy of its data; 0 from a store that does
/// not tell it.
using store_epoch = uint64_t;

/// A state of the store. After a return from a copy revisions are given out
/// again: they order only what belongs to one epoch, and a later epoch comes
/// after all of an earlier one.
struct store_position {
  store_epoch epoch = 0;
  /// 0 if nothing is known.
  store_revision revision = 0;

  friend auto operator<=>(const store_position&,
                          const store_position&) = default;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_CATALOG_STORE_POSITION_H_
