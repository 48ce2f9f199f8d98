// Which backend server's name a flow cookie stands for, at every instance.
#ifndef POPLARSTAIR_STEERING_COOKIE_CLAIMS_H_
#define POPLARSTAIR_STEERING_COOKIE_CLAIMS_H_

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "poplarstair/core/time.h"
#include "poplarstair/steering/cookie_claim.h"
#include "poplarstair/steering/segment.h"

namespace poplarstair {

/// Each name has a few cookies, which are hashes of it. One that several names
/// have belongs to the name whose entry the store created first, as long as
/// flows to its server may be open.
class cookie_claims {
 public:
  /// A name without an entry keeps its cookies for `kept_for`; for as long
  /// again no other name takes them for new flows.
  explicit cookie_claims(duration kept_for) : kept_for_(kept_for) {}

  /// The name has an entry. `is_of_start` if it had one in the first catalog
  /// that this instance got.
  void OnListed(time_point now, const std::string& name, store_position created,
                bool is_of_start = false);
  /// The name has no entry any more.
  void OnGone(time_point now, const std::string& name);
  /// What another instance knows.
  void OnTold(time_point now, const cookie_claim& told);
  /// Frees the cookies of names that have been gone for long enough. To be
  /// called about once a second.
  void OnTick(time_point now);

  /// The cookie for packets to the name's server; 0 if all that the name has
  /// belong to others.
  flow_cookie CookieOf(const std::string& name) const;
  /// The name to which the cookie belongs; null if there is none, or if it is
  /// not known which of several.
  const std::string* OwnerOf(flow_cookie cookie) const;
  /// True while it is not known which of several names has the cookie: none of
  /// them has been heard of before the others.
  bool IsUndecided(flow_cookie cookie) const;
  /// The claims to cookies that several names have, for other instances, which
  /// may not know each of these names.
  std::vector<cookie_claim> Contested(time_point now) const;
  /// Changes whenever the answers of CookieOf or OwnerOf may have.
  uint64_t Version() const { return version_; }

  static constexpr size_t kCandidates = 4;
  /// The cookies of a name, in the order of preference; every instance computes
  /// the same values. None is 0.
  static std::array<flow_cookie, kCandidates> CandidatesOf(
      std::string_view name);

 private:
  using claim_index = uint32_t;

  struct claim {
    std::string name;
    store_position created;
    std::array<flow_cookie, kCandidates> candidates{};
    /// The cookie for new flows; 0 if there is none.
    flow_cookie chosen = 0;
    /// Whether the own catalog has an entry of the name.
    bool is_listed = false;
    /// When the name last had one, here or at another instance.
    time_point last_listed{};
    /// As cookie_claim::is_certain.
    bool is_certain = true;
    /// Gone for `kept_for_`: its cookies name other servers.
    bool is_lapsed = false;
    /// Gone for twice as long, so that it has lapsed at all instances: its
    /// cookies are given to new flows of other servers.
    bool is_forgotten = false;
  };

  claim_index Add(time_point now, const std::string& name,
                  store_position created);
  bool Precedes(claim_index a, claim_index b) const;
  /// Decides anew on all cookies of the name.
  void Decide(claim_index changed);
  void DecideOwner(flow_cookie cookie,
                   const std::vector<claim_index>& claimants);
  void Choose(claim_index chooser);
  void SetCertain(claim_index index, bool is_certain);
  bool MayChoose(claim_index chooser, flow_cookie cookie) const;
  void UpdateGone(time_point now, claim_index index);

  const duration kept_for_;
  /// Names that were told by others when they became known.
  size_t told_ = 0;
  std::vector<claim> claims_;
  absl::flat_hash_map<std::string, claim_index> by_name_;
  absl::flat_hash_map<flow_cookie, claim_index> owners_;
  /// Cookies that several names have, with all of these.
  absl::flat_hash_map<flow_cookie, std::vector<claim_index>> contests_;
  uint64_t version_ = 0;
  /// When the first catalog came.
  time_point started_at_ = kNever;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_STEERING_COOKIE_CLAIMS_H_
