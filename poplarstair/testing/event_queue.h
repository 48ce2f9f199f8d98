// Virtual time: runs scheduled work in order of time.
#ifndef POPLARSTAIR_TESTING_EVENT_QUEUE_H_
#define POPLARSTAIR_TESTING_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "poplarstair/core/time.h"

namespace poplarstair {

/// Work at the same time runs in the order in which it was scheduled.
class event_queue {
 public:
  using work = std::function<void()>;

  time_point Now() const { return now_; }

  void At(time_point when, work todo);
  void After(duration delay, work todo) { At(now_ + delay, std::move(todo)); }
  /// Runs `todo` every `interval`, first after `offset`, for ever.
  void Every(duration interval, duration offset, const work& todo);

  /// Runs everything up to and including `end`; time is `end` afterwards.
  void RunUntil(time_point end);
  void RunFor(duration length) { RunUntil(now_ + length); }

 private:
  struct entry {
    time_point when;
    uint64_t order = 0;
    work todo;
  };
  struct later {
    bool operator()(const entry& a, const entry& b) const {
      return a.when != b.when ? a.when > b.when : a.order > b.order;
    }
  };

  time_point now_{};
  uint64_t next_order_ = 0;
  std::priority_queue<entry, std::vector<entry>, later> entries_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_TESTING_EVENT_QUEUE_H_
