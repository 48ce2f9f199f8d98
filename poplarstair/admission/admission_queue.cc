#include "poplarstair/admission/admission_queue.h"

#include <algorithm>
#include <utility>

namespace poplarstair {

std::optional<rejected_request> admission_queue::Push(time_point now,
                                                      queued_request added) {
  const request_class priority = added.wanted.priority;
  auto& queue = waiting_[static_cast<size_t>(priority)];
  const auto place =
      std::upper_bound(queue.begin(), queue.end(), added.wanted.deadline,
                       [](time_point deadline, const queued_request& q) {
                         return deadline < q.wanted.deadline;
                       });
  auto ahead = static_cast<size_t>(place - queue.begin());
  for (const auto* higher = waiting_.data(); higher != &queue; ++higher) {
    ahead += higher->size();
  }
  const duration time_left = added.wanted.deadline - now;
  const duration attempt_time = AttemptTimeBehind(ahead);
  if (time_left <= duration::zero() || time_left < attempt_time ||
      supply_.ExpectedWait(now, ahead, static_cast<uint32_t>(priority)) >
          time_left - attempt_time) {
    return rejected_request{std::move(added), refusal_reason::kDeadlineTooNear};
  }
  supply_.OnWaiting(now);
  queue.insert(place, std::move(added));
  if (Size() <= max_length_) return std::nullopt;
  return rejected_request{*TakeLast(priority), refusal_reason::kQueueFull};
}

duration admission_queue::AttemptTimeBehind(size_t ahead) const {
  // The next one gets its chance if a usual attempt can be answered. Those
  // behind it would all be started that late, many in vain, if their time were
  // not to suffice for a long attempt.
  return ahead == 0 ? attempts_.Mean() : attempts_.Longest();
}

std::optional<queued_request> admission_queue::TakeLast(request_class least) {
  for (size_t i = kClasses; i-- > static_cast<size_t>(least);) {
    if (waiting_[i].empty()) continue;
    queued_request last = std::move(waiting_[i].back());
    waiting_[i].pop_back();
    NoteIfEmpty();
    return last;
  }
  return std::nullopt;
}

std::optional<queued_request> admission_queue::Pop(time_point now) {
  for (auto& queue : waiting_) {
    if (queue.empty()) continue;
    queued_request first = std::move(queue.front());
    queue.pop_front();
    supply_.OnStarted(now, static_cast<uint32_t>(first.wanted.priority));
    NoteIfEmpty();
    return first;
  }
  return std::nullopt;
}

std::vector<queued_request> admission_queue::TakeLate(time_point now) {
  std::vector<queued_request> late;
  size_t ahead = 0;
  for (auto& queue : waiting_) {
    std::erase_if(queue, [&](queued_request& q) {
      const duration time_left = q.wanted.deadline - now;
      if (time_left > duration::zero() &&
          supply_.ShortestWait(now, ahead) + AttemptTimeBehind(ahead) <=
              time_left) {
        ++ahead;
        return false;
      }
      late.push_back(std::move(q));
      return true;
    });
  }
  NoteIfEmpty();
  return late;
}

std::vector<queued_request> admission_queue::TakeAll() {
  std::vector<queued_request> all;
  for (auto& queue : waiting_) {
    std::move(queue.begin(), queue.end(), std::back_inserter(all));
    queue.clear();
  }
  NoteIfEmpty();
  return all;
}

std::optional<queued_request> admission_queue::Take(
    const std::function<bool(const queued_request&)>& matches) {
  for (auto& queue : waiting_) {
    const auto it = std::find_if(queue.begin(), queue.end(), matches);
    if (it == queue.end()) continue;
    queued_request taken = std::move(*it);
    queue.erase(it);
    NoteIfEmpty();
    return taken;
  }
  return std::nullopt;
}

void admission_queue::NoteIfEmpty() {
  if (Size() == 0) supply_.OnNoneWaiting();
}

size_t admission_queue::Size() const {
  size_t sum = 0;
  for (const auto& queue : waiting_) sum += queue.size();
  return sum;
}

}  // namespace poplarstair
