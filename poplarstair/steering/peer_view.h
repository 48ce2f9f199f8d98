// The other instances as one instance hears of them, and what follows from it:
// who asks the store, who hands on its answers, who warms up a cold server.
#ifndef POPLARSTAIR_STEERING_PEER_VIEW_H_
#define POPLARSTAIR_STEERING_PEER_VIEW_H_

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "poplarstair/core/log_record.h"
#include "poplarstair/core/random.h"
#include "poplarstair/steering/catalog_times.h"
#include "poplarstair/steering/peer_digest.h"

namespace poplarstair {

struct peer_view_settings {
  endpoint self;
  std::string failure_domain;
  /// Instances to ask first.
  std::vector<endpoint> seeds;
  /// An instance of the own domain that has not been heard of, nor named by
  /// others, for this long is taken as gone; sixteen rounds of digests.
  duration silence_limit = std::chrono::seconds(4);
  /// The same for other domains, which few digests reach.
  duration far_silence_limit = std::chrono::seconds(15);
  /// Age of the catalog at which an instance of rank 0 asks the store itself;
  /// later ranks wait `rank_delay` longer each, so that mostly one does. With
  /// the call it has to stay well under the seconds in which changes must be
  /// in force.
  duration take_over_age = std::chrono::milliseconds(900);
  duration rank_delay = std::chrono::milliseconds(300);
  /// Every instance beyond this rank waits as long as one that has it. While
  /// the store is away, or the whole domain is cut off from it, one instance
  /// more asks after each delay, instead of the whole domain at once.
  uint32_t highest_rank = 16;
  /// Time of one round of digests: what one instance knows takes as many as
  /// the logarithm of its domain's size to reach the others, and is that much
  /// older there.
  duration round_time = std::chrono::milliseconds(250);
  /// An instance whose domain has a better one asks no more after this long.
  duration hand_back_after = std::chrono::milliseconds(1500);
  /// Instances of the own domain that a digest goes to in each round.
  uint32_t fan_out = 3;
  /// Every how many rounds one goes to another domain.
  uint32_t rounds_between_domains = 2;
  /// Every how many rounds one goes to an instance that fell silent.
  uint32_t rounds_between_lost = 4;
  /// Without any digest from another domain for this long there is a cut; some
  /// two a second arrive.
  duration cut_after = std::chrono::milliseconds(1500);
  /// How long instances of other domains have for a digest that was asked of
  /// them: many round trips between domains, and a turn of a busy instance.
  duration reply_time = std::chrono::milliseconds(300);
  /// An instance of another domain that was heard of this lately can still be
  /// reached; servers fall silent later than that behind a cut.
  duration heard_lately = std::chrono::milliseconds(100);
  /// Instances of other domains that are asked at once whether they answer.
  uint32_t asked_at_once = 3;
  /// Instances that are told of a change at once, by each that learns of it.
  /// Everybody is told within a few steps, and nobody has to hand the change
  /// over to more instances than its link carries in a moment.
  uint32_t change_fan_out = 4;
  /// Instances of other domains that are enough to know.
  uint32_t enough_far = 8;
  /// An instance owns nothing for this long after a start or a pause, since it
  /// does not know all others yet.
  duration learning_time = std::chrono::milliseconds(1500);
  /// How long the next owner waits after an owner has said that it stops:
  /// longer than the time between two actions of an owner, so that the two
  /// together act no more often than one.
  duration hand_over_time = std::chrono::milliseconds(350);
  /// How long an instance of the own domain that fell silent without a word may
  /// still act as an owner behind a cut, and is sent digests now and then.
  duration lost_peer_time = std::chrono::hours(1);
};

/// What is known of the path to the other failure domains.
enum class far_path : uint8_t {
  /// There is no other domain, or none has been heard of yet.
  kNone,
  kOpen,
  /// An answer is awaited.
  kAsked,
  kCut,
};

template <>
struct enum_names<far_path> {
  static constexpr std::string_view kNames[] = {"none", "open", "asked", "cut"};
};

/// Deterministic: it reads no clock and does no I/O.
class peer_view {
 public:
  peer_view(const peer_view_settings& settings, random_source random,
            log_hook log)
      : settings_(settings), random_(random), log_(std::move(log)) {}

  void Start(time_point now);
  /// False if the digest is older than one that has arrived before. `times` is
  /// what it tells of the sender's catalog, on the own clock.
  bool OnDigest(time_point now, const peer_digest& digest,
                const catalog_times& times);
  /// Forgets what has been silent for too long.
  void OnTick(time_point now);
  void SetSeeds(std::vector<endpoint> seeds);

  /// Whom to send the digest of this round to.
  std::vector<endpoint> RoundTargets(time_point now);
  /// Instances that others have named and that have not been heard of yet.
  std::vector<endpoint> IntroductionTargets();
  /// Whom to tell of a change at once.
  std::vector<endpoint> ChangeTargets(bool with_other_domains);
  /// Instances of the own domain, up to a bound.
  std::vector<endpoint> AllNeighbours();
  /// A few instances to name in a digest, mostly of one domain.
  std::vector<named_peer> NamedPeers(time_point now, const std::string& domain);
  bool IsJoining(time_point now) const;

  /// The state of the collections that an instance holds.
  struct held_state {
    std::array<store_position, kCollections> positions{};
    std::array<content_digest, kCollections> contents{};
    /// Version of the routes in force: in the store's order within an epoch,
    /// and the operator's word where the store lacks it after a return.
    uint64_t routes_version = 0;
  };

  /// The latest times of catalogs of the same epoch that are not newer than
  /// `own`, as far as peers have told.
  catalog_times TimesOf(const held_state& own) const;
  /// An instance of the own domain that follows the store; nothing if none is
  /// known.
  std::optional<endpoint> Follower() const;
  struct newer_peer {
    endpoint address;
    bool is_own_domain = false;
    store_position position;
    /// It holds later routes than the store has.
    bool has_later_routes = false;
  };
  /// An instance that holds another, newer state of the collection, of the own
  /// domain if there is one. It was in touch with the store since
  /// `in_touch_since`.
  std::optional<newer_peer> NewerThan(collection what, const held_state& own,
                                      time_point in_touch_since) const;
  /// A fetch from the instance has failed: others are asked first.
  void OnFetchFailed(time_point now, const endpoint& peer);

  /// True if this instance should follow the store, given how old its catalog
  /// is and whether it follows now.
  bool ShouldFollow(time_point now, duration catalog_age, bool is_following);
  /// Upper bound on the instances of the domain that act for `key` now,
  /// including this one; 0 if this one must not act. Above 1 while instances
  /// may not hear each other.
  uint32_t PossibleOwners(time_point now, uint64_t key) const;
  /// This instance was paused: others may own what it owned.
  void OnPause(time_point now) { settled_from_ = now; }

  /// True if another instance of the own domain is known.
  bool HasNeighbours() const;
  /// Instances of the own domain, with this one.
  uint32_t InstancesOfDomain() const;
  /// Position of this instance among them, the same as seen by each of them.
  uint32_t IndexInDomain() const;
  /// Failure domains that have instances, as far as known; the own one counts.
  uint32_t Domains() const;
  /// False for `learning_time` after a start or a pause.
  bool IsSettled(time_point now) const {
    return now - settled_from_ >= settings_.learning_time;
  }
  /// True if `address` is a known instance of another domain.
  bool IsFar(const endpoint& address) const;
  /// Whom to ask for a digest to learn whether other domains can be reached;
  /// empty while an answer is awaited or has just come.
  std::vector<endpoint> AskOtherDomains(time_point now);
  far_path PathToOthers(time_point now) const;
  /// If the path is cut: since when no other domain has answered.
  time_point FarSilentSince() const {
    return std::max(far_heard_at_, far_asked_at_);
  }

  size_t Size() const { return members_.size(); }

 private:
  struct member {
    incarnation life = 0;
    std::string failure_domain;
    held_state state;
    bool is_following = false;
    time_point last_heard{};
    /// Of its catalog.
    catalog_times times;
    time_point avoid_until{};
  };

  /// Introduces this instance to the seeds.
  void AskSeeds(time_point now);
  void OnNamed(time_point now, const named_peer& named);
  size_t FarMembers() const;
  /// How long news needs to reach every instance of the own domain.
  duration SpreadTime() const;
  /// True if `theirs` has later routes, but no later position of them.
  static bool HasLaterRoutes(const held_state& theirs, const held_state& own);
  /// True if collection `i` of `theirs` is another, newer state than `own`.
  static bool IsNewer(const held_state& theirs, const held_state& own,
                      size_t i);
  uint64_t HashOf(const endpoint& e) const;
  /// Position of an instance among those chosen for `key`; the least is chosen.
  uint64_t PositionOf(const endpoint& e, uint64_t key) const {
    return HashCombine(HashOf(e), key);
  }
  /// Members of the own domain that come before this one for `key`.
  uint32_t Rank(uint64_t key) const;
  std::vector<endpoint> Draw(bool own_domain, size_t count);
  /// Leaves `count` of the elements, drawn at random.
  void DrawFirst(std::vector<endpoint>& from, size_t count);
  std::vector<endpoint> DrawOf(
      const std::function<bool(const member&)>& is_wanted, size_t count);

  peer_view_settings settings_;
  random_source random_;
  log_hook log_;
  std::map<endpoint, member> members_;
  /// Named by others, not heard of yet.
  std::map<endpoint, time_point> rumours_;
  /// Lives that have said that they stop.
  std::map<endpoint, incarnation> stopped_;
  /// When instances of the own domain said that they stop; kept for
  /// `hand_over_time`.
  std::map<endpoint, time_point> leaving_;
  /// When members of the own domain were found silent; kept for
  /// `lost_peer_time`.
  std::map<endpoint, time_point> lost_;
  time_point started_at_{};
  /// The start, or the end of the last pause.
  time_point settled_from_{};
  /// When an instance of the own domain was last heard of for the first time.
  time_point met_at_{};
  time_point better_since_ = kNever;
  time_point far_heard_at_{};
  /// The first time that was not answered since.
  time_point far_asked_at_{};
  time_point next_far_ask_{};
  uint32_t round_ = 0;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_STEERING_PEER_VIEW_H_
