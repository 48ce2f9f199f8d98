// Decides where an instance that starts takes its catalog from: other
// instances, or the store.
#ifndef POPLARSTAIR_STEERING_CATALOG_START_H_
#define POPLARSTAIR_STEERING_CATALOG_START_H_

#include "poplarstair/core/time.h"

namespace poplarstair {

struct catalog_start_settings {
  /// True if the whole system starts for the first time. Nobody has a catalog
  /// to hand over then, and callers come seconds later: the instances that
  /// follow the store fetch it, and all others learn it from them.
  bool is_first_start = false;
  /// How long other instances have to answer the first digest before the store
  /// is asked: several round trips, and a turn of a small instance. If each of
  /// many instances that start together asked the store at once, its rate would
  /// hold up all of them.
  duration answer_time = std::chrono::milliseconds(60);
  /// How long an instance with a fresh catalog has to hand it over.
  duration hand_over_time = std::chrono::milliseconds(400);
};

/// Deterministic: it reads no clock and does no I/O.
class catalog_start {
 public:
  explicit catalog_start(const catalog_start_settings& settings)
      : settings_(settings) {}

  void Begin(time_point now);
  /// Another instance has told what it holds; `has_fresh_catalog` if that is
  /// complete and the store has confirmed it lately.
  void OnAnswer(time_point now, bool has_fresh_catalog);
  /// A hand-over has failed.
  void OnFetchFailed(time_point now);
  /// The catalog is complete and fresh, or the instance stops: nothing has to
  /// be decided any more.
  void End() { is_over_ = true; }

  /// True once: nobody hands over a fresh catalog in time.
  bool TakeStoreCall(time_point now);
  /// True while another instance's catalog is awaited.
  bool IsAwaiting() const { return !is_over_ && !settings_.is_first_start; }
  /// When the answers above change next; kNever if they don't.
  time_point NextChange() const;

 private:
  const catalog_start_settings settings_;
  bool is_over_ = false;
  bool has_source_ = false;
  time_point store_call_at_ = kNever;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_STEERING_CATALOG_START_H_
