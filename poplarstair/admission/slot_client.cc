#include "poplarstair/admission/slot_client.h"

#include <algorithm>

namespace poplarstair {

namespace {

constexpr duration kAskTimeout = std::chrono::milliseconds(20);
constexpr duration kRenewInterval = std::chrono::milliseconds(100);
/// An idle permit that nobody else waits for is kept this long.
constexpr duration kLinger = std::chrono::milliseconds(30);
constexpr duration kLongWish = std::chrono::milliseconds(40);
constexpr duration kStaleInterval = std::chrono::milliseconds(20);
constexpr duration kSlowInterval = std::chrono::milliseconds(25);
/// A permit that others wait for is given back after this long.
constexpr duration kYieldAfter = std::chrono::milliseconds(250);

}  // namespace

bool slot_client::CanStart(time_point now) const {
  return InUse() < Permits(now);
}

void slot_client::OnStart(time_point now, attempt_id id, time_point deadline) {
  running_[id] = {now, deadline};
  last_used_ = now;
}

void slot_client::OnEnd(time_point now, attempt_id id, attempt_result result) {
  const auto it = running_.find(id);
  if (it == running_.end()) return;
  const running_attempt ended = it->second;
  last_used_ = now;
  running_.erase(it);
  switch (result) {
    case attempt_result::kComplete:
      Learn(now - ended.started);
      break;
    case attempt_result::kNotProcessed:
      ++refused_;
      // By then the requests that the server is working on have ended.
      back_off_until_ =
          now + (usual_ > duration::zero() ? usual_ : duration(kSlotLease));
      break;
    case attempt_result::kLost:
      lost_.push_back(ended.deadline);
      break;
  }
  if (others_wait_ && now - held_since_ >= kYieldAfter) yielding_ = true;
}

std::optional<slot_ask> slot_client::Ask(time_point now, uint64_t life,
                                         uint32_t wanted, bool forced) {
  DropLost(now);
  const uint32_t held = Keep(now, wanted);
  const bool slow = slow_ || (IsSlow(now) && now - asked_at_ >= kSlowInterval);
  const bool new_wish = wanted > Permits(now) && wanted > last_wanted_;
  const bool news = held < last_held_ || refused_ > 0 || slow || new_wish;
  const bool live = held > 0 || wanted > 0;
  // A wish that is no longer needed must not be granted after its lease.
  const bool stale = wanted < last_wanted_ && last_wanted_ > last_held_;
  const duration interval = stale ? kStaleInterval : kRenewInterval;
  const bool due = (live || stale) && now - asked_at_ >= interval;
  const bool unanswered = !answered_ && now - asked_at_ < kAskTimeout;
  const bool send = answered_ ? news || due : !unanswered;
  if (!forced && !send) return std::nullopt;
  // What the granting instance has taken back stays taken back.
  permits_ = std::min(permits_, held);
  if (held == 0 || yielding_) held_since_ = now;
  yielding_ = false;
  if (last_wanted_ <= last_held_) wished_at_ = now;
  last_held_ = held;
  last_wanted_ = wanted;
  asked_at_ = now;
  answered_ = false;
  slot_ask ask{server_.Value(),
               life,
               ++number_,
               held,
               wanted,
               {},
               refused_,
               0,
               static_cast<uint32_t>(usual_.count())};
  ask.service_times_us = std::exchange(service_times_us_, {});
  refused_ = 0;
  slow_ = false;
  for (const auto& [id, r] : running_) {
    ask.oldest_running_us =
        std::max(ask.oldest_running_us,
                 static_cast<uint32_t>((now - r.started).count()));
  }
  return ask;
}

void slot_client::OnGrant(time_point now, const slot_grant& grant) {
  if (grant.number != number_) return;
  answered_ = true;
  others_wait_ = grant.others_wait;
  usual_ = duration(grant.usual_us);
  if (now >= asked_at_ + kSlotLease) return;
  // Fewer permits than attempts: none of those that end is followed by another.
  permits_ = grant.permits;
  valid_until_ = asked_at_ + kSlotLease;
}

void slot_client::OnGranterChanged() {
  permits_ = 0;
  answered_ = true;
  // Grants for earlier asks are void.
  ++number_;
}

bool slot_client::WaitsLong(time_point now) const {
  return last_wanted_ > Permits(now) && now - wished_at_ >= kLongWish;
}

uint32_t slot_client::InUse() const {
  return static_cast<uint32_t>(running_.size() + lost_.size());
}

uint32_t slot_client::Idle(time_point now) const {
  const uint32_t permits = Permits(now);
  return permits - std::min(permits, InUse());
}

uint32_t slot_client::Permits(time_point now) const {
  return now < valid_until_ ? permits_ : 0;
}

/// Permits to keep: those in use or wanted, and idle ones for a short while.
uint32_t slot_client::Keep(time_point now, uint32_t wanted) const {
  const uint32_t in_use = InUse();
  if (yielding_) return in_use;
  const uint32_t permits = Permits(now);
  const bool lingers = !others_wait_ && now - last_used_ < kLinger;
  return std::max(in_use, lingers ? permits : std::min(permits, wanted));
}

bool slot_client::IsSlow(time_point now) const {
  return usual_ > duration::zero() &&
         std::any_of(running_.begin(), running_.end(), [&](const auto& r) {
           return now - r.second.started > usual_ * kSlowFactor;
         });
}

void slot_client::Learn(duration service_time) {
  service_times_us_.push_back(static_cast<uint32_t>(service_time.count()));
  if (usual_ > duration::zero() && service_time > usual_ * kSlowFactor) {
    slow_ = true;
  }
}

void slot_client::DropLost(time_point now) {
  std::erase_if(lost_, [now](time_point deadline) { return deadline <= now; });
}

}  // namespace poplarstair
