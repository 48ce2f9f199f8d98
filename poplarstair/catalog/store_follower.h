// Keeps one collection of the store up to date: lists it, then watches it.
#ifndef POPLARSTAIR_CATALOG_STORE_FOLLOWER_H_
#define POPLARSTAIR_CATALOG_STORE_FOLLOWER_H_

#include <algorithm>
#include <functional>
#include <memory>

#include "poplarstair/catalog/store_call.h"
#include "poplarstair/core/log_record.h"
#include "poplarstair/core/random.h"

namespace poplarstair {

struct follower_settings {
  /// Time in which a change that the store has confirmed has to be in force at
  /// every instance.
  duration in_force = std::chrono::seconds(3);
  /// Part of it for the call after one that has failed, and for the way of the
  /// change from instance to instance.
  duration spread_time = std::chrono::milliseconds(500);
  /// The same until the store has confirmed what is known: the first answer
  /// tells that the store is back.
  duration lost_wait = std::chrono::milliseconds(50);
  /// Longest wait for the answer to a watch, beyond the time that it is held.
  duration watch_answer_time = std::chrono::milliseconds(700);
  /// Longest wait for a page of a list.
  duration list_timeout = std::chrono::milliseconds(1200);
  /// Pause after the second watch in a row that told something: changes come in
  /// bursts, and what comes meanwhile is told by one call. Small against the
  /// seconds in which changes must be in force.
  duration gather_time = std::chrono::milliseconds(300);
  /// Pause after a failed call; doubles with each, up to LongestPause(). All
  /// instances together may call the store at a limited rate.
  duration first_pause = std::chrono::milliseconds(150);
  /// After the store's return, writers that could not reach it have written by
  /// then: the platform promises some two seconds, and the rest is for the way
  /// of the news.
  duration written_again_time = std::chrono::milliseconds(2500);

  /// How long the store may hold a watch: what changes on a connection that has
  /// gone silent is in force in time.
  duration WatchWait() const {
    return std::max(lost_wait, in_force - watch_answer_time - spread_time);
  }
  /// What changes while the store is lost is in force in time after its return.
  duration LongestPause() const {
    return std::max(first_pause, in_force - list_timeout - spread_time);
  }
};

/// Deterministic: time and answers come in, calls go out through hooks.
class store_follower {
 public:
  struct hooks {
    store_hook call;
    /// The whole collection as of the position.
    std::function<void(store_position, std::vector<store_object>)> replaced;
    /// Single changes up to the position, since an earlier one of its epoch.
    std::function<void(store_position, std::vector<store_object>)> changed;
    /// Nothing has changed up to the position.
    std::function<void(store_position)> confirmed;
    /// The store answers in a later epoch than before.
    std::function<void(store_epoch)> epoch_begun;
    log_hook log;
  };

  store_follower(collection what, const follower_settings& settings,
                 random_source random, hooks actions);
  ~store_follower();

  /// Lists the collection once, until the store has answered.
  void Load(time_point now);
  /// Follows from now on. `known` is the position of what a peer has handed
  /// over; revision 0 lists everything.
  void Follow(time_point now, store_position known);
  /// Makes no more calls; an answer under way is ignored.
  void Stop();
  /// Drops the call under way and lists anew, e.g. after a pause.
  void Restart(time_point now);
  /// As Load, also if the collection is known or followed: what is known came
  /// from an instance that can't read all of it.
  void Reload(time_point now);
  /// Drops the watch under way, which has missed what a peer knows, and goes on
  /// from `known`.
  void Rewatch(time_point now, store_position known);

  /// Another follower or instance has heard of this epoch. If it is new here,
  /// lists anew: the connection of a watch that waits may be of before the
  /// store's return.
  void OnEpochHeard(time_point now, store_epoch epoch);

  /// Asks the store at once whether anything has changed, if it is followed and
  /// was not lost, and no such question is under way: a watch that waits may be
  /// on a connection that has gone silent.
  void Refresh(time_point now);

  void OnReply(time_point now, store_reply reply);
  void OnTick(time_point now);

  /// True while a list is under way that the store has not failed.
  bool IsListing() const;
  bool IsFollowing() const;
  /// The epoch of what ConfirmedAt confirms.
  store_epoch Epoch() const;
  /// True if `id` is the call under way.
  bool Awaits(uint64_t id) const;
  /// All that was in the store by then is known, as an answer has told: what no
  /// answer covers may be missing, however long a watch has waited.
  /// time_point{} if nothing is known.
  time_point ConfirmedAt() const;
  /// The same for all that the store's writers had to tell by then, whether or
  /// not it was in the store: news take as long to reach a slow store as its
  /// answers take, and wait for the return of one that is away.
  time_point WritersKnownAt() const;
  /// When the store was last in touch: now while a watch from a current state
  /// waits and is not overdue, else the last answer. Says whether another
  /// instance has to take over, and nothing of what is known.
  time_point InTouchAt(time_point now) const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_CATALOG_STORE_FOLLOWER_H_
