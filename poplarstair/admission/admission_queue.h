// Requests of one service that wait for a slot.
#ifndef POPLARSTAIR_ADMISSION_ADMISSION_QUEUE_H_
#define POPLARSTAIR_ADMISSION_ADMISSION_QUEUE_H_

#include <array>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

#include "poplarstair/admission/recent_durations.h"
#include "poplarstair/admission/slot_supply.h"
#include "poplarstair/core/enum_names.h"
#include "poplarstair/core/time.h"
#include "poplarstair/requests/request.h"
#include "poplarstair/requests/request_key.h"

namespace poplarstair {

struct queued_request {
  /// Set for a request that may be repeated; others go by their key.
  call_id call;
  request_key key;
  request wanted;
  /// Some attempt may have run it.
  bool may_have_run = false;
};

/// A request that the queue does not accept, or gives up for another one.
struct rejected_request {
  queued_request what;
  refusal_reason reason = refusal_reason::kNone;
};

/// Serves a higher class first, and within a class the earliest deadline. A
/// request is accepted if it can be expected to be answered before its
/// deadline, and waits until it is clear that it won't be. First attempts and
/// retries are treated alike.
///
/// Deterministic: it reads no clock and does no I/O.
class admission_queue {
 public:
  /// `max_length`: largest number of waiting requests.
  explicit admission_queue(size_t max_length) : max_length_(max_length) {}

  void SetMaxLength(size_t max_length) { max_length_ = max_length; }

  /// Returns what is rejected, if anything: `added`, or one that had to make
  /// room for it.
  std::optional<rejected_request> Push(time_point now, queued_request added);
  /// Removes the request to start next. Null if there is none.
  std::optional<queued_request> Pop(time_point now);
  /// Removes the requests that can't be answered in time any more.
  std::vector<queued_request> TakeLate(time_point now);
  /// Removes all requests.
  std::vector<queued_request> TakeAll();
  /// Removes the first request that matches.
  std::optional<queued_request> Take(
      const std::function<bool(const queued_request&)>& matches);

  /// An attempt has run for `took`, up to its answer or its deadline.
  void OnAttemptRan(duration took) { attempts_.Add(took); }
  /// Time that an attempt may need: the longest of the recent ones. Zero if
  /// none has ended yet.
  duration AttemptTime() const { return attempts_.Longest(); }

  size_t Size() const;

 private:
  static constexpr size_t kClasses =
      std::size(enum_names<request_class>::kNames);

  /// Time that a request with `ahead` others before it needs for its attempt.
  duration AttemptTimeBehind(size_t ahead) const;
  /// Removes the request that would be started last, of class `least` or a
  /// lower one.
  std::optional<queued_request> TakeLast(request_class least);
  void NoteIfEmpty();

  size_t max_length_;
  /// By class, the most important first, and then in the order of deadlines.
  std::array<std::deque<queued_request>, kClasses> waiting_;
  slot_supply supply_;
  /// How long attempts ran.
  recent_durations attempts_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_ADMISSION_ADMISSION_QUEUE_H_
