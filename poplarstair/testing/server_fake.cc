#include "poplarstair/testing/server_fake.h"

#include <cmath>

namespace poplarstair {

namespace {

constexpr duration kMeanServiceTime = std::chrono::milliseconds(20);
constexpr double kColdSlowdown = 4;

}  // namespace

server_fake::admission server_fake::Begin(time_point now) {
  if (!is_up_) return admission::kDown;
  const bool is_cold = IsCold(now);
  if (running_ >= (is_cold ? kColdSlots : config_.slots)) {
    return is_cold ? admission::kShedCold : admission::kShed;
  }
  ++running_;
  return admission::kStarted;
}

duration server_fake::DrawServiceTime(time_point now) {
  double factor = -std::log(1.0 - RandomUnit(random_));
  if (IsCold(now)) factor *= kColdSlowdown;
  return extra_ +
         std::chrono::duration_cast<duration>(
             std::chrono::duration<double, duration::period>(
                 static_cast<double>(kMeanServiceTime.count()) * factor));
}

void server_fake::Crash() {
  is_up_ = false;
  ++life_;
  running_ = 0;
  flows_.clear();
}

void server_fake::Start(time_point now) {
  is_up_ = true;
  TurnCold(now);
}

}  // namespace poplarstair
