#include "poplarstair/testing/request_callers.h"

namespace poplarstair {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kDeadline = seconds(5);
/// Wait beyond the deadline before a caller gives up on an instance.
constexpr duration kPatience = seconds(1);
constexpr duration kRetryDelay = milliseconds(100);
constexpr int kMaxTries = 4;
/// One request in so many may be repeated.
constexpr uint64_t kRepeatableOneIn = 4;

}  // namespace

request_callers::request_callers(event_queue& queue, const deployment& site,
                                 uint64_t seed, hooks actions)
    : queue_(queue), site_(site), random_(seed), hooks_(std::move(actions)) {}

void request_callers::Start(uint32_t rate) {
  if (rate == 0) return;
  for (const service_config& service : site_.config.services) {
    const service_id id = service.id;
    queue_.Every(duration(seconds(1)) / rate,
                 seconds(1) + milliseconds(RandomBelow(random_, 10)),
                 [this, id] { Begin(id); });
  }
}

void request_callers::Begin(service_id service) {
  request wanted;
  wanted.id = "r" + std::to_string(++last_request_);
  wanted.service = service;
  wanted.deadline = queue_.Now() + kDeadline;
  wanted.may_be_repeated = RandomBelow(random_, kRepeatableOneIn) == 0;
  wanted.path = "/submit";
  wanted.body = wanted.id;
  Send(wanted, 1);
  if (duplicates_ > 0 && RandomUnit(random_) < duplicates_) Send(wanted, 1);
}

void request_callers::Send(const request& wanted, int tries) {
  const call_id call(++last_call_);
  waiting_[call] = {wanted, tries};
  hooks_.send(call, wanted);
  const time_point limit = wanted.deadline + kPatience;
  queue_.At(limit, [this, call] {
    const auto found = waiting_.find(call);
    if (found == waiting_.end()) return;
    waiting_.erase(found);
    hooks_.give_up(call);
  });
}

void request_callers::OnAnswer(call_id call, const answer& result) {
  const auto found = waiting_.find(call);
  if (found == waiting_.end()) return;
  const waiting_call ended = found->second;
  waiting_.erase(found);
  const bool again = result.result == outcome::kNotRun ||
                     (result.result == outcome::kOutcomeUnknown &&
                      ended.wanted.may_be_repeated);
  if (again) SendAgain(ended);
}

void request_callers::OnConnectionLost(call_id call) {
  const auto found = waiting_.find(call);
  if (found == waiting_.end()) return;
  const waiting_call ended = found->second;
  waiting_.erase(found);
  // The same id again: whether it has run is for the system to find out.
  SendAgain(ended);
}

void request_callers::SendAgain(const waiting_call& call) {
  if (call.tries >= kMaxTries) return;
  if (queue_.Now() + kRetryDelay >= call.wanted.deadline) return;
  queue_.After(kRetryDelay,
               [this, call] { Send(call.wanted, call.tries + 1); });
}

}  // namespace poplarstair
