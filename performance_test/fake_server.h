// A backend server in virtual time, with the faults of bench_requests.
#ifndef POPLARSTAIR_PERFORMANCE_TEST_FAKE_SERVER_H_
#define POPLARSTAIR_PERFORMANCE_TEST_FAKE_SERVER_H_

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "poplarstair/config/effective_config.h"
#include "poplarstair/core/random.h"
#include "poplarstair/requests/request.h"
#include "poplarstair/testing/event_queue.h"

namespace poplarstair {

/// What happened to each request id, and which bounds were broken.
struct run_ledger {
  struct run {
    time_point began;
    size_t instance = 0;
  };
  std::map<std::string, std::vector<run>> runs;
  uint64_t slot_overruns = 0;
  uint64_t cold_overruns = 0;
};

/// The answer that belongs to a request.
inline std::string AnswerOf(const std::string& request_id) {
  return "answer to " + request_id;
}

class fake_server {
 public:
  using answer_hook = std::function<void(attempt_result, std::string)>;

  /// What it does; changed by the fault scripts.
  bool draining = false;
  bool shedding = false;
  bool loses_answers = false;
  duration late_by{};

  fake_server(event_queue& queue, run_ledger& ledger,
              const backend_server_config& config, duration service_time,
              uint64_t seed)
      : queue_(queue),
        ledger_(ledger),
        slots_(config.slots),
        service_time_(service_time),
        random_(seed, config.id.Value()) {}

  /// From now on it bears one request at a time, until it has run enough.
  void TurnCold(bool announced) {
    cold_left_ = kColdRuns;
    // What no instance can know yet is not counted: the last warm request
    // takes up to 1.5 service times, a cold one is clearly slow after 2.5 more,
    // and a permit under way is used within 1 more.
    cold_counted_from_ =
        announced ? queue_.Now() : queue_.Now() + 5 * service_time_;
  }

  void OnAttempt(const attempt& a, size_t instance, answer_hook respond) {
    if (draining || shedding) {
      return respond(attempt_result::kNotProcessed, "");
    }
    CheckBounds();
    ++running_;
    ledger_.runs[a.request_id].push_back({queue_.Now(), instance});
    const duration run_time = std::min(DrawServiceTime(), a.time_left);
    const bool in_time = run_time < a.time_left;
    queue_.After(run_time, [this, a, respond = std::move(respond), in_time] {
      --running_;
      if (cold_left_ > 0) --cold_left_;
      if (!in_time || loses_answers) {
        return respond(attempt_result::kLost, "");
      }
      queue_.After(late_by, [respond, id = a.request_id] {
        respond(attempt_result::kComplete, AnswerOf(id));
      });
    });
  }

 private:
  static constexpr int kColdRuns = 12;
  static constexpr int kColdFactor = 4;
  static constexpr uint32_t kColdLimit = 1;

  void CheckBounds() {
    if (running_ >= slots_) ++ledger_.slot_overruns;
    if (cold_left_ > 0 && queue_.Now() >= cold_counted_from_ &&
        running_ >= kColdLimit) {
      ++ledger_.cold_overruns;
    }
  }

  /// Evenly between half and one and a half times the mean; longer when more
  /// requests run than there are slots.
  duration DrawServiceTime() {
    const double crowding =
        std::max(1.0, static_cast<double>(running_) / slots_);
    const duration drawn = std::chrono::duration_cast<duration>(
        service_time_ * (0.5 + RandomUnit(random_)) * crowding);
    return cold_left_ > 0 ? drawn * kColdFactor : drawn;
  }

  event_queue& queue_;
  run_ledger& ledger_;
  const uint32_t slots_;
  const duration service_time_;
  random_source random_;
  uint32_t running_ = 0;
  int cold_left_ = 0;
  time_point cold_counted_from_{};
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_PERFORMANCE_TEST_FAKE_SERVER_H_
