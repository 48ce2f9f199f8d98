// The messages of the membership protocol.
#ifndef POPLARSTAIR_MEMBERSHIP_MEMBERSHIP_MESSAGE_H_
#define POPLARSTAIR_MEMBERSHIP_MEMBERSHIP_MESSAGE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "poplarstair/core/enum_names.h"
#include "poplarstair/membership/member.h"

namespace poplarstair {

enum class membership_kind : uint8_t {
  /// Asks the receiver for an acknowledgement.
  kPing,
  kAck,
  /// Asks the receiver to ping `subject` in the sender's place.
  kPingRequest,
  /// Carries claims only.
  kGossip,
  /// Opens an anti-entropy exchange: one hash for each bucket of members.
  kDigest,
  /// The sender's claims about all members of the buckets that differ.
  kEntries,
  /// Asks for the addresses of `wanted`.
  kAddressRequest,
};

template <>
struct enum_names<membership_kind> {
  static constexpr std::string_view kNames[] = {
      "ping",   "ack",     "ping_request",   "gossip",
      "digest", "entries", "address_request"};
};

/// What an instance says about a member. Claims are ordered by life, then by
/// refutation, then by state; the highest wins.
struct member_claim {
  instance_id id;
  incarnation life = 0;
  /// Grows when the member refutes a suspicion.
  uint32_t refutation = 0;
  member_state state = member_state::kAlive;
  std::optional<instance_address> address;
};

/// Below, at or above zero as `a` is older than, the same as or newer than `b`.
int CompareClaims(const member_claim& a, const member_claim& b);

struct membership_message {
  membership_kind kind = membership_kind::kPing;
  /// Of the ping that is sent or answered; with entries, the number of buckets
  /// that differ.
  uint32_t sequence = 0;
  /// The sender about itself.
  member_claim sender;
  instance_id subject;
  std::vector<member_claim> claims;
  std::vector<uint32_t> digest;
  std::vector<uint32_t> buckets;
  std::vector<instance_id> wanted;
};

std::string EncodeMembershipMessage(const membership_message& message);
/// Throws malformed_message.
membership_message DecodeMembershipMessage(instance_id from,
                                           std::string_view bytes);

/// Encoded size of a claim, for byte budgets.
size_t ClaimBytes(const member_claim& claim);

}  // namespace poplarstair

#endif  // POPLARSTAIR_MEMBERSHIP_MEMBERSHIP_MESSAGE_H_
