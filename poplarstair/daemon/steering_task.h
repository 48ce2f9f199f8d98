// Owns the decisions of a cookie-steering instance and the socket on which
// clients' packets arrive.
#ifndef POPLARSTAIR_DAEMON_STEERING_TASK_H_
#define POPLARSTAIR_DAEMON_STEERING_TASK_H_

#include "poplarstair/core/log_record.h"
#include "poplarstair/daemon/entry_daemon_settings.h"
#include "poplarstair/daemon/entry_mailboxes.h"
#include "poplarstair/daemon/platform_hooks.h"
#include "poplarstair/daemon/task.h"

namespace poplarstair {

class steering_task : public task {
 public:
  steering_task(event_loop& loop, const entry_daemon_settings& settings,
                const platform_hooks& platform, entry_mailboxes& board,
                log_hook log);
  ~steering_task() override;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_DAEMON_STEERING_TASK_H_
