#include "poplarstair/steering/peer_digest.h"

#include <algorithm>
#include <cmath>

#include "poplarstair/core/codec.h"

namespace poplarstair {

namespace {

/// Raised with every change of the fields.
constexpr uint8_t kDigestVersion = 1;
/// Loads travel as hundredths.
constexpr double kLoadScale = 100;
constexpr int64_t kMaxAgeMs = 3'600'000;

struct report_fields {
  uint32_t cookie = 0;
  uint32_t load = 0;
  uint32_t witnesses = 0;
  /// Work time and number of its samples; 0 from instances that do not send
  /// them.
  uint32_t work_us = 0;
  uint32_t samples = 0;
  /// The server; 0 from instances that name it by its cookie alone.
  uint64_t id = 0;
  MSGPACK_DEFINE(cookie, load, witnesses, work_us, samples, id)
};

struct named_fields {
  std::string address;
  uint64_t life = 0;
  uint32_t age_ms = 0;
  uint64_t domain = 0;
  MSGPACK_DEFINE(address, life, age_ms, domain)
};

struct service_fields {
  uint32_t service = 0;
  uint32_t per_slot = 0;
  MSGPACK_DEFINE(service, per_slot)
};

struct claim_fields {
  std::string name;
  uint64_t epoch = 0;
  uint64_t revision = 0;
  uint32_t gone_ms = 0;
  bool is_certain = false;
  MSGPACK_DEFINE(name, epoch, revision, gone_ms, is_certain)
};

struct digest_fields {
  uint8_t version = kDigestVersion;
  std::string sender;
  uint64_t life = 0;
  std::string failure_domain;
  bool is_stopping = false;
  bool wants_reply = false;
  bool is_following = false;
  std::array<uint64_t, kCollections> revisions{};
  std::array<uint64_t, kCollections> contents{};
  int64_t age_ms = 0;
  std::vector<report_fields> reports;
  std::vector<named_fields> peers;
  /// Empty from instances that do not send it.
  std::vector<service_fields> services;
  /// 0 from instances that do not send them.
  std::array<uint64_t, kCollections> epochs{};
  uint64_t routes_version = 0;
  std::vector<claim_fields> claims;
  /// Empty from instances that do not send it, else what is left and an age.
  std::vector<int64_t> times_ms;
  bool wants_confirmation = false;
  MSGPACK_DEFINE(version, sender, life, failure_domain, is_stopping,
                 wants_reply, is_following, revisions, contents, age_ms,
                 reports, peers, services, epochs, routes_version, claims,
                 times_ms, wants_confirmation)
};

int64_t AgeMs(duration age) {
  return std::clamp<int64_t>(age.count() / 1000, 0, kMaxAgeMs);
}

/// Rounded so that no catalog is told to be of later than it is.
std::vector<int64_t> TimesMs(const peer_digest& digest) {
  if (!digest.covers_for || !digest.servers_known_age) return {};
  const auto left =
      std::chrono::floor<std::chrono::milliseconds>(*digest.covers_for);
  const auto age =
      std::chrono::ceil<std::chrono::milliseconds>(*digest.servers_known_age);
  return {std::clamp<int64_t>(left.count(), -kMaxAgeMs, kMaxAgeMs),
          std::clamp<int64_t>(age.count(), 0, kMaxAgeMs)};
}

void ReadTimes(const std::vector<int64_t>& ms, peer_digest& digest) {
  constexpr size_t kTimes = 2;
  if (ms.size() < kTimes) return;
  const auto time = [&ms](size_t i) {
    return std::chrono::milliseconds(std::clamp(ms[i], -kMaxAgeMs, kMaxAgeMs));
  };
  digest.covers_for = time(0);
  digest.servers_known_age = time(1);
}

}  // namespace

std::string EncodeDigest(const peer_digest& digest) {
  digest_fields fields;
  fields.sender = digest.sender.Pack();
  fields.life = digest.life;
  fields.failure_domain = digest.failure_domain;
  fields.is_stopping = digest.is_stopping;
  fields.wants_reply = digest.wants_reply;
  fields.is_following = digest.is_following;
  for (size_t i = 0; i < kCollections; ++i) {
    fields.epochs[i] = digest.positions[i].epoch;
    fields.revisions[i] = digest.positions[i].revision;
  }
  fields.contents = digest.contents;
  fields.routes_version = digest.routes_version;
  fields.age_ms = AgeMs(digest.age);
  fields.times_ms = TimesMs(digest);
  fields.wants_confirmation = digest.wants_confirmation;
  for (const server_report& r : digest.reports) {
    const double scaled = std::clamp(r.load * kLoadScale, 0.0, 1e9);
    const double work = std::clamp(r.work.mean, 0.0, 1e9);
    const double samples = std::clamp(r.work.count, 0.0, 1e3);
    fields.reports.push_back(
        {r.cookie, static_cast<uint32_t>(std::lround(scaled)), r.witnesses,
         static_cast<uint32_t>(std::lround(work)),
         static_cast<uint32_t>(std::lround(samples)), r.server.Value()});
  }
  for (const named_peer& peer : digest.peers) {
    fields.peers.push_back({peer.address.Pack(), peer.life,
                            static_cast<uint32_t>(AgeMs(peer.age)),
                            peer.domain.Value()});
  }
  for (const service_load& s : digest.services) {
    const double scaled = std::clamp(s.per_slot * kLoadScale, 0.0, 1e9);
    fields.services.push_back(
        {s.service, static_cast<uint32_t>(std::lround(scaled))});
  }
  for (const cookie_claim& claim : digest.claims) {
    fields.claims.push_back(
        {claim.name, claim.created.epoch, claim.created.revision,
         static_cast<uint32_t>(AgeMs(claim.gone_for)), claim.is_certain});
  }
  return EncodeMessage(fields);
}

peer_digest DecodeDigest(std::string_view bytes) {
  const auto fields = DecodeMessage<digest_fields>(bytes);
  if (fields.version != kDigestVersion) {
    throw malformed_message("digest", "another version");
  }
  if (fields.age_ms < 0 || fields.age_ms > kMaxAgeMs) {
    throw malformed_message("digest", "age out of range");
  }
  peer_digest digest;
  digest.sender = endpoint::Unpack(fields.sender);
  digest.life = fields.life;
  digest.failure_domain = fields.failure_domain;
  digest.is_stopping = fields.is_stopping;
  digest.wants_reply = fields.wants_reply;
  digest.is_following = fields.is_following;
  for (size_t i = 0; i < kCollections; ++i) {
    digest.positions[i] = {fields.epochs[i], fields.revisions[i]};
  }
  digest.contents = fields.contents;
  digest.routes_version = fields.routes_version;
  digest.age = std::chrono::milliseconds(fields.age_ms);
  ReadTimes(fields.times_ms, digest);
  digest.wants_confirmation = fields.wants_confirmation;
  for (const report_fields& r : fields.reports) {
    const work_time_samples work{static_cast<double>(r.work_us),
                                 static_cast<double>(r.samples)};
    digest.reports.push_back({backend_server_id(r.id), r.load / kLoadScale,
                              r.witnesses, work, r.cookie});
  }
  for (const service_fields& s : fields.services) {
    digest.services.push_back({s.service, s.per_slot / kLoadScale});
  }
  for (const named_fields& peer : fields.peers) {
    digest.peers.push_back({endpoint::Unpack(peer.address), peer.life,
                            std::chrono::milliseconds(peer.age_ms),
                            failure_domain_id(peer.domain)});
  }
  for (const claim_fields& claim : fields.claims) {
    digest.claims.push_back({claim.name,
                             {claim.epoch, claim.revision},
                             std::chrono::milliseconds(claim.gone_ms),
                             claim.is_certain});
  }
  return digest;
}

}  // namespace poplarstair
