// The datagram by which instances tell each other what they know and see.
#ifndef POPLARSTAIR_STEERING_PEER_DIGEST_H_
#define POPLARSTAIR_STEERING_PEER_DIGEST_H_

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "poplarstair/catalog/catalog.h"
#include "poplarstair/core/ids.h"
#include "poplarstair/steering/cookie_claim.h"
#include "poplarstair/steering/server_report.h"
#include "poplarstair/steering/service_admission.h"

namespace poplarstair {

/// Most other instances that one digest names.
inline constexpr size_t kMaxNamedPeers = 12;

/// Another instance that the sender knows of.
struct named_peer {
  endpoint address;
  incarnation life = 0;
  /// How long ago the sender, or who told it, has heard of it.
  duration age = duration::zero();
  failure_domain_id domain;
};

struct peer_digest {
  /// Where the sender hands over its catalog; also its name.
  endpoint sender;
  incarnation life = 0;
  std::string failure_domain;
  /// Draining: it will be gone within seconds.
  bool is_stopping = false;
  /// The sender asks for a digest in return, since it does not know the
  /// receiver yet, or knows few instances.
  bool wants_reply = false;
  /// The sender follows the store itself, and the store answers it.
  bool is_following = false;
  std::array<store_position, kCollections> positions{};
  std::array<content_digest, kCollections> contents{};
  /// Version of the routes in force.
  uint64_t routes_version = 0;
  /// How long ago the store was last in touch, as catalog_times::in_touch_at.
  duration age = std::chrono::hours(1);
  /// The other two catalog_times: for how long the catalog still covers what
  /// has to be in force, and how long ago the servers were known; nothing from
  /// instances that do not send them.
  std::optional<duration> covers_for;
  std::optional<duration> servers_known_age;
  /// The sender needs a later catalog_times::servers_known_at, and asks the
  /// receiver, which follows the store, to ask that at once.
  bool wants_confirmation = false;
  std::vector<server_report> reports;
  /// How busy the services are in the sender's failure domain.
  std::vector<service_load> services;
  /// Some instances that the sender has heard of lately.
  std::vector<named_peer> peers;
  /// Claims to cookies that several names of servers have.
  std::vector<cookie_claim> claims;
};

std::string EncodeDigest(const peer_digest& digest);
/// Throws malformed_message.
peer_digest DecodeDigest(std::string_view bytes);

}  // namespace poplarstair

#endif  // POPLARSTAIR_STEERING_PEER_DIGEST_H_
