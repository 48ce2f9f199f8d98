// Sends requests to backend servers over HTTP/2.
#ifndef POPLARSTAIR_DAEMON_ATTEMPT_TASK_H_
#define POPLARSTAIR_DAEMON_ATTEMPT_TASK_H_

#include <memory>

#include "poplarstair/daemon/task.h"
#include "poplarstair/daemon/task_mailboxes.h"

namespace poplarstair {

/// Keeps one connection to each backend server and finds those gone silent.
class attempt_task : public task {
 public:
  attempt_task(event_loop& loop, task_mailboxes& board);
  ~attempt_task() override;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_DAEMON_ATTEMPT_TASK_H_
