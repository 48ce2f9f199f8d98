#include "poplarstair/requests/keeper_sync.h"

#include <algorithm>

#include "poplarstair/requests/keeper_set.h"

namespace poplarstair {

namespace {

constexpr duration kResendInterval = std::chrono::milliseconds(50);
/// Time within which all instances of a site start after the first one.
constexpr duration kSiteStartTime = std::chrono::seconds(2);
constexpr size_t kEntriesPerMessage = 500;

}  // namespace

void keeper_sync::OnMembers(time_point now, const member_view& view) {
  view_ = view;
  std::set<instance_id> roster;
  for (const member& m : view.members) roster.insert(m.address.id);
  if (roster != roster_) {
    roster_ = std::move(roster);
    Restart(now);
  }
  Check(now);
}

void keeper_sync::OnTick(time_point now) {
  keeper_.Forget(now);
  if (keeper_.IsSynced() || now < next_send_) return;
  next_send_ = now + kResendInterval;
  for (const instance_id id : roster_) {
    if (id == self_ || answered_.contains(id)) continue;
    hooks_.send({self_, id, message_channel::kRequest,
                 EncodeRequestMessage(request_message_kind::kClaimSync,
                                      claim_sync{number_})});
  }
  Check(now);
}

void keeper_sync::OnSync(time_point now, const peer_message& message,
                         const claim_sync& sync) {
  claim_list list;
  list.number = sync.number;
  list.synced = keeper_.IsSynced();
  list.site_started = site_started_ && now - *site_started_ < kSiteStartTime;
  const auto send = [&] {
    hooks_.send({self_, message.from, message_channel::kRequest,
                 EncodeRequestMessage(request_message_kind::kClaimList, list)});
    list.entries.clear();
  };
  const auto visit = [&](const claim_entry& entry) {
    const auto keepers = KeepersOf(entry.key, Roster());
    if (std::find(keepers.begin(), keepers.end(), message.from) ==
        keepers.end()) {
      return;
    }
    list.entries.push_back(entry);
    if (list.entries.size() >= kEntriesPerMessage) send();
  };
  keeper_.ForEach(visit);
  hooks_.claims(visit);
  list.last = true;
  send();
}

void keeper_sync::OnList(time_point now, const peer_message& message,
                         const claim_list& list) {
  for (const claim_entry& entry : list.entries) keeper_.Void(now, entry.key);
  if (list.number != number_ || !list.last) return;
  // A member that is not synced itself is asked again until it is.
  if (list.synced) answered_.insert(message.from);
  if (!list.synced || list.site_started) fresh_.insert(message.from);
  Check(now);
}

void keeper_sync::Restart(time_point now) {
  keeper_.SetSynced(false);
  answered_.clear();
  fresh_.clear();
  ++number_;
  began_ = now;
  next_send_ = now;
}

void keeper_sync::Check(time_point now) {
  if (keeper_.IsSynced() || roster_.empty()) return;
  const size_t others = roster_.size() - (roster_.contains(self_) ? 1 : 0);
  const bool all_know = answered_.size() == others;
  // If no member has earlier votes, the whole site is starting.
  const bool none_knows = fresh_.size() == others;
  if (none_knows) site_started_ = now;
  if (all_know || none_knows || now - began_ >= quarantine_) {
    keeper_.SetSynced(true);
  }
}

}  // namespace poplarstair
