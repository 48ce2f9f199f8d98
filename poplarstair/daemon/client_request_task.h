// Clients' requests over HTTP/2.
#ifndef POPLARSTAIR_DAEMON_CLIENT_REQUEST_TASK_H_
#define POPLARSTAIR_DAEMON_CLIENT_REQUEST_TASK_H_

#include <memory>

#include "poplarstair/core/log_record.h"
#include "poplarstair/daemon/task.h"
#include "poplarstair/daemon/task_mailboxes.h"

namespace poplarstair {

/// Listens for clients' connections; each stream is one request.
class client_request_task : public task {
 public:
  client_request_task(event_loop& loop, const endpoint& local,
                      task_mailboxes& board, log_hook log);
  ~client_request_task() override;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_DAEMON_CLIENT_REQUEST_TASK_H_
