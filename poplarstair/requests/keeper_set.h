// Chooses the instances that vote on which instance may execute a request.
#ifndef POPLARSTAIR_REQUESTS_KEEPER_SET_H_
#define POPLARSTAIR_REQUESTS_KEEPER_SET_H_

#include <vector>

#include "poplarstair/membership/member.h"
#include "poplarstair/requests/request_key.h"

namespace poplarstair {

/// The largest number of keepers of a request. More than half of a request's
/// keepers must agree on its holder.
inline constexpr size_t kKeepers = 5;

/// Chooses the keepers of `key` by rendezvous hashing, spread evenly over the
/// failure domains: with three domains, a majority survives the loss of one.
/// `roster` includes dead members, because an unreachable member may have
/// voted.
std::vector<instance_id> KeepersOf(const request_key& key,
                                   const std::vector<member>& roster);

}  // namespace poplarstair

#endif  // POPLARSTAIR_REQUESTS_KEEPER_SET_H_
