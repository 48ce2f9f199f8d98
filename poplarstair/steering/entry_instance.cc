#include "poplarstair/steering/entry_instance.h"

#include <algorithm>
#include <array>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "poplarstair/core/error.h"
#include "poplarstair/steering/entry_state.h"

namespace poplarstair {

namespace {

constexpr std::array<collection, kCollections> kAllCollections = {
    collection::kRoutes, collection::kServers, collection::kWithdrawals};

}  // namespace

class entry_instance::impl {
 public:
  impl(const entry_settings& settings, incarnation life, random_source random,
       metric_registry& metrics, hooks actions)
      : settings_(settings),
        life_(life),
        actions_(std::move(actions)),
        replica_(actions_.log, ReplicaSettings(settings)),
        peers_(settings.peers, random_source(random()), actions_.log),
        start_(settings.start),
        steering_(settings.steering, random_source(random()), metrics,
                  SteeringHooks()),
        store_calls_(metrics.Counter("store_calls", "Calls to the store")),
        fetches_(metrics.Counter("catalog_fetches",
                                 "Collections asked of other instances")),
        digest_bytes_(metrics.Counter("digest_bytes",
                                      "Bytes of digests to other instances")),
        unread_parts_(metrics.Gauge("routes_parts_unread",
                                    "Parts of the configuration in force that "
                                    "this version can't read")) {
    for (const collection what : kAllCollections) {
      followers_[Index(what)] = std::make_unique<store_follower>(
          what, FollowerSettings(what), random_source(random()),
          FollowerHooks(what));
    }
  }

  void Start(time_point now) {
    started_at_ = now;
    last_tick_ = now;
    peers_.Start(now);
    start_.Begin(now);
    SendRound(now);
  }

  steer_decision OnSegment(time_point now, const segment& packet,
                           std::span<const uint8_t> bytes) {
    now_ = now;
    return steering_.OnSegment(now, packet, bytes);
  }

  void OnTimer(time_point now) {
    now_ = now;
    steering_.OnHandshakeTimer(now);
    ContinueStart(now);
  }

  time_point NextTimer() const {
    return std::min(steering_.NextHandshakeCheck(), start_.NextChange());
  }

  void OnStoreReply(time_point now, store_reply reply) {
    now_ = now;
    for (const auto& follower : followers_) {
      if (follower->Awaits(reply.id)) {
        follower->OnReply(now, std::move(reply));
        break;
      }
    }
    UpdateConfirmed(now);
  }

  void OnDigest(time_point now, std::string_view bytes) {
    now_ = now;
    const peer_digest digest = DecodeDigest(bytes);
    if (!peers_.OnDigest(now, digest, TimesOf(digest))) return;
    steering_.OnCookieClaims(now, digest.claims);
    if (digest.failure_domain == settings_.peers.failure_domain) {
      steering_.OnPeerReports(now, HashBytes(digest.sender.Pack()),
                              digest.reports);
    } else {
      steering_.OnFarLoads(now, digest.failure_domain, digest.services);
    }
    if (digest.wants_reply && !is_stopping_) {
      Send(now, {digest.sender}, digest.failure_domain);
    }
    if (digest.wants_confirmation && followers_[0]->IsFollowing()) {
      asked_by_.try_emplace(digest.sender, now);
      AskStore(now);
    }
    RaisePositions(now, digest);
    for (const store_position& position : digest.positions) {
      NoteEpoch(now, position.epoch, "instance");
    }
    if (start_.IsAwaiting()) OnStartAnswer(now, digest);
    FetchNewer(now);
    UpdateConfirmed(now);
  }

  void OnFetched(time_point now, const endpoint& peer, collection what,
                 std::string_view exported) {
    now_ = now;
    fetching_[Index(what)] = false;
    if (exported.empty()) return OnFetchFailed(now, peer);
    try {
      if (replica_.Import(now, what, exported)) {
        OnCatalogChange(now, false);
        ReadAnewIfNeeded(what);
      }
    } catch (const malformed_message& failure) {
      actions_.log(log_record("catalog_malformed", log_level::kWarning)
                       .With("peer", peer.ToString())
                       .With("collection", NameOf(what))
                       .With("error", failure.what()));
      OnFetchFailed(now, peer);
    }
    UpdateConfirmed(now);
  }

  void OnServerChecked(time_point now, server_row server, bool is_reachable) {
    steering_.OnServerChecked(now, server, is_reachable);
  }

  void OnPause(time_point now, duration length) {
    actions_.log(log_record("pause_noticed", log_level::kWarning)
                     .With("ms", length.count() / 1000));
    steering_.OnPause(now);
    peers_.OnPause(now);
    times_ = {};
    for (const auto& follower : followers_) follower->Restart(now);
  }

  void OnTick(time_point now) {
    now_ = now;
    NoteLateness(now);
    peers_.OnTick(now);
    steering_.SetHasNeighbours(peers_.HasNeighbours());
    for (const auto& follower : followers_) follower->OnTick(now);
    const bool was_needed = replica_.NeedsOwnReading(collection::kServers);
    if (replica_.OnTick(now)) OnCatalogChange(now, false);
    if (!was_needed) ReadAnewIfNeeded(collection::kServers);
    UpdateConfirmed(now);
    ContinueStart(now);
    UpdateFollowing(now);
    FetchNewer(now);
    steering_.OnTick(now);
    SeekConfirmation(now);
    NoteCut(now);
    if (now >= next_round_ && !is_stopping_) SendRound(now);
  }

  void OnStop(time_point now) {
    is_stopping_ = true;
    start_.End();
    Send(now, peers_.AllNeighbours(), settings_.peers.failure_domain);
    for (const auto& follower : followers_) follower->Stop();
  }

  void SetSeeds(std::vector<endpoint> seeds) {
    peers_.SetSeeds(std::move(seeds));
  }

  bool IsReady(time_point now) const {
    if (!replica_.IsComplete() || is_stopping_) return false;
    if (steering_.IsCutOff(now)) return false;
    // Behind a cut with nothing to serve from, callers are better off with
    // instances of other domains, which the fabric turns to only if all of
    // this one decline. Without a cut others could do no better.
    return !IsBehindCut(now);
  }

  std::string ExportCollection(time_point now, collection what,
                               store_position since) const {
    return replica_.Export(now, what, since);
  }

  std::string StateJson(time_point now) {
    nlohmann::json state;
    state["ready"] = IsReady(now);
    state["stopping"] = is_stopping_;
    state["instances"] = peers_.Size() + 1;
    state["routes_version"] = replica_.Current().routes.version;
    state["routes"] = replica_.Current().routes.routes.size();
    state["unread_parts"] = UnreadPartsJson(replica_.Current().routes);
    state["backend_servers"] = replica_.Current().servers.size();
    state["withdrawn_domains"] = replica_.Current().withdrawn_domains;
    state["catalog_age_ms"] = AgeMs(now);
    state["store_positions"] = PositionsJson(replica_);
    state["follows_store"] = followers_[0]->IsFollowing();
    state["flows"] = steering_.OpenFlows();
    state["slowest_servers"] = SlowestServersJson(now, steering_);
    state["admission"] = AdmissionJson(now, steering_);
    return state.dump(2) + "\n";
  }

 private:
  /// As flow_steering::hooks::cold_owners. An instance that stops has handed
  /// over to the next owner. One whose tick is overdue was paused, and another
  /// may own its servers by now.
  uint32_t ColdOwnersOf(const known_server& server) const {
    const bool is_own = server.failure_domain == settings_.peers.failure_domain;
    if (!is_own || is_stopping_ || now_ - last_tick_ > kPauseLimit) {
      return 0;
    }
    return peers_.PossibleOwners(now_, server.id.Value());
  }

  /// A state that a peer holds and this instance does not.
  struct gap {
    store_position wanted;
    time_point since{};
  };

  static size_t Index(collection what) { return static_cast<size_t>(what); }

  static replica_settings ReplicaSettings(const entry_settings& settings) {
    replica_settings result = settings.replica;
    result.former_time = settings.steering.promises.longest_flow;
    return result;
  }

  follower_settings FollowerSettings(collection what) const {
    follower_settings settings = settings_.follower;
    settings.in_force = settings_.steering.promises.InForce(what);
    return settings;
  }

  /// Age up to which a catalog holds every change that has to be in force.
  duration FreshAge() const {
    const service_promises& promises = settings_.steering.promises;
    return std::min(promises.routes_in_force,
                    std::min(promises.leaving_servers_in_force,
                             promises.withdrawals_in_force));
  }
  /// How long ago an instance that hands a catalog over may have been in touch
  /// with the store: if nobody there can reach it, there is time left to ask.
  duration InTouchToHandOver() const {
    return FreshAge() - settings_.peers.take_over_age -
           settings_.follower.spread_time;
  }
  /// True if a catalog of these times may be taken over.
  bool IsFreshToHandOver(time_point now, const catalog_times& times) const {
    return now <= times.covers_until &&
           now - times.in_touch_at <= InTouchToHandOver();
  }

  /// The answer of another instance to the first digest of this one.
  void OnStartAnswer(time_point now, const peer_digest& digest) {
    const auto& theirs = digest.positions;
    const bool is_complete =
        std::all_of(theirs.begin(), theirs.end(),
                    [](store_position p) { return p.revision != 0; });
    start_.OnAnswer(now,
                    is_complete && IsFreshToHandOver(now, TimesOf(digest)));
    // The seeds name instances of the own domain: those hand the catalog over.
    if (digest.failure_domain == settings_.peers.failure_domain) return;
    Send(now, peers_.IntroductionTargets(), settings_.peers.failure_domain,
         true);
  }

  /// Reads a collection from the store that an instance with an earlier version
  /// of the program has handed over.
  void ReadAnewIfNeeded(collection what) {
    if (!replica_.NeedsOwnReading(what)) return;
    actions_.log(log_record("catalog_read_anew")
                     .With("collection", NameOf(what))
                     .With("epoch", replica_.Position(what).epoch)
                     .With("revision", replica_.Position(what).revision));
    followers_[Index(what)]->Reload(now_);
  }

  void OnFetchFailed(time_point now, const endpoint& peer) {
    peers_.OnFetchFailed(now, peer);
    start_.OnFetchFailed(now);
    ContinueStart(now);
  }

  void ContinueStart(time_point now) {
    if (!start_.IsAwaiting()) return;
    if (replica_.IsComplete() && IsFreshToHandOver(now, times_)) {
      start_.End();
      return;
    }
    if (start_.TakeStoreCall(now)) {
      actions_.log(log_record("catalog_asked_of_store")
                       .With("instances", peers_.Size() + 1)
                       .With("ms", (now - started_at_).count() / 1000));
      listing_since_ = now;
      for (const auto& follower : followers_) follower->Load(now);
    }
    FetchNewer(now);
  }

  flow_steering::hooks SteeringHooks() {
    flow_steering::hooks result;
    result.log = actions_.log;
    result.check_server = actions_.check_server;
    result.send_again = actions_.send_again;
    result.reset = actions_.reset;
    result.fleet = [this](time_point now) {
      return fleet_facts{peers_.InstancesOfDomain(), peers_.IndexInDomain(),
                         peers_.Domains(), peers_.IsSettled(now)};
    };
    result.cold_owners = [this](const known_server& server) {
      return ColdOwnersOf(server);
    };
    result.others_may_serve = [this](time_point now) {
      AskOtherDomains(now);
      return MayBeCutOff(now);
    };
    return result;
  }

  store_follower::hooks FollowerHooks(collection what) {
    store_follower::hooks result;
    result.log = actions_.log;
    result.call = [this](store_request request) {
      store_calls_.Add();
      actions_.call_store(std::move(request));
    };
    result.replaced = [this, what](store_position position,
                                   const std::vector<store_object>& objects) {
      NoteEarlier(what, position);
      if (replica_.Replace(now_, what, position, objects)) {
        OnCatalogChange(now_, true);
      }
    };
    result.changed = [this, what](store_position position,
                                  const std::vector<store_object>& objects) {
      NoteEarlier(what, position);
      if (replica_.Change(now_, what, position, objects)) {
        OnCatalogChange(now_, true);
      }
    };
    result.confirmed = [this, what](store_position position) {
      if (replica_.Raise(now_, what, position)) OnCatalogChange(now_, true);
    };
    result.epoch_begun = [this](store_epoch epoch) {
      NoteEpoch(now_, epoch, "store");
    };
    return result;
  }

  /// Logs an answer of the store that is not taken.
  void NoteEarlier(collection what, store_position position) {
    const store_position held = replica_.Position(what);
    if (position >= held) return;
    actions_.log(log_record("store_answer_earlier")
                     .With("collection", NameOf(what))
                     .With("epoch", position.epoch)
                     .With("revision", position.revision)
                     .With("held_epoch", held.epoch)
                     .With("held", held.revision));
  }

  /// The store has come back from a copy: what is known of it is of an earlier
  /// epoch, until it is listed anew. Its connections may not tell.
  void NoteEpoch(time_point now, store_epoch epoch, std::string_view source) {
    if (epoch <= epoch_) return;
    const store_epoch before = std::exchange(epoch_, epoch);
    if (before == 0 && !replica_.IsComplete()) return;
    actions_.log(log_record("store_restored", log_level::kWarning)
                     .With("epoch", epoch)
                     .With("before", before)
                     .With("source", source)
                     .With("age_ms", AgeMs(now)));
    for (const auto& follower : followers_) follower->OnEpochHeard(now, epoch);
  }

  peer_view::held_state State() const {
    peer_view::held_state state;
    for (const collection what : kAllCollections) {
      state.positions[Index(what)] = replica_.Position(what);
      state.contents[Index(what)] = replica_.Digest(what);
    }
    state.routes_version = replica_.Current().routes.version;
    return state;
  }

  /// Equal content is also the state of the later of two positions.
  void RaisePositions(time_point now, const peer_digest& digest) {
    bool is_confirmed = false;
    for (const collection what : kAllCollections) {
      if (digest.contents[Index(what)] != replica_.Digest(what)) continue;
      const store_position position = digest.positions[Index(what)];
      if (replica_.Raise(now, what, position)) is_confirmed = true;
    }
    if (is_confirmed) OnCatalogChange(now, false);
  }

  /// By the own calls alone: the earliest over the collections.
  catalog_times OwnTimes(time_point now) const {
    const service_promises& promises = settings_.steering.promises;
    catalog_times oldest{time_point::max(), {}, now};
    for (const collection what : kAllCollections) {
      const store_follower& follower = *followers_[Index(what)];
      // A watch of before the store's return confirms nothing of after it.
      if (follower.Epoch() != replica_.Position(what).epoch) return {};
      if (follower.ConfirmedAt() == time_point{}) return {};
      oldest.covers_until = std::min(
          oldest.covers_until, follower.ConfirmedAt() + promises.InForce(what));
      oldest.in_touch_at =
          std::min(oldest.in_touch_at, follower.InTouchAt(now));
    }
    oldest.servers_known_at =
        followers_[Index(collection::kServers)]->WritersKnownAt();
    return oldest;
  }

  /// What a digest tells of its sender's catalog.
  catalog_times TimesOf(const peer_digest& digest) const {
    // The datagram may have waited since the last tick. Earlier versions tell
    // when they were in touch alone: the answer before that is no older than
    // the longest wait for one.
    const follower_settings servers = FollowerSettings(collection::kServers);
    const duration longest_wait =
        servers.WatchWait() + servers.watch_answer_time;
    return {last_tick_ + digest.covers_for.value_or(
                             settings_.follower.spread_time - digest.age),
            last_tick_ -
                digest.servers_known_age.value_or(digest.age + longest_wait),
            last_tick_ - digest.age};
  }

  /// Asks the store whether anything has changed with the servers, unless that
  /// was asked a moment ago.
  void AskStore(time_point now) {
    if (now - last_asked_ < kAskInterval) return;
    last_asked_ = now;
    followers_[Index(collection::kServers)]->Refresh(now);
  }

  /// Nothing that waits for a confirmation waits for the end of a watch.
  void SeekConfirmation(time_point now) {
    const time_point needed = steering_.ConfirmationNeeded(now);
    const bool is_needed = needed > times_.servers_known_at;
    if (followers_[0]->IsFollowing()) {
      if (is_needed || !asked_by_.empty()) AskStore(now);
      return;
    }
    if (!is_needed || now - last_asked_ < kAskInterval) return;
    const auto follower = peers_.Follower();
    if (!follower) return;
    last_asked_ = now;
    Send(now, {*follower}, settings_.peers.failure_domain, false, true);
  }

  /// Tells those who have asked for a later confirmation.
  void AnswerAsked(time_point now) {
    std::vector<endpoint> answered;
    std::erase_if(asked_by_, [&](const auto& asked) {
      const bool is_answered = asked.second <= times_.servers_known_at;
      if (is_answered) answered.push_back(asked.first);
      return is_answered;
    });
    Send(now, answered, settings_.peers.failure_domain);
  }

  void OnCatalogChange(time_point now, bool from_store) {
    if (!replica_.IsComplete()) return;
    UpdateConfirmed(now);
    unread_parts_.Set(replica_.Current().routes.unread_count);
    steering_.OnCatalog(now, replica_.Current());
    // Instances that do not follow the store learn of the change here, one from
    // the other. Other domains have followers of their own.
    Send(now, peers_.ChangeTargets(from_store), settings_.peers.failure_domain);
    if (!replica_.Current().unconfirmed_domains.empty()) {
      followers_[Index(collection::kServers)]->Refresh(now);
    }
  }

  void UpdateConfirmed(time_point now) {
    if (!replica_.IsComplete()) return;
    const catalog_times before = times_;
    times_.Advance(OwnTimes(now));
    times_.Advance(peers_.TimesOf(State()));
    if (times_ == before) return;
    steering_.OnConfirmed(times_);
    AnswerAsked(now);
  }

  /// With every server silent, either the servers are lost or this domain is
  /// cut off from them; other domains' instances tell which, and soon.
  void AskOtherDomains(time_point now) {
    Send(now, peers_.AskOtherDomains(now), settings_.peers.failure_domain,
         true);
  }

  /// True until another domain has answered.
  bool MayBeCutOff(time_point now) const {
    const far_path path = peers_.PathToOthers(now);
    return path == far_path::kAsked || path == far_path::kCut;
  }

  bool IsBehindCut(time_point now) const {
    return !steering_.CanServe() && peers_.PathToOthers(now) == far_path::kCut;
  }

  void NoteCut(time_point now) {
    if (is_stopping_) return;
    // Asked at the first silence: by the time that every server is found
    // silent, the answer is known.
    if (steering_.HasSilentServers()) {
      AskOtherDomains(now);
      if (peers_.PathToOthers(now) == far_path::kCut) {
        steering_.OnOthersSilent(now, peers_.FarSilentSince());
      }
    }
    const bool is_cut = IsBehindCut(now);
    if (is_cut == is_cut_) return;
    is_cut_ = is_cut;
    actions_.log(log_record(is_cut ? "domain_cut_off" : "domain_reachable",
                            is_cut ? log_level::kWarning : log_level::kInfo)
                     .With("path", NameOf(peers_.PathToOthers(now)))
                     .With("can_serve", steering_.CanServe()));
  }

  void UpdateFollowing(time_point now) {
    if (is_stopping_) return;
    const bool is_following = followers_[0]->IsFollowing();
    // Without any catalog, its age counts from the start.
    const bool has_none = !replica_.IsComplete();
    const duration age = now - (has_none ? started_at_ : times_.in_touch_at);
    const bool should = peers_.ShouldFollow(now, age, is_following);
    if (should == is_following) return;
    actions_.log(log_record(should ? "follows_store" : "leaves_store_to_peers")
                     .With("age_ms", AgeMs(now))
                     .With("instances", peers_.Size() + 1));
    for (const collection what : kAllCollections) {
      store_follower& follower = *followers_[Index(what)];
      if (should) {
        follower.Follow(now, replica_.Position(what));
      } else {
        follower.Stop();
      }
    }
  }

  void FetchNewer(time_point now) {
    const peer_view::held_state state = State();
    // An old catalog would put servers that have left in use again: it is taken
    // only if the store does not answer.
    const time_point in_touch_since =
        start_.IsAwaiting() ? now - InTouchToHandOver() : time_point::min();
    for (const collection what : kAllCollections) {
      if (fetching_[Index(what)] || IsListedSoon(now, what)) continue;
      const auto peer = peers_.NewerThan(what, state, in_touch_since);
      if (!peer) {
        behind_[Index(what)] = {};
        continue;
      }
      // In a stream of changes somebody is always a step ahead: only a state
      // that stays unknown here counts.
      gap& behind = behind_[Index(what)];
      if (replica_.Position(what) >= behind.wanted) {
        behind = {peer->position, now};
      }
      // The store can't tell what it has lost.
      if (!peer->has_later_routes && IsHeardSoon(now, what)) continue;
      behind = {};
      fetching_[Index(what)] = true;
      fetches_.Add();
      actions_.fetch(peer->address, what, replica_.FetchSince(what));
    }
  }

  /// True if nothing is known yet, and the store is about to tell.
  bool IsListedSoon(time_point now, collection what) const {
    return replica_.Position(what).revision == 0 &&
           followers_[Index(what)]->IsListing() &&
           now - listing_since_ < settings_.first_list_time;
  }

  /// True if an own watch will tell what a peer knows already.
  bool IsHeardSoon(time_point now, collection what) {
    store_follower& follower = *followers_[Index(what)];
    const duration behind = now - behind_[Index(what)].since;
    if (!follower.IsFollowing() ||
        now - follower.InTouchAt(now) >= kOwnAnswerTime) {
      return false;
    }
    if (behind < settings_.watch_lag) return true;
    // The connection of a watch that lacks it has gone silent.
    actions_.log(log_record("watch_overtaken", log_level::kWarning)
                     .With("collection", NameOf(what))
                     .With("epoch", replica_.Position(what).epoch)
                     .With("revision", replica_.Position(what).revision));
    follower.Rewatch(now, replica_.Position(what));
    return false;
  }

  /// `named_domain` is the domain whose instances it names above all.
  peer_digest MakeDigest(time_point now, const std::string& named_domain,
                         bool wants_reply) {
    peer_digest digest;
    digest.sender = settings_.peers.self;
    digest.life = life_;
    digest.failure_domain = settings_.peers.failure_domain;
    digest.is_stopping = is_stopping_;
    digest.wants_reply = wants_reply;
    digest.is_following = followers_[0]->IsFollowing() &&
                          now - OwnTimes(now).in_touch_at < kOwnAnswerTime;
    const peer_view::held_state state = State();
    digest.positions = state.positions;
    digest.contents = state.contents;
    digest.routes_version = state.routes_version;
    digest.age = now - times_.in_touch_at;
    digest.covers_for = times_.covers_until - now;
    digest.servers_known_age = now - times_.servers_known_at;
    digest.reports = steering_.Reports(now);
    digest.services = steering_.ServiceLoads();
    digest.peers = peers_.NamedPeers(now, named_domain);
    digest.claims = steering_.ContestedCookies(now);
    return digest;
  }

  void SendRound(time_point now) {
    next_round_ = now + settings_.digest_interval;
    const std::string& domain = settings_.peers.failure_domain;
    Send(now, peers_.RoundTargets(now), domain, peers_.IsJoining(now));
    Send(now, peers_.IntroductionTargets(), domain, true);
  }

  void Send(time_point now, std::vector<endpoint> peers,
            const std::string& named_domain, bool wants_reply = false,
            bool wants_confirmation = false) {
    if (peers.empty()) return;
    peer_digest digest = MakeDigest(now, named_domain, wants_reply);
    digest.wants_confirmation = wants_confirmation;
    // Reports on servers are used by the own domain, loads by the others.
    const auto others = std::partition(
        peers.begin(), peers.end(),
        [this](const endpoint& peer) { return !peers_.IsFar(peer); });
    const std::vector<endpoint> far(others, peers.end());
    peers.erase(others, peers.end());
    std::vector<service_load> loads = std::exchange(digest.services, {});
    SendDigest(std::move(peers), digest);
    digest.reports.clear();
    digest.services = std::move(loads);
    SendDigest(far, digest);
  }

  void SendDigest(std::vector<endpoint> peers, const peer_digest& digest) {
    if (peers.empty()) return;
    std::string bytes = EncodeDigest(digest);
    digest_bytes_.Add(bytes.size() * peers.size());
    actions_.send_digest(std::move(peers), std::move(bytes));
  }

  void NoteLateness(time_point now) {
    const duration late = now - last_tick_ - kTickInterval;
    last_tick_ = now;
    if (late > settings_.late_limit) steering_.OnLate(now);
  }

  int64_t AgeMs(time_point now) const {
    return (now - times_.servers_known_at).count() / 1000;
  }

  /// A follower whose calls were answered this lately needs no peers.
  static constexpr duration kOwnAnswerTime = std::chrono::milliseconds(500);
  /// Time between two questions to the store beside its watches.
  static constexpr duration kAskInterval = std::chrono::milliseconds(100);
  /// Time without a tick after which the instance must have been paused.
  static constexpr duration kPauseLimit = std::chrono::seconds(1);

  const entry_settings settings_;
  const incarnation life_;
  const hooks actions_;
  catalog_replica replica_;
  peer_view peers_;
  catalog_start start_;
  flow_steering steering_;
  std::array<std::unique_ptr<store_follower>, kCollections> followers_;
  metric& store_calls_;
  metric& fetches_;
  metric& digest_bytes_;
  metric& unread_parts_;
  std::array<bool, kCollections> fetching_{};
  std::array<gap, kCollections> behind_{};
  /// The store's latest epoch that this instance has heard of.
  store_epoch epoch_ = 0;
  bool is_stopping_ = false;
  bool is_cut_ = false;
  /// Time of the event under way, for hooks that are called within it.
  time_point now_{};
  time_point started_at_{};
  time_point listing_since_{};
  time_point last_tick_{};
  time_point next_round_{};
  catalog_times times_;
  /// Instances that wait for a later confirmation, and since when.
  std::map<endpoint, time_point> asked_by_;
  /// When the store, or the domain's follower, was last asked for one.
  time_point last_asked_{};
};

entry_instance::entry_instance(const entry_settings& settings, incarnation life,
                               random_source random, metric_registry& metrics,
                               hooks actions)
    : impl_(std::make_unique<impl>(settings, life, random, metrics,
                                   std::move(actions))) {}
entry_instance::~entry_instance() = default;
void entry_instance::Start(time_point now) { impl_->Start(now); }
steer_decision entry_instance::OnSegment(time_point now, const segment& packet,
                                         std::span<const uint8_t> bytes) {
  return impl_->OnSegment(now, packet, bytes);
}
void entry_instance::OnTimer(time_point now) { impl_->OnTimer(now); }
time_point entry_instance::NextTimer() const { return impl_->NextTimer(); }
void entry_instance::OnStoreReply(time_point now, store_reply reply) {
  impl_->OnStoreReply(now, std::move(reply));
}
void entry_instance::OnDigest(time_point now, std::string_view bytes) {
  impl_->OnDigest(now, bytes);
}
void entry_instance::OnFetched(time_point now, const endpoint& peer,
                               collection what, std::string_view exported) {
  impl_->OnFetched(now, peer, what, exported);
}
void entry_instance::OnServerChecked(time_point now, server_row server,
                                     bool is_reachable) {
  impl_->OnServerChecked(now, server, is_reachable);
}
void entry_instance::OnPause(time_point now, duration length) {
  impl_->OnPause(now, length);
}
void entry_instance::OnTick(time_point now) { impl_->OnTick(now); }
void entry_instance::OnStop(time_point now) { impl_->OnStop(now); }
void entry_instance::SetSeeds(std::vector<endpoint> seeds) {
  impl_->SetSeeds(std::move(seeds));
}
bool entry_instance::IsReady(time_point now) const {
  return impl_->IsReady(now);
}
std::string entry_instance::ExportCollection(time_point now, collection what,
                                             store_position since) const {
  return impl_->ExportCollection(now, what, since);
}
std::string entry_instance::StateJson(time_point now) {
  return impl_->StateJson(now);
}

}  // namespace poplarstair
