// The admin endpoint: counters for scraping, state for poplarctl.
#ifndef POPLARSTAIR_DAEMON_ADMIN_TASK_H_
#define POPLARSTAIR_DAEMON_ADMIN_TASK_H_

#include "poplarstair/core/counters.h"
#include "poplarstair/daemon/task.h"
#include "poplarstair/daemon/task_mailboxes.h"
#include "poplarstair/io/http_server.h"

namespace poplarstair {

/// `GET /metrics` in Prometheus text format, `GET /state` as JSON.
class admin_task : public task {
 public:
  admin_task(event_loop& loop, const endpoint& local, task_mailboxes& board);
  ~admin_task() override;

 private:
  void Handle(const http_request& request, const http_responder& respond);

  task_mailboxes& board_;
  /// Counters of the tasks that do I/O.
  metric_registry io_metrics_;
  http_server server_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_DAEMON_ADMIN_TASK_H_
