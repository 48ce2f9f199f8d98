#include "poplarstair/testing/event_queue.h"

#include <algorithm>

namespace poplarstair {

void event_queue::At(time_point when, work todo) {
  entries_.push({std::max(when, now_), next_order_++, std::move(todo)});
}

void event_queue::Every(duration interval, duration offset, const work& todo) {
  After(offset, [this, interval, todo] {
    todo();
    Every(interval, interval, todo);
  });
}

void event_queue::RunUntil(time_point end) {
  while (!entries_.empty() && entries_.top().when <= end) {
    // The queue gives only const access, though the entry goes at once.
    entry next = std::move(const_cast<entry&>(entries_.top()));
    entries_.pop();
    now_ = next.when;
    next.todo();
  }
  now_ = end;
}

}  // namespace poplarstair
