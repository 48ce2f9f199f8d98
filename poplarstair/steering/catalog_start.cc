#include "poplarstair/steering/catalog_start.h"

#include <algorithm>

namespace poplarstair {

void catalog_start::Begin(time_point now) {
  began_at_ = now;
  if (!settings_.is_first_start) store_call_at_ = now + settings_.answer_time;
}

void catalog_start::OnAnswer(time_point now, bool has_fresh_catalog) {
  if (!IsAwaiting() || has_source_) return;
  if (has_fresh_catalog) {
    has_source_ = true;
    store_call_at_ = now + settings_.hand_over_time;
    return;
  }
  // An instance that has no catalog has just started too: likely all have, and
  // waiting for others would only prolong the outage.
  store_call_at_ = now;
}

void catalog_start::OnFetchFailed(time_point now) {
  if (IsAwaiting()) store_call_at_ = std::min(store_call_at_, now);
}

bool catalog_start::TakeStoreCall(time_point now) {
  if (!IsAwaiting() || now < store_call_at_) return false;
  is_over_ = true;
  return true;
}

bool catalog_start::PrefersOwnDomain(time_point now) const {
  return IsAwaiting() && now - began_at_ < settings_.near_answer_time;
}

time_point catalog_start::NextChange(time_point now) const {
  if (!IsAwaiting()) return kNever;
  const time_point far_at = began_at_ + settings_.near_answer_time;
  return now < far_at ? std::min(far_at, store_call_at_) : store_call_at_;
}

}  // namespace poplarstair
