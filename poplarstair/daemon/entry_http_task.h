// Answers HTTP on one address of a cookie-steering instance.
#ifndef POPLARSTAIR_DAEMON_ENTRY_HTTP_TASK_H_
#define POPLARSTAIR_DAEMON_ENTRY_HTTP_TASK_H_

#include "poplarstair/daemon/entry_mailboxes.h"
#include "poplarstair/daemon/task.h"
#include "poplarstair/io/http_server.h"

namespace poplarstair {

/// /ready, /state, /metrics and /catalog/COLLECTION, on every address that it
/// is given.
class entry_http_task : public task {
 public:
  entry_http_task(event_loop& loop, const endpoint& local,
                  entry_mailboxes& board);

 private:
  void Handle(const http_request& request, const http_responder& respond);

  entry_mailboxes& board_;
  http_server server_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_DAEMON_ENTRY_HTTP_TASK_H_
