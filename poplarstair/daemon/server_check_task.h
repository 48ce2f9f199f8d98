// Tests whether silent backend servers take connections.
#ifndef POPLARSTAIR_DAEMON_SERVER_CHECK_TASK_H_
#define POPLARSTAIR_DAEMON_SERVER_CHECK_TASK_H_

#include <map>
#include <memory>

#include "poplarstair/daemon/entry_mailboxes.h"
#include "poplarstair/daemon/task.h"
#include "poplarstair/io/socket.h"

namespace poplarstair {

/// A connection that is opened and closed costs the server no slot, and no
/// caller has to wait for the outcome.
class server_check_task : public task {
 public:
  server_check_task(event_loop& loop, entry_mailboxes& board);
  ~server_check_task() override;

 private:
  struct attempt {
    unique_fd connection;
    std::unique_ptr<io_watcher> watcher;
    std::unique_ptr<timer_watcher> timer;
  };

  void Start(const server_to_check& wanted);
  void Finish(server_row server, bool is_reachable);

  event_loop& loop_;
  entry_mailboxes& board_;
  std::map<server_row, attempt> attempts_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_DAEMON_SERVER_CHECK_TASK_H_
