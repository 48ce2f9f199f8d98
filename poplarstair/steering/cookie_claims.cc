#include "poplarstair/steering/cookie_claims.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>

#include "poplarstair/core/hash.h"

namespace poplarstair {

namespace {

/// Most names that are known from other instances alone.
constexpr size_t kMostTold = 4096;
/// Most claims that are told to others at once: some ten names share a cookie
/// among the most servers that are aimed for.
constexpr size_t kMostContested = 32;
/// Longest way of what one instance tells another.
constexpr duration kMostDelay = std::chrono::seconds(5);

}  // namespace

std::array<flow_cookie, cookie_claims::kCandidates> cookie_claims::CandidatesOf(
    std::string_view name) {
  // The seed makes cookies independent of other hashes of the same names.
  constexpr uint64_t kCookieSeed = 0x636f6f6b6965;
  const uint64_t hash = HashBytes(name);
  std::array<flow_cookie, kCandidates> candidates{};
  for (size_t i = 0; i < kCandidates; ++i) {
    // Names that share one cookie are as likely to share another as any two.
    candidates[i] =
        static_cast<flow_cookie>(HashCombine(hash, kCookieSeed + i));
    if (candidates[i] == 0) candidates[i] = 1;
  }
  return candidates;
}

void cookie_claims::OnListed(time_point now, const std::string& name,
                             store_position created, bool is_of_start) {
  started_at_ = std::min(started_at_, now);
  const bool is_known = by_name_.contains(name);
  const claim_index index = Add(now, name, created);
  claims_[index].is_listed = true;
  if (is_of_start && !is_known) SetCertain(index, false);
  UpdateGone(now, index);
}

void cookie_claims::SetCertain(claim_index index, bool is_certain) {
  if (claims_[index].is_certain == is_certain) return;
  claims_[index].is_certain = is_certain;
  ++version_;
  Decide(index);
}

void cookie_claims::OnGone(time_point now, const std::string& name) {
  const auto it = by_name_.find(name);
  if (it == by_name_.end()) return;
  claim& known = claims_[it->second];
  known.is_listed = false;
  known.last_listed = std::max(known.last_listed, now);
}

void cookie_claims::OnTold(time_point now, const cookie_claim& told) {
  if (told.gone_for >= kept_for_) return;
  const bool is_known = by_name_.contains(told.name);
  if (!is_known && ++told_ > kMostTold) return;
  const claim_index index = Add(now, told.name, told.created);
  claim& known = claims_[index];
  if (told.is_certain || !is_known) SetCertain(index, told.is_certain);
  // What goes to and fro between instances must not grow younger by its delay.
  const time_point last_listed = now - told.gone_for;
  if (last_listed <= known.last_listed + kMostDelay) return;
  known.last_listed = last_listed;
  UpdateGone(now, index);
}

cookie_claims::claim_index cookie_claims::Add(time_point now,
                                              const std::string& name,
                                              store_position created) {
  const auto next = static_cast<claim_index>(claims_.size());
  const auto [it, is_new] = by_name_.try_emplace(name, next);
  if (!is_new) {
    claim& known = claims_[it->second];
    if (created < known.created) {
      known.created = created;
      Decide(it->second);
    }
    return it->second;
  }
  claims_.push_back({name, created, CandidatesOf(name)});
  for (const flow_cookie cookie : claims_.back().candidates) {
    const auto [owner, is_first] = owners_.try_emplace(cookie, next);
    if (is_first || owner->second == next) continue;
    std::vector<claim_index>& claimants = contests_[cookie];
    if (claimants.empty()) claimants.push_back(owner->second);
    claimants.push_back(next);
  }
  ++version_;
  for (const flow_cookie cookie : claims_.back().candidates) {
    const auto contest = contests_.find(cookie);
    if (contest == contests_.end()) continue;
    for (const claim_index other : contest->second) {
      if (other != next) UpdateGone(now, other);
    }
  }
  Decide(next);
  return next;
}

bool cookie_claims::Precedes(claim_index a, claim_index b) const {
  const claim& first = claims_[a];
  const claim& other = claims_[b];
  return std::tie(first.is_lapsed, first.created, first.name) <
         std::tie(other.is_lapsed, other.created, other.name);
}

void cookie_claims::Decide(claim_index changed) {
  std::set<claim_index> concerned = {changed};
  for (const flow_cookie cookie : claims_[changed].candidates) {
    const auto contest = contests_.find(cookie);
    if (contest == contests_.end()) continue;
    DecideOwner(cookie, contest->second);
    concerned.insert(contest->second.begin(), contest->second.end());
  }
  for (const claim_index index : concerned) Choose(index);
}

void cookie_claims::DecideOwner(flow_cookie cookie,
                                const std::vector<claim_index>& claimants) {
  const claim_index first = *std::min_element(
      claimants.begin(), claimants.end(),
      [this](claim_index a, claim_index b) { return Precedes(a, b); });
  claim_index& owner = owners_.at(cookie);
  if (owner == first) return;
  owner = first;
  ++version_;
}

void cookie_claims::Choose(claim_index chooser) {
  claim& own = claims_[chooser];
  // Another choice than before would only cost agreement.
  const bool is_kept = own.chosen != 0 && owners_.at(own.chosen) == chooser &&
                       !IsUndecided(own.chosen);
  if (is_kept) return;
  const auto free = std::find_if(
      own.candidates.begin(), own.candidates.end(),
      [&](flow_cookie cookie) { return MayChoose(chooser, cookie); });
  const flow_cookie chosen = free == own.candidates.end() ? 0 : *free;
  if (chosen == own.chosen) return;
  own.chosen = chosen;
  ++version_;
}

bool cookie_claims::MayChoose(claim_index chooser, flow_cookie cookie) const {
  if (owners_.at(cookie) != chooser || IsUndecided(cookie)) return false;
  const auto contest = contests_.find(cookie);
  if (contest == contests_.end()) return true;
  return std::all_of(contest->second.begin(), contest->second.end(),
                     [&](claim_index other) {
                       const claim& claimant = claims_[other];
                       return !claimant.is_lapsed || claimant.is_forgotten;
                     });
}

void cookie_claims::UpdateGone(time_point now, claim_index index) {
  claim& known = claims_[index];
  const duration gone_for =
      known.is_listed ? duration::zero() : now - known.last_listed;
  const bool is_lapsed = gone_for >= kept_for_;
  const bool is_forgotten = gone_for >= 2 * kept_for_;
  if (known.is_lapsed == is_lapsed && known.is_forgotten == is_forgotten) {
    return;
  }
  known.is_lapsed = is_lapsed;
  known.is_forgotten = is_forgotten;
  Decide(index);
}

void cookie_claims::OnTick(time_point now) {
  std::set<claim_index> contesting;
  for (const auto& [cookie, claimants] : contests_) {
    contesting.insert(claimants.begin(), claimants.end());
  }
  for (const claim_index index : contesting) {
    UpdateGone(now, index);
    // Flows of before the start are too old by now.
    if (now - started_at_ >= kept_for_) SetCertain(index, true);
  }
}

flow_cookie cookie_claims::CookieOf(const std::string& name) const {
  const auto it = by_name_.find(name);
  return it == by_name_.end() ? 0 : claims_[it->second].chosen;
}

const std::string* cookie_claims::OwnerOf(flow_cookie cookie) const {
  const auto it = owners_.find(cookie);
  const bool is_known = it != owners_.end() && !IsUndecided(cookie);
  return is_known ? &claims_[it->second].name : nullptr;
}

bool cookie_claims::IsUndecided(flow_cookie cookie) const {
  const auto contest = contests_.find(cookie);
  if (contest == contests_.end()) return false;
  return std::count_if(contest->second.begin(), contest->second.end(),
                       [this](claim_index i) {
                         return !claims_[i].is_lapsed && !claims_[i].is_certain;
                       }) > 1;
}

std::vector<cookie_claim> cookie_claims::Contested(time_point now) const {
  std::set<claim_index> contesting;
  for (const auto& [cookie, claimants] : contests_) {
    std::vector<claim_index> current;
    std::copy_if(claimants.begin(), claimants.end(),
                 std::back_inserter(current),
                 [this](claim_index i) { return !claims_[i].is_lapsed; });
    if (current.size() > 1) contesting.insert(current.begin(), current.end());
  }
  std::vector<cookie_claim> contested;
  for (const claim_index i : contesting) {
    const claim& known = claims_[i];
    if (contested.size() == kMostContested) break;
    contested.push_back(
        {known.name, known.created,
         known.is_listed ? duration::zero() : now - known.last_listed,
         known.is_certain});
  }
  return contested;
}

}  // namespace poplarstair
