// Runs the deterministic core in the daemon.
#ifndef POPLARSTAIR_DAEMON_BALANCER_TASK_H_
#define POPLARSTAIR_DAEMON_BALANCER_TASK_H_

#include <memory>

#include "poplarstair/daemon/daemon_settings.h"
#include "poplarstair/daemon/task.h"
#include "poplarstair/daemon/task_mailboxes.h"

namespace poplarstair {

/// Turns mailbox messages and timer ticks into events of the balancer, and
/// its actions into messages to the other tasks.
class balancer_task : public task {
 public:
  balancer_task(event_loop& loop, const daemon_settings& settings,
                incarnation life, task_mailboxes& board, const log_hook& log);
  ~balancer_task() override;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_DAEMON_BALANCER_TASK_H_
