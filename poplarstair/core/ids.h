// The identifiers that all subsystems share.
#ifndef POPLARSTAIR_CORE_IDS_H_
#define POPLARSTAIR_CORE_IDS_H_

#include <string_view>

#include "poplarstair/core/hash.h"
#include "poplarstair/core/strong_id.h"

namespace poplarstair {

struct instance_tag;
struct failure_domain_tag;
struct service_tag;
struct backend_server_tag;

/// Identifiers are hashes of configured names, so every instance derives the
/// same one without agreement, and it outlives a change of configuration.
using instance_id = strong_id<instance_tag>;
using failure_domain_id = strong_id<failure_domain_tag>;
using service_id = strong_id<service_tag>;
using backend_server_id = strong_id<backend_server_tag>;

/// The identifier of the thing called `name`. Never the unset identifier.
template <typename Id>
Id IdFromName(std::string_view name) {
  const uint64_t hash = HashBytes(name);
  return Id(hash == 0 ? 1 : hash);
}

/// Number of an accepted configuration; grows by one with each accepted edit.
using generation = uint64_t;

/// Number of a process's life under one instance name; a later life is higher.
using incarnation = uint64_t;

}  // namespace poplarstair

#endif  // POPLARSTAIR_CORE_IDS_H_
