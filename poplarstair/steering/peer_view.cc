#include "poplarstair/steering/peer_view.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <string_view>

namespace poplarstair {

namespace {

/// How long a named instance is written to without an answer.
constexpr duration kRumourTime = std::chrono::seconds(2);
/// A failed hand-over sends the next request elsewhere for this long.
constexpr duration kAvoidTime = std::chrono::milliseconds(600);
/// Most instances that are told of a stop; the others learn it from the rounds.
constexpr size_t kMostNeighbours = 32;
/// Key of the choice of who asks the store.
constexpr uint64_t kFollowerKey = 0x666f6c6c6f77;

}  // namespace

void peer_view::Start(time_point now) {
  started_at_ = now;
  settled_from_ = now;
  AskSeeds(now);
}

void peer_view::AskSeeds(time_point now) {
  for (const endpoint& seed : settings_.seeds) {
    if (seed != settings_.self) rumours_[seed] = now;
  }
}

void peer_view::SetSeeds(std::vector<endpoint> seeds) {
  settings_.seeds = std::move(seeds);
}

uint64_t peer_view::HashOf(const endpoint& e) const {
  return HashBytes(e.Pack());
}

bool peer_view::OnDigest(time_point now, const peer_digest& digest,
                         const catalog_times& times) {
  if (digest.sender == settings_.self) return false;
  const auto stopped = stopped_.find(digest.sender);
  if (stopped != stopped_.end() && digest.life <= stopped->second) return false;
  rumours_.erase(digest.sender);
  lost_.erase(digest.sender);
  if (digest.is_stopping) {
    stopped_[digest.sender] = digest.life;
    if (digest.failure_domain == settings_.failure_domain) {
      leaving_[digest.sender] = now;
    }
    if (members_.erase(digest.sender) > 0) {
      log_(
          log_record("instance_leaves").With("peer", digest.sender.ToString()));
    }
    return true;
  }
  const auto [it, is_new] = members_.try_emplace(digest.sender);
  member& known = it->second;
  if (digest.life < known.life) return false;
  if (is_new || digest.life != known.life) {
    log_(log_record("instance_alive")
             .With("peer", digest.sender.ToString())
             .With("domain", digest.failure_domain)
             .With("life", digest.life));
    known = {};
  }
  known.life = digest.life;
  known.failure_domain = digest.failure_domain;
  known.state = {digest.positions, digest.contents, digest.routes_version};
  known.is_following = digest.is_following;
  known.last_heard = now;
  if (known.failure_domain != settings_.failure_domain) {
    far_heard_at_ = now;
  } else if (is_new) {
    met_at_ = now;
  }
  known.times = times;
  for (const named_peer& named : digest.peers) {
    OnNamed(now, named);
  }
  return true;
}

void peer_view::OnNamed(time_point now, const named_peer& named) {
  if (named.address == settings_.self) return;
  const auto it = members_.find(named.address);
  if (it != members_.end()) {
    if (named.life != it->second.life) return;
    it->second.last_heard = std::max(it->second.last_heard, now - named.age);
    return;
  }
  const auto stopped = stopped_.find(named.address);
  if (stopped != stopped_.end() && named.life <= stopped->second) return;
  // What was heard of long ago is likely gone. Of other domains a few
  // instances are enough.
  const bool is_own =
      named.domain == IdFromName<failure_domain_id>(settings_.failure_domain);
  if (named.age >= kRumourTime) return;
  if (!is_own && FarMembers() >= settings_.enough_far) return;
  rumours_.try_emplace(named.address, now);
}

void peer_view::OnTick(time_point now) {
  for (auto it = members_.begin(); it != members_.end();) {
    const duration silent = now - it->second.last_heard;
    const bool is_own = it->second.failure_domain == settings_.failure_domain;
    if (silent <=
        (is_own ? settings_.silence_limit : settings_.far_silence_limit)) {
      ++it;
      continue;
    }
    // Few digests come from other domains: their silence says little.
    const log_level level = is_own ? log_level::kWarning : log_level::kDebug;
    log_(log_record("instance_silent", level)
             .With("peer", it->first.ToString())
             .With("domain", it->second.failure_domain)
             .With("members", members_.size() - 1));
    if (is_own) lost_[it->first] = now;
    it = members_.erase(it);
  }
  std::erase_if(lost_, [&](const auto& lost) {
    return now - lost.second > settings_.lost_peer_time;
  });
  std::erase_if(leaving_, [&](const auto& leaving) {
    return now - leaving.second > settings_.hand_over_time;
  });
  std::erase_if(rumours_, [now](const auto& rumour) {
    return now - rumour.second > kRumourTime;
  });
  if (rumours_.empty() && members_.empty()) AskSeeds(now);
}

std::vector<endpoint> peer_view::Draw(bool own_domain, size_t count) {
  return DrawOf(
      [&](const member& m) {
        return (m.failure_domain == settings_.failure_domain) == own_domain;
      },
      count);
}

std::vector<endpoint> peer_view::DrawOf(
    const std::function<bool(const member&)>& is_wanted, size_t count) {
  std::vector<endpoint> candidates;
  for (const auto& [address, known] : members_) {
    if (is_wanted(known)) candidates.push_back(address);
  }
  DrawFirst(candidates, std::min(count, candidates.size()));
  return candidates;
}

void peer_view::DrawFirst(std::vector<endpoint>& from, size_t count) {
  for (size_t i = 0; i < count; ++i) {
    std::swap(from[i], from[i + RandomBelow(random_, from.size() - i)]);
  }
  from.resize(count);
}

std::vector<endpoint> peer_view::RoundTargets(time_point now) {
  std::vector<endpoint> targets = Draw(true, settings_.fan_out);
  ++round_;
  if (round_ % settings_.rounds_between_domains == 0 || IsJoining(now)) {
    const std::vector<endpoint> far = Draw(false, 1);
    targets.insert(targets.end(), far.begin(), far.end());
  }
  // The two sides of a cut have to find each other again, and every seed may be
  // gone by then.
  if (round_ % settings_.rounds_between_lost == 0 && !lost_.empty()) {
    const auto drawn =
        static_cast<ptrdiff_t>(RandomBelow(random_, lost_.size()));
    targets.push_back(std::next(lost_.begin(), drawn)->first);
  }
  return targets;
}

std::vector<endpoint> peer_view::IntroductionTargets() {
  std::vector<endpoint> targets;
  for (const auto& [address, since] : rumours_) targets.push_back(address);
  const size_t wanted = std::min<size_t>(targets.size(), settings_.fan_out);
  DrawFirst(targets, wanted);
  return targets;
}

std::vector<endpoint> peer_view::AllNeighbours() {
  return Draw(true, kMostNeighbours);
}

std::vector<endpoint> peer_view::ChangeTargets(bool with_other_domains) {
  std::vector<endpoint> targets = Draw(true, settings_.change_fan_out);
  if (!with_other_domains) return targets;
  const std::vector<endpoint> far = Draw(false, 1);
  targets.insert(targets.end(), far.begin(), far.end());
  return targets;
}

std::vector<named_peer> peer_view::NamedPeers(time_point now,
                                              const std::string& domain) {
  std::vector<endpoint> drawn =
      DrawOf([&](const member& m) { return m.failure_domain == domain; },
             kMaxNamedPeers * 2 / 3);
  const std::vector<endpoint> others =
      DrawOf([&](const member& m) { return m.failure_domain != domain; },
             kMaxNamedPeers - drawn.size());
  drawn.insert(drawn.end(), others.begin(), others.end());
  std::vector<named_peer> named;
  for (const endpoint& address : drawn) {
    const member& known = members_.at(address);
    named.push_back({address, known.life, now - known.last_heard,
                     IdFromName<failure_domain_id>(known.failure_domain)});
  }
  return named;
}

size_t peer_view::FarMembers() const {
  return static_cast<size_t>(std::count_if(
      members_.begin(), members_.end(), [this](const auto& entry) {
        return entry.second.failure_domain != settings_.failure_domain;
      }));
}

bool peer_view::HasNeighbours() const { return FarMembers() < members_.size(); }

uint32_t peer_view::InstancesOfDomain() const {
  return static_cast<uint32_t>(members_.size() - FarMembers() + 1);
}

uint32_t peer_view::IndexInDomain() const {
  return static_cast<uint32_t>(std::count_if(
      members_.begin(), members_.end(), [this](const auto& entry) {
        return entry.second.failure_domain == settings_.failure_domain &&
               entry.first < settings_.self;
      }));
}

uint32_t peer_view::Domains() const {
  std::set<std::string_view> domains = {settings_.failure_domain};
  for (const auto& [address, known] : members_) {
    domains.insert(known.failure_domain);
  }
  return static_cast<uint32_t>(domains.size());
}

bool peer_view::IsFar(const endpoint& address) const {
  const auto it = members_.find(address);
  return it != members_.end() &&
         it->second.failure_domain != settings_.failure_domain;
}

bool peer_view::IsJoining(time_point now) const {
  return now - started_at_ < settings_.learning_time;
}

bool peer_view::IsNewer(const held_state& theirs, const held_state& own,
                        size_t i) {
  const bool is_known = own.positions[i].revision != 0;
  return theirs.positions[i] > own.positions[i] &&
         (theirs.contents[i] != own.contents[i] || !is_known);
}

bool peer_view::HasLaterRoutes(const held_state& theirs,
                               const held_state& own) {
  constexpr auto kRoutes = static_cast<size_t>(collection::kRoutes);
  return theirs.routes_version > own.routes_version &&
         theirs.positions[kRoutes] <= own.positions[kRoutes];
}

catalog_times peer_view::TimesOf(const held_state& own) const {
  catalog_times latest;
  for (const auto& [address, known] : members_) {
    const auto is_covered = [&own, &theirs = known.state](size_t i) {
      // What an earlier epoch confirmed says nothing of this one.
      return theirs.positions[i].epoch == own.positions[i].epoch &&
             !IsNewer(theirs, own, i);
    };
    constexpr auto kServers = static_cast<size_t>(collection::kServers);
    if (is_covered(kServers)) {
      latest.servers_known_at =
          std::max(latest.servers_known_at, known.times.servers_known_at);
    }
    bool is_all_covered = !HasLaterRoutes(known.state, own);
    for (size_t i = 0; i < kCollections; ++i) {
      is_all_covered = is_all_covered && is_covered(i);
    }
    if (!is_all_covered) continue;
    latest.Advance(known.times);
  }
  return latest;
}

std::optional<endpoint> peer_view::Follower() const {
  std::optional<endpoint> first;
  for (const auto& [address, known] : members_) {
    const bool is_eligible =
        known.is_following && known.failure_domain == settings_.failure_domain;
    if (!is_eligible) continue;
    const bool is_first = !first || PositionOf(address, kFollowerKey) <
                                        PositionOf(*first, kFollowerKey);
    if (is_first) first = address;
  }
  return first;
}

std::optional<peer_view::newer_peer> peer_view::NewerThan(
    collection what, const held_state& own, time_point in_touch_since) const {
  const auto index = static_cast<size_t>(what);
  std::optional<newer_peer> best;
  std::pair<bool, time_point> best_merit{};
  for (const auto& [address, known] : members_) {
    const bool has_later_routes =
        what == collection::kRoutes && HasLaterRoutes(known.state, own);
    if (!has_later_routes && !IsNewer(known.state, own, index)) continue;
    if (known.times.in_touch_at < in_touch_since) continue;
    if (known.avoid_until > known.last_heard) continue;
    const std::pair merit(known.failure_domain == settings_.failure_domain,
                          known.last_heard);
    if (best && merit <= best_merit) continue;
    best = newer_peer{address, merit.first, known.state.positions[index],
                      has_later_routes};
    best_merit = merit;
  }
  return best;
}

void peer_view::OnFetchFailed(time_point now, const endpoint& peer) {
  const auto it = members_.find(peer);
  if (it != members_.end()) it->second.avoid_until = now + kAvoidTime;
}

uint32_t peer_view::Rank(uint64_t key) const {
  const uint64_t own = PositionOf(settings_.self, key);
  uint32_t rank = 0;
  for (const auto& [address, known] : members_) {
    if (known.failure_domain != settings_.failure_domain) continue;
    if (PositionOf(address, key) < own) ++rank;
  }
  return rank;
}

duration peer_view::SpreadTime() const {
  const double neighbours =
      static_cast<double>(members_.size() - FarMembers()) + 1;
  const double rounds =
      std::log(neighbours) / std::log(settings_.fan_out + 1.0);
  return duration(static_cast<int64_t>(rounds * settings_.round_time.count()));
}

bool peer_view::ShouldFollow(time_point now, duration catalog_age,
                             bool is_following) {
  const uint32_t rank = std::min(Rank(kFollowerKey), settings_.highest_rank);
  if (rank == 0 && !IsJoining(now)) {
    better_since_ = kNever;
    return true;
  }
  if (!is_following) {
    better_since_ = kNever;
    return catalog_age >
           settings_.take_over_age + SpreadTime() + rank * settings_.rank_delay;
  }
  // Follows in another's place: until that one's answers arrive steadily.
  const uint64_t own = PositionOf(settings_.self, kFollowerKey);
  const bool better =
      std::any_of(members_.begin(), members_.end(), [&](const auto& entry) {
        const auto& [address, known] = entry;
        return known.is_following &&
               known.failure_domain == settings_.failure_domain &&
               PositionOf(address, kFollowerKey) < own &&
               now - known.times.in_touch_at <
                   settings_.take_over_age + SpreadTime();
      });
  if (!better) {
    better_since_ = kNever;
    return true;
  }
  if (better_since_ == kNever) better_since_ = now;
  return now - better_since_ < settings_.hand_back_after;
}

std::vector<endpoint> peer_view::AskOtherDomains(time_point now) {
  if (now - far_heard_at_ < settings_.heard_lately) return {};
  if (now < next_far_ask_) return {};
  next_far_ask_ = now + settings_.reply_time;
  // Asked before and not answered: the outcome stands until one is heard of.
  if (far_asked_at_ <= far_heard_at_) far_asked_at_ = now;
  return Draw(false, settings_.asked_at_once);
}

far_path peer_view::PathToOthers(time_point now) const {
  if (far_heard_at_ == time_point{}) return far_path::kNone;
  if (now - far_heard_at_ > settings_.cut_after) return far_path::kCut;
  if (far_asked_at_ <= far_heard_at_) return far_path::kOpen;
  return now - far_asked_at_ > settings_.reply_time ? far_path::kCut
                                                    : far_path::kAsked;
}

uint32_t peer_view::PossibleOwners(time_point now, uint64_t key) const {
  const duration settled = now - settled_from_;
  if (settled < settings_.learning_time || Rank(key) > 0) return 0;
  // What an owner that stops did last still counts against the same second.
  const uint64_t own = PositionOf(settings_.self, key);
  const bool is_handed_over =
      std::any_of(leaving_.begin(), leaving_.end(), [&](const auto& leaving) {
        return now - leaving.second < settings_.hand_over_time &&
               PositionOf(leaving.first, key) < own;
      });
  if (is_handed_over) return 0;
  // Each silent instance may have lost its links to this one alone. Others may
  // have been silent from the start, and take themselves for the only owner
  // until they notice that they hear nobody.
  const auto owners = static_cast<uint32_t>(1 + lost_.size());
  const bool is_known =
      settled >= settings_.silence_limit + settings_.learning_time &&
      now - met_at_ >= settings_.learning_time && HasNeighbours();
  return is_known ? owners : std::max(owners, 2U);
}

}  // namespace poplarstair
