// An event loop based on libev, and watchers that register themselves with it
// and unregister when destroyed.
#ifndef POPLARSTAIR_IO_EVENT_LOOP_H_
#define POPLARSTAIR_IO_EVENT_LOOP_H_

#include <exception>
#include <functional>
#include <memory>

#include "poplarstair/core/time.h"

namespace poplarstair {

/// Runs handlers for I/O, timers and signals. All handlers of a loop run on the
/// thread that calls Run.
class event_loop {
 public:
  using failure_handler = std::function<void(std::exception_ptr)>;

  /// Creates a root loop. An exception from a handler leaves Run.
  event_loop();
  /// Creates a scope on `root` for the handlers of one task. The first
  /// exception from one of these handlers is passed to `on_failure`, and no
  /// handler of the scope runs after it. The scope must not outlive `root`, and
  /// its own handlers must not destroy it.
  event_loop(event_loop& root, failure_handler on_failure);
  ~event_loop();

  /// Monotonic time at the moment of the call.
  time_point Now() const;
  /// Runs handlers until Stop is called or, on a root loop, a handler throws.
  /// Only for a root loop.
  void Run();
  void Stop();
  /// Runs `work` after the current handler has returned, before the loop waits
  /// for events again.
  void Post(std::function<void()> work);

 private:
  friend class io_watcher;
  friend class timer_watcher;
  friend class signal_watcher;
  class impl;
  std::unique_ptr<impl> impl_;
};

/// Calls `on_ready` whenever a file descriptor is ready. Does not own the
/// descriptor, which must stay open as long as the watcher exists.
class io_watcher {
 public:
  struct readiness {
    bool readable = false;
    bool writable = false;
  };
  using handler = std::function<void(readiness)>;

  io_watcher(event_loop& loop, int descriptor, handler on_ready);
  ~io_watcher();

  /// Sets the conditions to wait for; initially none.
  void WaitFor(readiness wanted);

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

/// Calls `on_time` once after a delay, or repeatedly at an interval.
class timer_watcher {
 public:
  timer_watcher(event_loop& loop, std::function<void()> on_time);
  ~timer_watcher();

  void StartOnce(duration after);
  void StartRepeating(duration interval);
  void Stop();

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

/// Calls `on_signal` when the process receives the signal.
class signal_watcher {
 public:
  signal_watcher(event_loop& loop, int signal_number,
                 std::function<void()> on_signal);
  ~signal_watcher();

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_IO_EVENT_LOOP_H_
