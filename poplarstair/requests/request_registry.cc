#include "poplarstair/requests/request_registry.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "poplarstair/requests/claim_keeper.h"
#include "poplarstair/requests/keeper_set.h"
#include "poplarstair/requests/keeper_sync.h"

namespace poplarstair {

namespace {

constexpr duration kClaimInterval = std::chrono::milliseconds(20);
constexpr duration kResendInterval = std::chrono::milliseconds(50);

enum class claim_state : uint8_t {
  kClaiming,
  /// Another instance holds the request, and this one waits for its report.
  kFollowing,
  /// This instance holds the request, whose outcome is not yet known.
  kHeld,
  kEnded,
  /// Given up without a majority, before an attempt was sent or a definite
  /// outcome was reported.
  kGivenUp,
};

struct waiting_call {
  call_id id;
  time_point deadline;
};

struct claim_record {
  claim_state state = claim_state::kClaiming;
  std::map<instance_id, claim_holder> votes;
  /// Holders that gave up and released their votes to this instance.
  std::vector<claim_holder> released;
  std::optional<claim_holder> released_to;
  claim_holder leader;
  std::vector<waiting_call> calls;
  std::vector<instance_id> followers;
  std::unique_ptr<request> wanted;
  /// The first keepers have been asked.
  bool asked = false;
  answer result;
  time_point give_up_at;
  time_point next_send;
};

struct aged_key {
  time_point forget_at;
  request_key key;
};

const answer kUnknownOutcome{outcome::kOutcomeUnknown,
                             refusal_reason::kNotExecutor, 0, ""};

}  // namespace

class request_registry::impl {
 public:
  impl(const request_registry_settings& settings, instance_id self,
       hooks actions)
      : settings_(settings),
        self_(self),
        hooks_(std::move(actions)),
        keeper_({settings.remember, settings.max_records}),
        sync_(self, keeper_, settings.quarantine,
              {hooks_.send,
               [this](const std::function<void(const claim_entry&)>& visit) {
                 VisitClaims(visit);
               }}) {}

  void Join(time_point now, call_id call, request wanted) {
    const request_key key = request_key::Of(wanted.id);
    const auto it = records_.find(key);
    if (it == records_.end()) return Begin(now, key, call, std::move(wanted));
    claim_record& record = it->second;
    if (record.state == claim_state::kEnded) {
      return hooks_.end_call(call, record.result);
    }
    AddCall(key, record, {call, wanted.deadline});
    if (record.state != claim_state::kGivenUp) return;
    record.wanted = std::make_unique<request>(std::move(wanted));
    if (!record.released_to) return Claim(now, key, record);
    // This instance has released its votes to another one, which it follows.
    record.leader = *record.released_to;
    record.state = claim_state::kFollowing;
    record.next_send = now;
    open_.insert(key);
    AdvanceFollowing(now, key, record);
  }

  void End(const request_key& key, const answer& result) {
    const auto it = records_.find(key);
    if (it == records_.end() || it->second.state == claim_state::kEnded) return;
    Settle(key, it->second, result);
  }

  bool Leave(call_id call, std::optional<request_key>& alone) {
    const auto it = key_of_call_.find(call);
    if (it == key_of_call_.end()) return false;
    const request_key key = it->second;
    key_of_call_.erase(it);
    claim_record& record = records_.at(key);
    std::erase_if(record.calls,
                  [call](const waiting_call& c) { return c.id == call; });
    if (record.calls.empty() && record.followers.empty()) alone = key;
    return true;
  }

  bool OnMessage(time_point now, const peer_message& message) {
    if (message.body.empty()) return false;
    const auto kind = static_cast<request_message_kind>(message.body[0]);
    std::string_view body{message.body};
    body.remove_prefix(1);
    switch (kind) {
      case request_message_kind::kClaim:
        OnClaim(now, message.from, DecodeMessage<claim_message>(body));
        return true;
      case request_message_kind::kVote:
        OnVote(now, message.from, DecodeMessage<vote_message>(body));
        return true;
      case request_message_kind::kOutcomeQuery:
        OnQuery(message.from, DecodeMessage<outcome_query>(body));
        return true;
      case request_message_kind::kOutcomeReport:
        OnReport(now, message.from, DecodeMessage<outcome_report>(body));
        return true;
      case request_message_kind::kClaimSync:
        sync_.OnSync(now, message, DecodeMessage<claim_sync>(body));
        return true;
      case request_message_kind::kClaimList:
        sync_.OnList(now, message, DecodeMessage<claim_list>(body));
        return true;
      case request_message_kind::kSlotAsk:
      case request_message_kind::kSlotGrant:
      case request_message_kind::kSlotProbe:
        return false;
    }
    return false;
  }

  void OnMembers(time_point now, const member_view& view) {
    const member* self = view.Find(self_);
    if (self != nullptr) me_ = {self_.Value(), self->life};
    sync_.OnMembers(now, view);
  }

  void OnTick(time_point now) {
    sync_.OnTick(now);
    const std::vector<request_key> open(open_.begin(), open_.end());
    for (const request_key& key : open) Advance(now, key);
    while (!by_age_.empty() && by_age_.front().forget_at <= now) {
      Forget(now, by_age_.front().key);
      by_age_.pop_front();
    }
  }

  size_t CallsWaiting() const { return key_of_call_.size(); }
  size_t Records() const { return records_.size(); }

 private:
  void Begin(time_point now, const request_key& key, call_id call,
             request wanted) {
    if (records_.size() >= settings_.max_records || me_.life == 0) {
      // Without a record of the request its outcome cannot be determined.
      return hooks_.end_call(call, kUnknownOutcome);
    }
    // The request must end before the keepers discard their votes.
    wanted.deadline = std::min(wanted.deadline, now + settings_.remember / 2);
    claim_record& record = records_[key];
    by_age_.push_back({now + settings_.remember, key});
    AddCall(key, record, {call, wanted.deadline});
    record.wanted = std::make_unique<request>(std::move(wanted));
    Claim(now, key, record);
  }

  void AddCall(const request_key& key, claim_record& record,
               const waiting_call& call) {
    record.calls.push_back(call);
    key_of_call_[call.id] = key;
  }

  void Claim(time_point now, const request_key& key, claim_record& record) {
    record.state = claim_state::kClaiming;
    // Votes that come later leave no time for the attempt.
    record.give_up_at =
        record.wanted->deadline - hooks_.attempt_time(record.wanted->service);
    record.next_send = now;
    open_.insert(key);
    Advance(now, key);
  }

  /// Takes the next step of a claim that is not settled.
  void Advance(time_point now, const request_key& key) {
    const auto it = records_.find(key);
    if (it == records_.end()) return;
    claim_record& record = it->second;
    DropLateCalls(now, record);
    if (record.state == claim_state::kFollowing) {
      return AdvanceFollowing(now, key, record);
    }
    if (record.state != claim_state::kClaiming) return;
    if (now >= record.give_up_at || record.calls.empty() ||
        !CanWin(key, record)) {
      return GiveUp(key, record);
    }
    if (now < record.next_send) return;
    record.next_send = now + kClaimInterval;
    AskKeepers(now, key, record);
    Count(now, key, record);
  }

  void AskKeepers(time_point now, const request_key& key,
                  claim_record& record) {
    const claim_message claim{key, me_};
    const auto keepers = KeepersOf(key, sync_.Roster());
    // The first round asks only as many keepers as a majority needs; later
    // rounds ask all of them.
    size_t needed = record.asked ? keepers.size() : keepers.size() / 2 + 1;
    record.asked = true;
    for (const instance_id id : keepers) {
      if (needed == 0) return;
      if (record.votes.contains(id)) continue;
      const member* m = sync_.View().Find(id);
      if (m != nullptr && m->state != member_state::kDead) --needed;
      if (id != self_) {
        Send(id, request_message_kind::kClaim, claim);
        continue;
      }
      const auto vote = keeper_.Vote(now, claim);
      if (vote) record.votes[id] = *vote;
    }
  }

  /// Counts the votes. Takes hold of the request if this instance has a
  /// majority, otherwise follows another holder if a vote names one.
  void Count(time_point now, const request_key& key, claim_record& record) {
    if (record.state != claim_state::kClaiming) return;
    const auto keepers = KeepersOf(key, sync_.Roster());
    size_t mine = 0;
    const claim_holder* other = nullptr;
    for (const instance_id id : keepers) {
      const auto vote = record.votes.find(id);
      if (vote == record.votes.end()) continue;
      if (IsMine(record, vote->second)) {
        ++mine;
      } else if (vote->second.instance != 0) {
        other = &vote->second;
      }
    }
    if (mine * 2 > keepers.size()) return Win(now, key, record);
    if (other != nullptr) Follow(now, key, record, *other);
  }

  /// False if no majority can be had from the keepers that answer: the caller
  /// is told at once, and may ask through another instance.
  bool CanWin(const request_key& key, const claim_record& record) const {
    const auto keepers = KeepersOf(key, sync_.Roster());
    size_t possible = 0;
    for (const instance_id id : keepers) {
      const auto vote = record.votes.find(id);
      const bool may_be_mine =
          vote == record.votes.end()
              ? MayAnswer(id)
              : IsMine(record, vote->second) || IsLiving(vote->second);
      if (may_be_mine) ++possible;
    }
    return possible * 2 > keepers.size();
  }

  bool MayAnswer(instance_id id) const {
    if (id == self_) return true;
    const member* m = sync_.View().Find(id);
    return m != nullptr && (m->state == member_state::kAlive ||
                            m->state == member_state::kLeaving);
  }

  bool IsMine(const claim_record& record, const claim_holder& holder) const {
    return (holder == me_ && !record.released_to) ||
           std::find(record.released.begin(), record.released.end(), holder) !=
               record.released.end();
  }

  void Win(time_point now, const request_key& key, claim_record& record) {
    record.state = claim_state::kHeld;
    open_.erase(key);
    request wanted = std::move(*record.wanted);
    record.wanted.reset();
    hooks_.won(now, key, std::move(wanted));
  }

  /// Follows `holder` and asks it for the outcome. If it has died, the claim
  /// goes on instead.
  void Follow(time_point now, const request_key& key, claim_record& record,
              const claim_holder& holder) {
    record.leader = holder;
    if (!IsLiving(holder)) return;
    record.state = claim_state::kFollowing;
    record.next_send = now;
    AdvanceFollowing(now, key, record);
  }

  bool IsLiving(const claim_holder& holder) const {
    const member* m = sync_.View().Find(instance_id(holder.instance));
    return m != nullptr && m->life <= holder.life &&
           m->state != member_state::kDead;
  }

  void AdvanceFollowing(time_point now, const request_key& key,
                        claim_record& record) {
    if (record.calls.empty()) return GiveUp(key, record);
    if (now < record.next_send) return;
    if (!IsLiving(record.leader)) return Resume(now, key, record);
    record.next_send = now + kResendInterval;
    Send(instance_id(record.leader.instance),
         request_message_kind::kOutcomeQuery, outcome_query{key, me_});
  }

  /// Claims the request again after its holder has died or released it. A
  /// majority of the keepers may still vote for this instance.
  void Resume(time_point now, const request_key& key, claim_record& record) {
    Claim(now, key, record);
  }

  void GiveUp(const request_key& key, claim_record& record) {
    record.state = claim_state::kGivenUp;
    record.wanted.reset();
    open_.erase(key);
    EndCalls(record, kUnknownOutcome);
    Report(key, record);
  }

  void DropLateCalls(time_point now, claim_record& record) {
    const auto late = std::stable_partition(
        record.calls.begin(), record.calls.end(),
        [now](const waiting_call& c) { return c.deadline > now; });
    const std::vector<waiting_call> ended(late, record.calls.end());
    record.calls.erase(late, record.calls.end());
    for (const waiting_call& c : ended) {
      key_of_call_.erase(c.id);
      hooks_.end_call(c.id, kUnknownOutcome);
    }
  }

  void EndCalls(claim_record& record, const answer& result) {
    const std::vector<waiting_call> ended = std::exchange(record.calls, {});
    for (const waiting_call& c : ended) {
      key_of_call_.erase(c.id);
      hooks_.end_call(c.id, result);
    }
  }

  void Settle(const request_key& key, claim_record& record,
              const answer& result) {
    record.state = claim_state::kEnded;
    record.result = result;
    record.wanted.reset();
    open_.erase(key);
    EndCalls(record, result);
    Report(key, record);
    answer_bytes_ += result.body.size();
    if (answer_bytes_ <= settings_.max_answer_bytes) return;
    answer_bytes_ -= result.body.size();
    // Answers are stored complete or not at all; late copies get an unknown
    // outcome.
    if (!result.body.empty()) record.result = kUnknownOutcome;
  }

  /// Reports the outcome to all followers.
  void Report(const request_key& key, claim_record& record) {
    for (const instance_id id : std::exchange(record.followers, {})) {
      Send(id, request_message_kind::kOutcomeReport, ReportOf(key, record));
    }
  }

  static outcome_report ReportOf(const request_key& key,
                                 const claim_record& record) {
    outcome_report report;
    report.key = key;
    report.state = static_cast<uint8_t>(record.state == claim_state::kEnded
                                            ? holder_state::kEnded
                                            : holder_state::kUnderWay);
    report.result = static_cast<uint8_t>(record.result.result);
    report.reason = static_cast<uint8_t>(record.result.reason);
    report.status = record.result.status;
    report.body = record.result.body;
    return report;
  }

  void OnClaim(time_point now, instance_id from, const claim_message& claim) {
    const auto vote = keeper_.Vote(now, claim);
    Send(from, request_message_kind::kVote,
         vote_message{claim.key, vote.has_value(),
                      vote.value_or(claim_holder{})});
  }

  void OnVote(time_point now, instance_id from, const vote_message& vote) {
    const auto it = records_.find(vote.key);
    if (it == records_.end() || !vote.decided) return;
    it->second.votes.emplace(from, vote.holder);
    Count(now, vote.key, it->second);
  }

  void OnQuery(instance_id from, const outcome_query& query) {
    const auto it = records_.find(query.key);
    outcome_report report;
    report.key = query.key;
    report.state = static_cast<uint8_t>(holder_state::kNoRecord);
    if (it != records_.end()) {
      claim_record& record = it->second;
      report = ReportOf(query.key, record);
      if (record.state == claim_state::kGivenUp) {
        Release(record, query.asker, report);
      } else if (record.state != claim_state::kEnded &&
                 record.followers.size() < kMaxFollowers) {
        AddFollower(record, from);
      }
    }
    Send(from, request_message_kind::kOutcomeReport, report);
  }

  static void AddFollower(claim_record& record, instance_id from) {
    if (std::find(record.followers.begin(), record.followers.end(), from) ==
        record.followers.end()) {
      record.followers.push_back(from);
    }
  }

  /// Releases the votes for this instance to the first instance that asks, and
  /// to no other.
  void Release(claim_record& record, const claim_holder& asker,
               outcome_report& report) const {
    if (!record.released_to) record.released_to = asker;
    report.state = static_cast<uint8_t>(*record.released_to == asker
                                            ? holder_state::kReleased
                                            : holder_state::kNoRecord);
  }

  void OnReport(time_point now, instance_id from,
                const outcome_report& report) {
    const auto it = records_.find(report.key);
    if (it == records_.end()) return;
    claim_record& record = it->second;
    if (record.state != claim_state::kFollowing ||
        record.leader.instance != from.Value()) {
      return;
    }
    switch (static_cast<holder_state>(report.state)) {
      case holder_state::kUnderWay:
        return;
      case holder_state::kEnded:
        return Settle(report.key, record,
                      {static_cast<outcome>(report.result),
                       static_cast<refusal_reason>(report.reason),
                       report.status, report.body});
      case holder_state::kReleased:
        record.released.push_back(record.leader);
        return Resume(now, report.key, record);
      case holder_state::kNoRecord:
        return GiveUp(report.key, record);
    }
  }

  void VisitClaims(const std::function<void(const claim_entry&)>& visit) const {
    for (const request_key& key : SortedKeys(records_)) visit({key, me_});
  }

  void Forget(time_point now, const request_key& key) {
    const auto it = records_.find(key);
    if (it == records_.end()) return;
    if (it->second.state != claim_state::kEnded &&
        it->second.state != claim_state::kGivenUp) {
      by_age_.push_back({now + settings_.remember, key});
      return;
    }
    answer_bytes_ -= std::min(answer_bytes_, it->second.result.body.size());
    records_.erase(it);
  }

  template <typename Message>
  void Send(instance_id to, request_message_kind kind, const Message& message) {
    hooks_.send({self_, to, message_channel::kRequest,
                 EncodeRequestMessage(kind, message)});
  }

  static constexpr size_t kMaxFollowers = 16;

  const request_registry_settings settings_;
  const instance_id self_;
  const hooks hooks_;
  claim_holder me_;
  claim_keeper keeper_;
  keeper_sync sync_;
  absl::flat_hash_map<request_key, claim_record> records_;
  std::set<request_key> open_;
  absl::flat_hash_map<call_id, request_key> key_of_call_;
  std::deque<aged_key> by_age_;
  size_t answer_bytes_ = 0;
};

request_registry::request_registry(const request_registry_settings& settings,
                                   instance_id self, hooks actions)
    : impl_(std::make_unique<impl>(settings, self, std::move(actions))) {}
request_registry::~request_registry() = default;

void request_registry::Join(time_point now, call_id call, request wanted) {
  impl_->Join(now, call, std::move(wanted));
}
void request_registry::End(const request_key& key, const answer& result) {
  impl_->End(key, result);
}
bool request_registry::Leave(call_id call, std::optional<request_key>& alone) {
  return impl_->Leave(call, alone);
}
bool request_registry::OnMessage(time_point now, const peer_message& message) {
  return impl_->OnMessage(now, message);
}
void request_registry::OnMembers(time_point now, const member_view& view) {
  impl_->OnMembers(now, view);
}
void request_registry::OnTick(time_point now) { impl_->OnTick(now); }
size_t request_registry::CallsWaiting() const { return impl_->CallsWaiting(); }
size_t request_registry::Records() const { return impl_->Records(); }

}  // namespace poplarstair
