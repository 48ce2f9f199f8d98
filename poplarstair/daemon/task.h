// A part of the daemon that owns its sockets and its state.
#ifndef POPLARSTAIR_DAEMON_TASK_H_
#define POPLARSTAIR_DAEMON_TASK_H_

#include "poplarstair/io/event_loop.h"

namespace poplarstair {

/// Constructed to start, destroyed to stop. Handlers run on the scope of the
/// loop that it was constructed with.
class task {
 public:
  task() = default;
  virtual ~task() = default;

  task(const task&) = delete;
  task& operator=(const task&) = delete;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_DAEMON_TASK_H_
