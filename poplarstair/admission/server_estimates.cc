#include "poplarstair/admission/server_estimates.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "poplarstair/admission/server_speed.h"

namespace poplarstair {

namespace {

/// Part of the usual work time below which an answer is taken for a refusal.
constexpr double kLeastWork = 0.25;

/// Weight of `age` in an exponential average over `window`.
double Decay(duration age, duration window) {
  return std::exp(-ToSeconds(age) / ToSeconds(window));
}

}  // namespace

void server_estimates::Smooth(time_point now, estimate& e) {
  const double kept = Decay(now - e.load_at, settings_.load_window);
  e.smoothed_load = kept * e.smoothed_load + (1 - kept) * e.in_flight;
  e.load_at = now;
}

void server_estimates::SetServer(uint32_t row, uint32_t service, uint32_t slots,
                                 duration cold_time) {
  rows_[row].service = service;
  rows_[row].cold_time = cold_time;
  rows_[row].slots = std::max(slots, 1U);
  if (usual_work_.size() <= service) usual_work_.resize(service + 1);
}

void server_estimates::Forget(uint32_t row) {
  const estimate known = std::exchange(rows_[row], {});
  rows_[row].service = known.service;
  rows_[row].slots = known.slots;
  rows_[row].cold_time = known.cold_time;
}

void server_estimates::OnFlowClosed(uint32_t row) {
  estimate& e = rows_[row];
  if (e.flows > 0) --e.flows;
}

double server_estimates::OnRequestSent(time_point now, uint32_t row) {
  estimate& e = rows_[row];
  const double per_slot = PerSlot(now, e, e.slots);
  Smooth(now, e);
  ++e.in_flight;
  return per_slot;
}

void server_estimates::EndRequest(time_point now, estimate& e) {
  Smooth(now, e);
  if (e.in_flight > 0) --e.in_flight;
}

double server_estimates::Unanswered(time_point now, const estimate& e) const {
  return e.unanswered * Decay(now - e.unanswered_at, settings_.forget_after);
}

void server_estimates::NoteAnswer(time_point now, estimate& e,
                                  bool is_answered) {
  const double before = Unanswered(now, e);
  const double sample = is_answered ? 0 : 1;
  e.unanswered = before + settings_.unanswered_weight * (sample - before);
  e.unanswered_at = now;
}

void server_estimates::OnRequestDropped(time_point now, uint32_t row,
                                        duration waited) {
  estimate& e = rows_[row];
  EndRequest(now, e);
  // A caller that leaves sooner says nothing about the server.
  const bool is_overdue =
      static_cast<double>(waited.count()) > kSlowFactor * RequestTime(now, e);
  if (is_overdue) NoteAnswer(now, e, false);
}

void server_estimates::OnRequestDone(time_point now, uint32_t row,
                                     duration took,
                                     std::optional<double> per_slot) {
  estimate& e = rows_[row];
  EndRequest(now, e);
  NoteAnswer(now, e, true);
  const double sample = static_cast<double>(took.count());
  if (per_slot) AddWorkTime(now, e, sample / std::max(*per_slot, 1.0));
  const double before = RequestTime(now, e);
  e.request_time = before + settings_.time_weight * (sample - before);
  e.time_at = now;
  // Slower than a single server's: one slow server must not move it.
  const double usual_weight = settings_.time_weight / 8;
  usual_time_ = usual_time_ == 0
                    ? sample
                    : usual_time_ + usual_weight * (sample - usual_time_);
}

void server_estimates::AddWorkTime(time_point now, estimate& e, double sample) {
  // What is answered much sooner than usual was refused by a full or broken
  // server, which would draw more requests the more it refuses.
  if (sample >= kLeastWork * UsualWork(e)) {
    e.work.AddOwn(now, settings_.forget_after, sample);
  }
  if (usual_work_.size() <= e.service) usual_work_.resize(e.service + 1);
  double& usual = usual_work_[e.service];
  const double weight = settings_.time_weight / 8;
  usual = usual == 0 ? sample : usual + weight * (sample - usual);
}

void server_estimates::AddPeerWorkTime(time_point now, uint32_t row,
                                       const work_time_samples& told) {
  rows_[row].work.AddPeer(now, settings_.forget_after, told);
}

work_time_samples server_estimates::OwnWorkTime(time_point now,
                                                uint32_t row) const {
  return rows_[row].work.Own(now, settings_.forget_after);
}

double server_estimates::UsualWork(const estimate& e) const {
  const bool is_known =
      e.service < usual_work_.size() && usual_work_[e.service] > 0;
  return is_known ? usual_work_[e.service]
                  : static_cast<double>(settings_.first_time.count());
}

work_time_samples server_estimates::WorkTime(time_point now,
                                             uint32_t row) const {
  const estimate& e = rows_[row];
  return e.work.Combined(now, settings_.forget_after, UsualWork(e));
}

bool server_estimates::OnProgress(time_point now, uint32_t row,
                                  time_point flow_since) {
  estimate& e = rows_[row];
  const bool was_silent = e.is_silent || e.is_on_trial;
  // A process that has started anew knows no flow of before.
  if (flow_since <= e.answered_until) {
    e.answers_since = kNever;
  } else if (e.is_silent) {
    e.answers_since = now;
  }
  if (was_silent) e.silence_ended_at = now;
  e.last_progress = now;
  e.is_on_trial = false;
  e.failed_trials = 0;
  ClearSilence(e);
  return was_silent;
}

void server_estimates::ClearSilence(estimate& e) {
  e.waiting = 0;
  e.repeats = 0;
  e.peer_witnesses = 0;
  e.is_silent = false;
  e.is_unreachable = false;
}

bool server_estimates::OnRepeat(time_point now, uint32_t row, uint64_t flow,
                                time_point sent_at) {
  if (now - sent_at < settings_.repeat_after) return false;
  estimate& e = rows_[row];
  // It has answered somebody since: this flow has a trouble of its own.
  if (e.last_progress >= sent_at) return false;
  if (!e.is_silent && now - e.witness_at > settings_.witness_age) {
    e.waiting = 0;
    e.repeats = 0;
  }
  e.repeats = static_cast<uint8_t>(std::min(e.repeats + 1, 255));
  e.witness_at = now;
  return AddWitness(now, e, flow);
}

bool server_estimates::OnOverdue(time_point now, uint32_t row, uint64_t flow,
                                 time_point sent_at) {
  estimate& e = rows_[row];
  return e.last_progress < sent_at && AddWitness(now, e, flow);
}

bool server_estimates::AddWitness(time_point now, estimate& e, uint64_t flow) {
  if (!e.is_silent && now - e.witness_at > settings_.witness_age) {
    e.waiting = 0;
    e.repeats = 0;
  }
  e.witness_at = now;
  const auto end = e.waiting_flows.begin() + e.waiting;
  const bool is_new = std::find(e.waiting_flows.begin(), end, flow) == end;
  if (is_new && e.waiting < kMaxWitnesses) e.waiting_flows[e.waiting++] = flow;
  // One flow that has repeated twice weighs as much as two.
  const bool is_silent =
      e.waiting + e.peer_witnesses >= settings_.silent_flows ||
      e.repeats >= settings_.silent_flows;
  return is_silent && BecomeSilent(now, e);
}

bool server_estimates::OnPeerWitnesses(time_point now, uint32_t row,
                                       uint32_t witnesses) {
  estimate& e = rows_[row];
  // Own evidence that it lives goes before hearsay.
  constexpr duration kOwnEvidence = std::chrono::milliseconds(300);
  if (e.last_progress >= now - kOwnEvidence) return false;
  if (now - e.witness_at > settings_.witness_age && !e.is_silent) e.waiting = 0;
  e.peer_witnesses = static_cast<uint8_t>(std::min(witnesses, 255U));
  if (e.is_on_trial) return false;
  const bool is_silent = e.waiting + e.peer_witnesses >= settings_.silent_flows;
  return is_silent && BecomeSilent(now, e);
}

bool server_estimates::BecomeSilent(time_point now, estimate& e) {
  if (e.is_silent) return false;
  // The first test is due at once: it tells a lost packet from a lost server.
  e.next_test = now;
  if (e.is_on_trial) {
    e.failed_trials = static_cast<uint8_t>(std::min(e.failed_trials + 1, 8));
    e.next_test += std::min(settings_.first_test * (1 << e.failed_trials),
                            settings_.longest_test);
  }
  // Until it is confirmed, answers since an earlier silence may be those of
  // another process.
  if (!MayHaveRestarted(now, e)) {
    e.answers_since = kNever;
    e.answered_until = e.last_progress;
  }
  e.is_silent = true;
  e.is_on_trial = false;
  return true;
}

void server_estimates::SetPeerLoad(time_point now, uint32_t row, double load) {
  rows_[row].peer_load = load;
  rows_[row].peer_load_at = now;
}

void server_estimates::OnReachable(time_point now, uint32_t row) {
  estimate& e = rows_[row];
  if (!e.is_silent) return;
  e.answers_since = now;
  ClearSilence(e);
  e.is_on_trial = true;
}

void server_estimates::OnPlaced(time_point now, uint32_t row) {
  rows_[row].next_trial = now + settings_.trial_interval;
}

void server_estimates::OnUnreachable(uint32_t row) {
  estimate& e = rows_[row];
  if (e.is_silent) e.is_unreachable = true;
}

uint32_t server_estimates::Witnesses(uint32_t row) const {
  const estimate& e = rows_[row];
  return e.is_silent ? uint32_t{e.waiting} + e.peer_witnesses : 0;
}

double server_estimates::OwnLoad(time_point now, uint32_t row) const {
  return SmoothedLoad(now, rows_[row]);
}

double server_estimates::SmoothedLoad(time_point now, const estimate& e) const {
  const double kept = Decay(now - e.load_at, settings_.load_window);
  return kept * e.smoothed_load + (1 - kept) * e.in_flight;
}

double server_estimates::RequestTime(time_point now, const estimate& e) const {
  const double usual = usual_time_ > 0
                           ? usual_time_
                           : static_cast<double>(settings_.first_time.count());
  if (e.request_time == 0) return usual;
  const double kept = Decay(now - e.time_at, settings_.forget_after);
  return kept * e.request_time + (1 - kept) * usual;
}

double server_estimates::PerSlot(time_point now, const estimate& e,
                                 uint32_t slots) const {
  const bool has_peers = now - e.peer_load_at <= settings_.peer_load_age;
  const double own =
      std::max(static_cast<double>(e.in_flight), SmoothedLoad(now, e));
  const double load = own + (has_peers ? e.peer_load : 0);
  return (load + 1) / slots;
}

double server_estimates::Occupancy(time_point now, uint32_t row,
                                   uint32_t slots) const {
  const estimate& e = rows_[row];
  return PerSlot(now, e, slots) * Penalty(now, e);
}

double server_estimates::ExpectedWaitBehind(time_point now, uint32_t row,
                                            uint32_t in_progress,
                                            uint32_t slots) const {
  const double per_slot = (in_progress + 1.0) / slots;
  return per_slot * Penalty(now, rows_[row]) * WorkTime(now, row).mean;
}

double server_estimates::ExpectedWait(time_point now, uint32_t row,
                                      uint32_t slots) const {
  return Occupancy(now, row, slots) * WorkTime(now, row).mean;
}

bool server_estimates::HasFreeSlot(time_point now, uint32_t row,
                                   uint32_t slots) const {
  return Occupancy(now, row, slots) <= 1;
}

}  // namespace poplarstair
