// A name's place among the names that have a flow cookie in common.
#ifndef POPLARSTAIR_STEERING_COOKIE_CLAIM_H_
#define POPLARSTAIR_STEERING_COOKIE_CLAIM_H_

#include <string>

#include "poplarstair/catalog/store_position.h"
#include "poplarstair/core/time.h"

namespace poplarstair {

/// What decides between a name and others that have a cookie in common with it.
struct cookie_claim {
  std::string name;
  /// Where the store created the name's entry; the earliest one known.
  store_position created;
  /// How long the name has had no entry; zero while it has one.
  duration gone_for = duration::zero();
  /// False if the name's entry may have gone and come back before `created`, as
  /// far as the instance knows that tells it.
  bool is_certain = true;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_STEERING_COOKIE_CLAIM_H_
