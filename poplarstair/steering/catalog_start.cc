#include "poplarstair/steering/catalog_start.h"

#include <algorithm>

namespace poplarstair {

void catalog_start::Begin(time_point now) {
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

time_point catalog_start::NextChange() const {
  return IsAwaiting() ? store_call_at_ : kNever;
}

}  // namespace poplarstair
