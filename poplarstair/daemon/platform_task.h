// Calls the platform's object API.
#ifndef POPLARSTAIR_DAEMON_PLATFORM_TASK_H_
#define POPLARSTAIR_DAEMON_PLATFORM_TASK_H_

#include "poplarstair/daemon/task.h"
#include "poplarstair/daemon/task_mailboxes.h"
#include "poplarstair/io/http_client.h"

namespace poplarstair {

class platform_task : public task {
 public:
  platform_task(event_loop& loop, const endpoint& platform,
                task_mailboxes& board);
  ~platform_task() override;

 private:
  void Call(const platform_request& request);

  const endpoint platform_;
  task_mailboxes& board_;
  http_client client_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_DAEMON_PLATFORM_TASK_H_
