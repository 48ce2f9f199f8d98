#include "poplarstair/membership/membership.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <map>

#include "poplarstair/membership/byte_budget.h"
#include "poplarstair/membership/member_table.h"
#include "poplarstair/membership/membership_message.h"
#include "poplarstair/membership/probe_outcomes.h"
#include "poplarstair/membership/suspicion_list.h"
#include "poplarstair/membership/update_queue.h"

namespace poplarstair {

namespace {

/// Members probed in one pass; a pass covers all while there are no more.
constexpr size_t kMaxPass = 64;
/// Members out of sight that are asked for a sign of life in each interval.
constexpr size_t kContactsWhilePartitioned = 3;
/// Addresses asked for in one message.
constexpr size_t kMaxWanted = 16;
/// Waiting updates above which those that others tell too are told less.
constexpr size_t kManyUpdates = 64;
/// Waiting updates above which each is told few times.
constexpr size_t kFloodUpdates = 256;
/// Differing buckets above which the next exchange comes soon.
constexpr size_t kManyBuckets = 8;
constexpr duration kForgetInterval = std::chrono::seconds(10);
/// Random picks before giving up on finding a member of the wanted kind.
constexpr int kMaxPicks = 32;

/// Factors of ten in `count`, rounded up; at least 1.
uint32_t DecimalMagnitude(size_t count) {
  uint32_t magnitude = 1;
  for (size_t bound = 10; bound < count; bound *= 10) ++magnitude;
  return magnitude;
}

}  // namespace

class membership::impl {
 public:
  impl(const membership_settings& settings, const instance_address& self,
       incarnation life, random_source random, hooks actions)
      : settings_(settings),
        self_(self.id),
        random_(random),
        hooks_(std::move(actions)),
        budget_(settings.claim_bytes_per_s) {
    table_.Insert({{self.id, life, 0, member_state::kAlive, self}}, false);
    queue_.Add(self_);
    table_.TakeChanged();
  }

  void OnMessage(time_point now, const peer_message& raw) {
    const membership_message message =
        DecodeMembershipMessage(raw.from, raw.body);
    if (raw.from == self_) return;
    NoteSender(now, message);
    const bool is_outcast = IsDead(raw.from);
    for (const member_claim& claim : message.claims) {
      // What an instance says that was declared dead may be long out of date.
      if (!is_outcast || claim.id == self_) Consider(now, message, claim);
    }
    Answer(now, message, is_outcast);
    AskForAddresses(message.sender.id);
    Finish(now);
  }

  void OnPlatformList(time_point now,
                      const std::vector<listed_instance>& instances) {
    AddListed(now, instances);
    for (size_t i = 0; i < table_.Size(); ++i) {
      table_.NotesAt(i).is_listed = false;
    }
    for (const listed_instance& listed : instances) NoteListed(now, listed);
    Finish(now);
  }

  void OnTick(time_point now) {
    const duration gap = now - last_tick_;
    if (ticked_ && gap >= settings_.probe_interval) ForgivePause(gap);
    if (ticked_) budget_.Refill(gap);
    ticked_ = true;
    last_tick_ = now;
    CheckProbe(now);
    if (now >= next_probe_) StartProbe(now);
    ExpireSuspicions(now);
    if (now >= next_gossip_) Gossip(now);
    if (now >= next_sync_) Sync(now);
    if (now >= next_forget_) Forget(now);
    Finish(now);
  }

  void BeginLeave(time_point now) {
    if (is_leaving_) return;
    is_leaving_ = true;
    ShowSelf(Self());
    for (size_t i = 0; i < kContactsWhilePartitioned; ++i) SendGossip();
    Finish(now);
  }

  const member_view& View() const { return table_.View(); }

  size_t MemoryBytes() const {
    constexpr size_t kMapEntryBytes = 64;
    return table_.MemoryBytes() +
           kMapEntryBytes * (suspicions_.Size() + dead_since_.size() +
                             recently_lost_.size() + queue_.Size());
  }

 private:
  struct probe {
    instance_id target;
    uint32_t sequence = 0;
    time_point sent;
    bool asked_others = false;
    bool under_way = false;
  };

  /// A ping sent in another's place.
  struct relay {
    instance_id asked_by;
    uint32_t sequence = 0;
    time_point started;
  };

  // --- What is known ---

  size_t SelfIndex() const { return *table_.IndexOf(self_); }

  member_claim Self() const { return table_.ClaimAt(SelfIndex(), false); }

  bool IsDead(instance_id id) const {
    const member* m = table_.View().Find(id);
    return m != nullptr && m->state == member_state::kDead;
  }

  size_t LivingCount() const { return table_.Size() - table_.CountDead(); }

  /// Whatever arrives from a member shows that it is in sight.
  void NoteSender(time_point now, const membership_message& message) {
    Consider(now, message, message.sender);
    MarkInSight(now, message.sender.id, /*directly=*/true);
    if (message.sender.state == member_state::kLeaving) {
      suspicions_.End(message.sender.id);
    }
  }

  void MarkInSight(time_point now, instance_id id, bool directly) {
    const auto i = table_.IndexOf(id);
    if (!i || !table_.NotesAt(*i).out_of_sight) return;
    table_.SetOutOfSight(*i, false);
    suspicions_.End(id);
    if (directly && table_.View().partitioned) {
      across_.insert(id);
      SyncAcross(now, id);
    }
    JudgePartition(now);
  }

  /// The other side knows best who is in sight there.
  void SyncAcross(time_point now, instance_id id) {
    if (now < next_sync_across_) return;
    next_sync_across_ = now + settings_.gossip_interval;
    SendDigest(id);
  }

  /// Takes a claim over if it is newer than what is known.
  void Consider(time_point now, const membership_message& message,
                const member_claim& claim) {
    if (claim.id == self_) return ConsiderSelf(claim);
    const auto i = table_.IndexOf(claim.id);
    if (!i) return ConsiderUnknown(claim);
    const member_claim known = table_.ClaimAt(*i, false);
    const int order = CompareClaims(claim, known);
    const bool from_across = across_.contains(message.sender.id);
    if (order == 0 && claim.address) table_.Set(*i, claim);
    // With few changes under way, each is told in full, for the sake of
    // suspects that must be heard in time.
    if (order == 0 && queue_.Size() > kManyUpdates) {
      queue_.CountHeard(claim.id, RetransmitLimit());
    }
    if (order == 0 && from_across && claim.state == member_state::kAlive) {
      // A member that is in sight again vouches for those on its side.
      MarkInSight(now, claim.id, /*directly=*/false);
    }
    if (order <= 0) return;
    const bool is_loss = claim.state == member_state::kSuspect ||
                         claim.state == member_state::kDead;
    // Those on the same side of a partition are out of touch as well.
    if (table_.View().partitioned && is_loss && !from_across) return;
    // A restart may have brought a new address; the next life after a death
    // that was refuted has not.
    const bool is_restart = known.life != 0 && claim.life > known.life + 1;
    if (is_restart && !claim.address && claim.state != member_state::kDead) {
      missing_.push_back(claim.id);
    }
    Take(now, *i, claim);
    // What comes by anti-entropy reaches the others that way too; to tell it
    // once more would let each rejoin flood the fleet.
    const bool is_catching_up = message.kind == membership_kind::kEntries;
    if (is_catching_up && claim.state == member_state::kAlive) {
      queue_.Remove(claim.id);
    }
  }

  void ConsiderUnknown(const member_claim& claim) {
    if (claim.state == member_state::kDead || claim.life == 0) return;
    if (!claim.address) return missing_.push_back(claim.id);
    table_.Insert({claim}, false);
    queue_.Add(claim.id);
    AddToPass(claim.id);
    LogState(claim.id);
  }

  /// Another's claim about this instance that is not true is refuted: a
  /// suspicion by a higher refutation, a death by a new life.
  void ConsiderSelf(const member_claim& claim) {
    const member_claim self = Self();
    if (CompareClaims(claim, self) <= 0) return;
    member_claim refuting = claim;
    if (claim.state == member_state::kDead || claim.life > self.life) {
      refuting.life = claim.life + 1;
      refuting.refutation = 0;
    } else {
      ++refuting.refutation;
    }
    const bool is_told_to_leave = claim.state == member_state::kLeaving;
    if (is_told_to_leave && table_.NotesAt(SelfIndex()).is_listed_leaving) {
      is_leaving_ = true;
    }
    hooks_.log(log_record("membership_refuted")
                   .With("claim", NameOf(claim.state))
                   .With("incarnation", refuting.life));
    ShowSelf(refuting);
  }

  void ShowSelf(member_claim claim) {
    claim.state = is_leaving_ ? member_state::kLeaving : member_state::kAlive;
    claim.address.reset();
    table_.Set(SelfIndex(), claim);
    queue_.Add(self_);
  }

  /// The claim is newer than what is known of the member at `i`.
  void Take(time_point now, size_t i, const member_claim& claim) {
    const instance_id id = claim.id;
    const member_state before = table_.At(i).state;
    const bool was_leaving = table_.NotesAt(i).told == member_state::kLeaving;
    const bool is_new_life = claim.life > table_.At(i).life;
    if (is_new_life) table_.SetOutOfSight(i, false);
    table_.Set(i, claim);
    queue_.Add(id);
    suspicions_.End(id);
    recently_lost_.erase(id);
    dead_since_.erase(id);
    if (claim.state == member_state::kSuspect) BeginSuspicion(now, id);
    if (claim.state == member_state::kDead) {
      table_.SetOutOfSight(i, false);
      dead_since_[id] = now;
      if (!was_leaving) recently_lost_[id] = now;
    }
    if (before != table_.At(i).state || is_new_life) LogState(id);
    JudgePartition(now);
  }

  // --- The platform's list ---

  void AddListed(time_point now,
                 const std::vector<listed_instance>& instances) {
    std::vector<member_claim> unknown;
    for (const listed_instance& listed : instances) {
      const instance_id id = listed.address.id;
      if (table_.IndexOf(id)) continue;
      const auto state =
          listed.leaving ? member_state::kLeaving : member_state::kAlive;
      unknown.push_back({id, 0, 0, state, listed.address});
    }
    // The list lags: nobody on it counts as alive before a sign of life.
    for (const member_claim& claim : unknown) {
      BeginSuspicion(now, claim.id);
      AddToPass(claim.id);
    }
    table_.Insert(std::move(unknown), /*out_of_sight=*/true);
    JudgePartition(now);
  }

  /// The list may still show the state of an earlier life: only the change to
  /// leaving counts.
  void NoteListed(time_point now, const listed_instance& listed) {
    const auto i = table_.IndexOf(listed.address.id);
    if (!i) return;
    auto& notes = table_.NotesAt(*i);
    const bool began_to_leave = listed.leaving && !notes.is_listed_leaving;
    notes.is_listed = true;
    notes.is_listed_leaving = listed.leaving;
    if (!began_to_leave || listed.address.id == self_) return;
    member_claim claim = table_.ClaimAt(*i, false);
    if (claim.state >= member_state::kLeaving) return;
    claim.state = member_state::kLeaving;
    Take(now, *i, claim);
  }

  // --- Failure detection ---

  void AddToPass(instance_id id) {
    if (pass_.size() >= kMaxPass) return;
    pass_.push_back(id);
    std::swap(pass_.back(), pass_[RandomBelow(random_, pass_.size())]);
  }

  void RefillPass() {
    if (table_.Size() <= kMaxPass) {
      for (const member& m : table_.View().members) {
        if (m.address.id != self_ && m.state != member_state::kDead) {
          AddToPass(m.address.id);
        }
      }
      return;
    }
    while (pass_.size() < kMaxPass) {
      const auto i = PickLiving();
      if (!i) return;
      pass_.push_back(table_.At(*i).address.id);
    }
  }

  void StartProbe(time_point now) {
    next_probe_ = std::max(next_probe_ + settings_.probe_interval, now);
    JudgePartition(now);
    if (table_.View().partitioned) LookAcross();
    if (pass_.empty()) RefillPass();
    while (!pass_.empty() && IsDead(pass_.back())) pass_.pop_back();
    if (pass_.empty()) return;
    probe_ = {pass_.back(), ++last_sequence_, now, false, true};
    pass_.pop_back();
    Send(probe_.target, Ping(probe_.sequence));
  }

  void LookAcross() {
    for (size_t n = 0; n < kContactsWhilePartitioned; ++n) {
      const auto i = Pick([&](size_t candidate) {
        return table_.NotesAt(candidate).out_of_sight;
      });
      if (i) Send(table_.At(*i).address.id, Ping(++last_sequence_));
    }
  }

  void CheckProbe(time_point now) {
    if (!probe_.under_way) return;
    if (!probe_.asked_others && now - probe_.sent >= settings_.probe_timeout) {
      probe_.asked_others = true;
      AskOthers();
    }
    if (now - probe_.sent < settings_.probe_interval) return;
    probe_.under_way = false;
    outcomes_.Add(/*is_answered=*/false);
    OnSilence(now, probe_.target);
  }

  void AskOthers() {
    Send(probe_.target, Ping(probe_.sequence));
    membership_message request;
    request.kind = membership_kind::kPingRequest;
    request.sequence = probe_.sequence;
    request.subject = probe_.target;
    for (uint32_t n = 0; n < settings_.indirect_probes; ++n) {
      const auto i = PickLiving();
      if (!i || table_.At(*i).address.id == probe_.target) continue;
      Send(table_.At(*i).address.id, request);
    }
  }

  void OnSilence(time_point now, instance_id id) {
    JudgePartition(now);
    const auto i = table_.IndexOf(id);
    if (!i) return;
    if (table_.View().partitioned) {
      table_.SetOutOfSight(*i, true);
      return JudgePartition(now);
    }
    const member_claim known = table_.ClaimAt(*i, false);
    if (known.state == member_state::kLeaving) return BeginSuspicion(now, id);
    if (known.state != member_state::kAlive || known.life == 0) return;
    member_claim suspicion = known;
    suspicion.state = member_state::kSuspect;
    Take(now, *i, suspicion);
    // The suspect is the first to be told, so that it can refute.
    SendClaimsTo(id);
  }

  duration SuspicionTimeout() const {
    const auto half = settings_.suspicion_timeout / 2;
    return half * (1 + DecimalMagnitude(LivingCount()));
  }

  void BeginSuspicion(time_point now, instance_id id) {
    suspicions_.Begin(id, now + SuspicionTimeout());
  }

  void ExpireSuspicions(time_point now) {
    for (const instance_id id : suspicions_.Due(now)) {
      // Earlier ones of this turn may have shown a partition.
      if (!suspicions_.Contains(id)) continue;
      suspicions_.End(id);
      DeclareDead(now, id);
    }
  }

  void DeclareDead(time_point now, instance_id id) {
    const auto i = table_.IndexOf(id);
    if (!i) return;
    member_claim death = table_.ClaimAt(*i, false);
    death.state = member_state::kDead;
    Take(now, *i, death);
  }

  /// This instance stood still, so silence says nothing about the others.
  void ForgivePause(duration gap) {
    probe_.under_way = false;
    outcomes_ = {};
    suspicions_.Postpone(gap);
  }

  // --- Partitions ---

  /// Losing half of the members within a short time means that this instance is
  /// cut off. In a large fleet that shows first in its own probes: nearly all
  /// of them fail long before it has heard of half of the members.
  void JudgePartition(time_point now) {
    if (table_.View().partitioned) {
      const bool sees_most = table_.CountOutOfSight() * 2 < LivingCount();
      if (sees_most && outcomes_.AreMostlyAnswered()) EndPartition(now);
      return;
    }
    std::erase_if(recently_lost_, [&](const auto& lost) {
      return now - lost.second > settings_.partition_window;
    });
    const size_t lost = recently_lost_.size() + suspicions_.Size();
    const size_t counted = LivingCount() + recently_lost_.size();
    const bool lost_half = lost > 0 && lost * 2 >= counted;
    if (lost_half || outcomes_.AreMostlyUnanswered()) BeginPartition();
  }

  void BeginPartition() {
    // Before the rest, for the changes below are judged as well.
    table_.SetPartitioned(true);
    across_.clear();
    for (const auto& [id, since] : recently_lost_) Reinstate(id);
    for (const instance_id id : suspicions_.All()) Reinstate(id);
    recently_lost_.clear();
    suspicions_.Clear();
    hooks_.log(log_record("partition_began", log_level::kWarning)
                   .With("members", table_.Size())
                   .With("out_of_sight", table_.CountOutOfSight()));
  }

  /// Takes back a suspicion or a death: the member is only out of sight.
  void Reinstate(instance_id id) {
    const auto i = table_.IndexOf(id);
    if (!i) return;
    member_claim claim = table_.ClaimAt(*i, false);
    if (claim.state != member_state::kLeaving) {
      claim.state = member_state::kAlive;
    }
    table_.Set(*i, claim);
    table_.SetOutOfSight(*i, true);
    dead_since_.erase(id);
    queue_.Remove(id);
  }

  void EndPartition(time_point now) {
    table_.SetPartitioned(false);
    across_.clear();
    for (size_t i = 0; i < table_.Size(); ++i) {
      if (table_.NotesAt(i).out_of_sight) {
        BeginSuspicion(now, table_.At(i).address.id);
      }
    }
    hooks_.log(log_record("partition_ended")
                   .With("out_of_sight", table_.CountOutOfSight()));
  }

  // --- Messages ---

  membership_message Ping(uint32_t sequence) const {
    membership_message ping;
    ping.kind = membership_kind::kPing;
    ping.sequence = sequence;
    return ping;
  }

  void Answer(time_point now, const membership_message& message,
              bool is_outcast) {
    const instance_id from = message.sender.id;
    switch (message.kind) {
      case membership_kind::kPing:
        return SendAck(from, message.sequence);
      case membership_kind::kAck:
        return OnAck(now, message);
      case membership_kind::kPingRequest:
        return OnPingRequest(now, message);
      case membership_kind::kGossip:
        // Tells it that it was declared dead, so that it can refute.
        if (is_outcast) SendClaimsTo(from);
        return;
      case membership_kind::kDigest:
        return OnDigest(message);
      case membership_kind::kEntries:
        return OnEntries(message);
      case membership_kind::kAddressRequest:
        return SendAddresses(from, message.wanted);
    }
  }

  void SendAck(instance_id to, uint32_t sequence) {
    membership_message ack;
    ack.kind = membership_kind::kAck;
    ack.sequence = sequence;
    Send(to, std::move(ack));
  }

  void OnAck(time_point now, const membership_message& ack) {
    if (probe_.under_way && ack.sequence == probe_.sequence) {
      probe_.under_way = false;
      outcomes_.Add(/*is_answered=*/true);
      MarkInSight(now, probe_.target, /*directly=*/false);
    }
    const auto it = relays_.find(ack.sequence);
    if (it == relays_.end()) return;
    const relay answered = it->second;
    relays_.erase(it);
    SendAck(answered.asked_by, answered.sequence);
  }

  void OnPingRequest(time_point now, const membership_message& request) {
    absl::erase_if(relays_, [&](const auto& entry) {
      return now - entry.second.started > settings_.probe_interval;
    });
    if (!table_.IndexOf(request.subject)) return;
    relays_[++last_sequence_] = {request.sender.id, request.sequence, now};
    Send(request.subject, Ping(last_sequence_));
  }

  void Gossip(time_point now) {
    next_gossip_ = now + settings_.gossip_interval;
    for (uint32_t n = 0; n < settings_.gossip_fan_out; ++n) SendGossip();
  }

  void SendGossip() {
    if (queue_.IsEmpty() || budget_.IsSpent()) return;
    const auto i = PickLiving();
    if (i) SendClaimsTo(table_.At(*i).address.id);
  }

  void SendClaimsTo(instance_id to) {
    membership_message message;
    message.kind = membership_kind::kGossip;
    Send(to, std::move(message));
  }

  /// Adds what the receiver should hear of itself, and changes as the budget
  /// allows.
  void Send(instance_id to, membership_message message) {
    message.sender = Self();
    size_t bytes = 0;
    const auto receiver = table_.IndexOf(to);
    if (receiver) {
      const member_claim told = table_.ClaimAt(*receiver, false);
      if (told.state != member_state::kAlive) message.claims.push_back(told);
    }
    queue_.Take(RetransmitLimit(), [&](instance_id id) {
      return AddClaim(id, message.claims, bytes);
    });
    Post(to, message);
  }

  uint32_t RetransmitLimit() const {
    // Anti-entropy completes what a flood of changes leaves out.
    if (queue_.Size() > kFloodUpdates) return settings_.retransmit_factor;
    return settings_.retransmit_factor * DecimalMagnitude(LivingCount());
  }

  bool AddClaim(instance_id id, std::vector<member_claim>& claims,
                size_t& bytes) {
    const auto i = table_.IndexOf(id);
    if (!i || table_.At(*i).life == 0) return true;
    // Few lack the address, and those ask for it.
    member_claim claim = table_.ClaimAt(*i, /*with_address=*/id == self_);
    const size_t added = ClaimBytes(claim);
    if (bytes + added > settings_.max_claim_bytes) return false;
    if (budget_.IsSpent()) return false;
    budget_.Spend(added);
    bytes += added;
    claims.push_back(std::move(claim));
    return true;
  }

  void Post(instance_id to, const membership_message& message) {
    hooks_.send({self_, to, message_channel::kMembership,
                 EncodeMembershipMessage(message)});
  }

  // --- Anti-entropy ---

  void Sync(time_point now) {
    const bool is_busy = last_difference_ > kManyBuckets;
    last_difference_ = 0;
    next_sync_ = now + (is_busy ? settings_.busy_sync_interval
                                : settings_.sync_interval);
    const auto living = PickLiving();
    if (living) SendDigest(table_.At(*living).address.id);
    if (is_busy || table_.CountDead() == 0) return;
    // A dead member may only have been cut off, and can't know it.
    const auto dead = Pick([&](size_t i) {
      return table_.NotesAt(i).told == member_state::kDead;
    });
    if (dead) Send(table_.At(*dead).address.id, Ping(++last_sequence_));
  }

  void SendDigest(instance_id to) {
    if (budget_.IsSpent()) return;
    membership_message message;
    message.kind = membership_kind::kDigest;
    const auto& digest = table_.Digest();
    message.digest.assign(digest.begin(), digest.end());
    // The receiver may not know where to send its answer.
    message.claims.push_back(table_.ClaimAt(SelfIndex(), true));
    budget_.Spend(digest.size() * sizeof(digest[0]));
    Send(to, std::move(message));
  }

  void OnDigest(const membership_message& message) {
    const auto& own = table_.Digest();
    if (message.digest.size() != own.size()) return;
    std::vector<uint32_t> differing;
    for (uint32_t bucket = 0; bucket < own.size(); ++bucket) {
      if (message.digest[bucket] != own[bucket]) differing.push_back(bucket);
    }
    const size_t total = differing.size();
    if (differing.empty() || budget_.IsSpent()) return;
    while (differing.size() > BucketsInExchange()) {
      differing[RandomBelow(random_, differing.size())] = differing.back();
      differing.pop_back();
    }
    SendEntries(message.sender.id, differing, total);
  }

  /// As many buckets as fit into one message's bytes of claims.
  size_t BucketsInExchange() const {
    const size_t claims = settings_.max_sync_bytes / ClaimBytes(Self());
    return 1 + claims * member_table::kBuckets / table_.Size();
  }

  void SendEntries(instance_id to, std::vector<uint32_t> buckets,
                   size_t total_differing) {
    membership_message reply;
    reply.sequence = static_cast<uint32_t>(total_differing);
    reply.kind = membership_kind::kEntries;
    std::sort(buckets.begin(), buckets.end());
    for (size_t i = 0; i < table_.Size(); ++i) {
      const uint32_t bucket = member_table::BucketOf(table_.At(i).address.id);
      if (!std::binary_search(buckets.begin(), buckets.end(), bucket)) continue;
      if (table_.At(i).life == 0) continue;
      // What is out of sight here is left for the receiver to vouch for.
      if (table_.NotesAt(i).out_of_sight) continue;
      member_claim claim = table_.ClaimAt(i, false);
      budget_.Spend(ClaimBytes(claim));
      reply.claims.push_back(std::move(claim));
    }
    reply.buckets = std::move(buckets);
    reply.sender = Self();
    Post(to, reply);
  }

  /// Sends back what the sender lacks or has an older claim of.
  void OnEntries(const membership_message& message) {
    last_difference_ = std::max<size_t>(last_difference_, message.sequence);
    if (budget_.IsSpent()) return;
    absl::flat_hash_map<instance_id, const member_claim*> theirs;
    for (const member_claim& claim : message.claims) theirs[claim.id] = &claim;
    membership_message reply;
    reply.kind = membership_kind::kGossip;
    for (size_t i = 0; i < table_.Size(); ++i) {
      const uint32_t bucket = member_table::BucketOf(table_.At(i).address.id);
      if (std::find(message.buckets.begin(), message.buckets.end(), bucket) ==
          message.buckets.end()) {
        continue;
      }
      const auto it = theirs.find(table_.At(i).address.id);
      if (IsWorthTelling(i, it == theirs.end() ? nullptr : it->second)) {
        reply.claims.push_back(table_.ClaimAt(i, /*with_address=*/false));
        budget_.Spend(ClaimBytes(reply.claims.back()));
      }
    }
    if (reply.claims.empty()) return;
    reply.sender = Self();
    Post(message.sender.id, reply);
  }

  bool IsWorthTelling(size_t i, const member_claim* theirs) const {
    if (table_.At(i).life == 0 || table_.NotesAt(i).out_of_sight) return false;
    const member_claim own = table_.ClaimAt(i, false);
    if (theirs == nullptr) return own.state != member_state::kDead;
    return CompareClaims(own, *theirs) > 0;
  }

  void AskForAddresses(instance_id from) {
    if (missing_.empty()) return;
    membership_message request;
    request.kind = membership_kind::kAddressRequest;
    request.sender = Self();
    const size_t count = std::min(missing_.size(), kMaxWanted);
    request.wanted.assign(missing_.begin(),
                          missing_.begin() + static_cast<ptrdiff_t>(count));
    missing_.clear();
    Post(from, request);
  }

  void SendAddresses(instance_id to, const std::vector<instance_id>& wanted) {
    membership_message reply;
    reply.kind = membership_kind::kGossip;
    reply.sender = Self();
    for (size_t n = 0; n < std::min(wanted.size(), kMaxWanted); ++n) {
      const auto i = table_.IndexOf(wanted[n]);
      if (!i) continue;
      reply.claims.push_back(table_.ClaimAt(*i, /*with_address=*/true));
      budget_.Spend(ClaimBytes(reply.claims.back()));
    }
    if (!reply.claims.empty()) Post(to, reply);
  }

  // --- Housekeeping ---

  void Forget(time_point now) {
    next_forget_ = now + kForgetInterval;
    absl::erase_if(dead_since_, [&](const auto& dead) {
      const auto i = table_.IndexOf(dead.first);
      if (!i) return true;
      // The list would bring it back.
      if (table_.NotesAt(*i).is_listed) return false;
      if (now - dead.second < settings_.forget_after) return false;
      table_.Erase(*i);
      return true;
    });
  }

  /// A random member that `is_wanted` accepts.
  template <typename Predicate>
  std::optional<size_t> Pick(Predicate is_wanted) {
    for (int n = 0; n < kMaxPicks; ++n) {
      const size_t i = RandomBelow(random_, table_.Size());
      if (is_wanted(i)) return i;
    }
    const size_t start = RandomBelow(random_, table_.Size());
    for (size_t step = 0; step < table_.Size(); ++step) {
      const size_t i = (start + step) % table_.Size();
      if (is_wanted(i)) return i;
    }
    return std::nullopt;
  }

  /// A random member other than this instance that is not known to be dead.
  std::optional<size_t> PickLiving() {
    return Pick([this](size_t i) {
      return table_.NotesAt(i).told != member_state::kDead &&
             table_.At(i).address.id != self_;
    });
  }

  void LogState(instance_id id) const {
    const member* m = table_.View().Find(id);
    hooks_.log(log_record("member_state")
                   .With("instance", m->address.name)
                   .With("state", NameOf(m->state))
                   .With("incarnation", m->life));
  }

  void Finish(time_point now) {
    if (table_.TakeChanged()) hooks_.view_changed(now, table_.View());
  }

  const membership_settings settings_;
  const instance_id self_;
  random_source random_;
  const hooks hooks_;

  // What is known.
  member_table table_;
  update_queue queue_;
  bool is_leaving_ = false;
  /// Known by claims that came without an address.
  std::vector<instance_id> missing_;

  // Failure detection.
  std::vector<instance_id> pass_;
  probe probe_;
  uint32_t last_sequence_ = 0;
  absl::flat_hash_map<uint32_t, relay> relays_;
  suspicion_list suspicions_;
  probe_outcomes outcomes_;
  absl::flat_hash_map<instance_id, time_point> dead_since_;

  // Partitions.
  /// Died without leaving, within the partition window.
  std::map<instance_id, time_point> recently_lost_;
  /// Came back into sight while this instance is cut off.
  absl::flat_hash_set<instance_id> across_;

  // Times and budgets.
  byte_budget budget_;
  size_t last_difference_ = 0;
  bool ticked_ = false;
  time_point last_tick_{};
  time_point next_probe_{};
  time_point next_gossip_{};
  time_point next_sync_{};
  time_point next_sync_across_{};
  time_point next_forget_{};
};

membership::membership(const membership_settings& settings,
                       const instance_address& self, incarnation life,
                       random_source random, hooks actions)
    : impl_(std::make_unique<impl>(settings, self, life, random,
                                   std::move(actions))) {}

membership::~membership() = default;

void membership::OnMessage(time_point now, const peer_message& message) {
  impl_->OnMessage(now, message);
}

void membership::OnPlatformList(time_point now,
                                const std::vector<listed_instance>& instances) {
  impl_->OnPlatformList(now, instances);
}

void membership::OnTick(time_point now) { impl_->OnTick(now); }

void membership::BeginLeave(time_point now) { impl_->BeginLeave(now); }

const member_view& membership::View() const { return impl_->View(); }

size_t membership::MemoryBytes() const { return impl_->MemoryBytes(); }

}  // namespace poplarstair
