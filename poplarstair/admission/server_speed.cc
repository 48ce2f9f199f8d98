#include "poplarstair/admission/server_speed.h"

#include <algorithm>
#include <cmath>

namespace poplarstair {

namespace {

/// Successes in a row that raise the limit of a warm server by one more.
constexpr int kSuccessesToGrow = 4;
/// Least slowdown of a cold server that the test is made for.
constexpr double kColdSlowdown = 4;
/// Evidence at which a server counts as warm: its times are 200 times likelier
/// from a warm server.
const double kWarmBound = -std::log(200);
/// Evidence of a cold server beyond this adds nothing, so that one that has
/// warmed up is noticed within some ten requests.
constexpr double kMostColdEvidence = 1;
/// After this many requests in doubt, their mean is the usual time: a server
/// that has turned slow for good is not cold. Some tens of seconds at one
/// request at a time; cold starts are over by then.
constexpr int kSamplesToAccept = 400;
/// Requests that the usual time is averaged over: chance moves it by some
/// tenth only then.
constexpr int kSmoothedSamples = 100;
/// A single request moves the usual time by no more than if it had taken so
/// many times the usual.
constexpr double kMostRelative = 5;

}  // namespace

// Times are taken as exponentially distributed: of the distributions with a
// given mean and no more known of them, the one that claims least. The test is
// Wald's. It is made in one direction only: a single slow request is enough to
// drop the limit, as a cold server falls over under more than it bears.

double server_speed::Relative(duration time) const {
  return static_cast<double>(time.count()) /
         static_cast<double>(std::max<int64_t>(usual_.count(), 1));
}

bool server_speed::IsSign(duration time) const {
  return usual_ > duration::zero() && Relative(time) > kSlowFactor;
}

void server_speed::OnCompleted(duration service_time) {
  if (usual_ == duration::zero()) usual_ = service_time;
  cold_evidence_ += Relative(service_time) * (1 - 1 / kColdSlowdown) -
                    std::log(kColdSlowdown);
  cold_evidence_ = std::clamp(cold_evidence_, kWarmBound, kMostColdEvidence);
  const bool is_sign = limit_ > 1 && IsSign(service_time);
  Learn(service_time);
  if (is_sign) return Drop();
  const bool is_proved = cold_evidence_ <= kWarmBound;
  if (limit_ == 1 ? !is_proved : ++successes_ < kSuccessesToGrow) return;
  successes_ = 0;
  samples_in_doubt_ = 0;
  limit_ = std::min(limit_ + 1, std::max(slots_, 1U));
}

void server_speed::OnRefused() { Drop(); }

void server_speed::OnRunning(duration age) {
  if (limit_ > 1 && IsSign(age)) Drop();
}

void server_speed::OnHint(duration usual) {
  if (is_usual_known_ || usual <= duration::zero()) return;
  usual_ = usual;
  samples_ = kSmoothedSamples;
  is_usual_known_ = true;
}

void server_speed::SetSlots(uint32_t slots) { slots_ = slots; }

uint32_t server_speed::Limit() const {
  return std::max<uint32_t>(1, std::min(limit_, slots_));
}

void server_speed::Learn(duration service_time) {
  if (limit_ > 1 || !is_usual_known_) {
    samples_ = std::min(samples_ + 1, kSmoothedSamples);
    is_usual_known_ = samples_ == kSmoothedSamples;
    return Follow(service_time, 1.0 / samples_);
  }
  ++samples_in_doubt_;
  mean_in_doubt_ +=
      1.0 / samples_in_doubt_ *
      (static_cast<double>(service_time.count()) - mean_in_doubt_);
  if (samples_in_doubt_ < kSamplesToAccept) return;
  usual_ = duration(static_cast<int64_t>(mean_in_doubt_));
  samples_in_doubt_ = 0;
}

void server_speed::Follow(duration service_time, double weight) {
  const double relative = std::min(Relative(service_time), kMostRelative);
  const double factor = 1 + weight * (relative - 1);
  usual_ = duration(
      static_cast<int64_t>(static_cast<double>(usual_.count()) * factor));
}

void server_speed::Drop() {
  if (limit_ > 1) {
    samples_in_doubt_ = 0;
    mean_in_doubt_ = 0;
  }
  limit_ = 1;
  successes_ = 0;
  cold_evidence_ = 0;
}

}  // namespace poplarstair
