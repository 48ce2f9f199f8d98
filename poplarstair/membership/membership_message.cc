#include "poplarstair/membership/membership_message.h"

#include <algorithm>
#include <array>
#include <compare>
#include <tuple>

#include "poplarstair/core/codec.h"
#include "poplarstair/core/error.h"

namespace poplarstair {

namespace {

struct address_fields {
  std::string name;
  uint64_t failure_domain = 0;
  std::string peer_address;
  std::string hand_on_address;
  MSGPACK_DEFINE(name, failure_domain, peer_address, hand_on_address)
};

struct claim_fields {
  uint64_t id = 0;
  uint64_t life = 0;
  uint32_t refutation = 0;
  uint8_t state = 0;
  /// Empty, or one.
  std::vector<address_fields> address;
  MSGPACK_DEFINE(id, life, refutation, state, address)
};

struct message_fields {
  uint8_t kind = 0;
  uint32_t sequence = 0;
  uint64_t life = 0;
  uint32_t refutation = 0;
  uint8_t state = 0;
  uint64_t subject = 0;
  std::vector<claim_fields> claims;
  std::vector<uint32_t> digest;
  std::vector<uint32_t> buckets;
  std::vector<uint64_t> wanted;
  MSGPACK_DEFINE(kind, sequence, life, refutation, state, subject, claims,
                 digest, buckets, wanted)
};

address_fields PackAddress(const instance_address& address) {
  return {address.name, address.failure_domain.Value(),
          address.peer_address.Pack(), address.hand_on_address.Pack()};
}

claim_fields PackClaim(const member_claim& claim) {
  claim_fields packed{claim.id.Value(),
                      claim.life,
                      claim.refutation,
                      static_cast<uint8_t>(claim.state),
                      {}};
  if (claim.address) packed.address.push_back(PackAddress(*claim.address));
  return packed;
}

member_state UnpackState(uint8_t state) {
  if (state > static_cast<uint8_t>(member_state::kDead)) {
    throw malformed_message("membership", "unknown state");
  }
  return static_cast<member_state>(state);
}

instance_id UnpackId(uint64_t value) {
  if (value == 0) throw malformed_message("membership", "unset identifier");
  return instance_id(value);
}

/// Lives are times in microseconds; a huge one could never be exceeded.
incarnation UnpackLife(uint64_t life) {
  constexpr uint64_t kMaxLife = uint64_t{1} << 62;
  if (life > kMaxLife) throw malformed_message("membership", "huge life");
  return life;
}

member_claim UnpackClaim(const claim_fields& packed) {
  member_claim claim{UnpackId(packed.id), UnpackLife(packed.life),
                     packed.refutation, UnpackState(packed.state),
                     std::nullopt};
  if (packed.address.size() > 1) {
    throw malformed_message("membership", "several addresses in a claim");
  }
  if (packed.address.empty()) return claim;
  const address_fields& address = packed.address.front();
  claim.address = {claim.id, address.name,
                   failure_domain_id(address.failure_domain),
                   endpoint::Unpack(address.peer_address),
                   endpoint::Unpack(address.hand_on_address)};
  return claim;
}

}  // namespace

int CompareClaims(const member_claim& a, const member_claim& b) {
  const auto order = std::tie(a.life, a.refutation, a.state) <=>
                     std::tie(b.life, b.refutation, b.state);
  if (order < 0) return -1;
  return order > 0 ? 1 : 0;
}

std::string EncodeMembershipMessage(const membership_message& message) {
  message_fields packed;
  packed.kind = static_cast<uint8_t>(message.kind);
  packed.sequence = message.sequence;
  packed.life = message.sender.life;
  packed.refutation = message.sender.refutation;
  packed.state = static_cast<uint8_t>(message.sender.state);
  packed.subject = message.subject.Value();
  packed.claims.reserve(message.claims.size());
  for (const member_claim& claim : message.claims) {
    packed.claims.push_back(PackClaim(claim));
  }
  packed.digest = message.digest;
  packed.buckets = message.buckets;
  for (const instance_id id : message.wanted) {
    packed.wanted.push_back(id.Value());
  }
  return EncodeMessage(packed);
}

membership_message DecodeMembershipMessage(instance_id from,
                                           std::string_view bytes) {
  const auto packed = DecodeMessage<message_fields>(bytes);
  if (packed.kind > static_cast<uint8_t>(membership_kind::kAddressRequest)) {
    throw malformed_message("membership", "unknown kind");
  }
  membership_message message;
  message.kind = static_cast<membership_kind>(packed.kind);
  message.sequence = packed.sequence;
  message.sender = {from, UnpackLife(packed.life), packed.refutation,
                    UnpackState(packed.state), std::nullopt};
  message.subject = instance_id(packed.subject);
  message.claims.reserve(packed.claims.size());
  for (const claim_fields& claim : packed.claims) {
    message.claims.push_back(UnpackClaim(claim));
  }
  message.digest = packed.digest;
  message.buckets = packed.buckets;
  for (const uint64_t id : packed.wanted) {
    message.wanted.push_back(UnpackId(id));
  }
  return message;
}

size_t ClaimBytes(const member_claim& claim) {
  // Identifier and life take 9 bytes each as a rule, the rest little.
  constexpr size_t kPlainBytes = 23;
  if (!claim.address) return kPlainBytes;
  constexpr size_t kAddressBytes = 28;
  return kPlainBytes + kAddressBytes + claim.address->name.size();
}

}  // namespace poplarstair
