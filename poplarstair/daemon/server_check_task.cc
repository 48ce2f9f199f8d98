#include "poplarstair/daemon/server_check_task.h"

#include <sys/socket.h>

#include "poplarstair/core/error.h"

namespace poplarstair {

namespace {

/// Far more than a round trip between failure domains.
constexpr duration kConnectTimeout = std::chrono::milliseconds(300);

bool IsConnected(const unique_fd& connection) {
  int failure = 0;
  socklen_t size = sizeof(failure);
  const int result =
      getsockopt(connection.Get(), SOL_SOCKET, SO_ERROR, &failure, &size);
  return result == 0 && failure == 0;
}

}  // namespace

server_check_task::server_check_task(event_loop& loop, entry_mailboxes& board)
    : loop_(loop), board_(board) {
  board_.checks.Bind(loop,
                     [this](const server_to_check& wanted) { Start(wanted); });
}

server_check_task::~server_check_task() { board_.checks.Unbind(); }

void server_check_task::Start(const server_to_check& wanted) {
  if (attempts_.contains(wanted.server)) return;
  unique_fd connection;
  try {
    connection = ConnectTcp(wanted.address);
  } catch (const system_failure&) {
    board_.steering.Post(server_checked{wanted.server, false});
    return;
  }
  attempt& started = attempts_[wanted.server];
  started.connection = std::move(connection);
  const server_row server = wanted.server;
  started.watcher = std::make_unique<io_watcher>(
      loop_, started.connection.Get(), [this, server](io_watcher::readiness) {
        Finish(server, IsConnected(attempts_.at(server).connection));
      });
  started.watcher->WaitFor({false, true});
  started.timer = std::make_unique<timer_watcher>(
      loop_, [this, server] { Finish(server, false); });
  started.timer->StartOnce(kConnectTimeout);
}

void server_check_task::Finish(server_row server, bool is_reachable) {
  attempt& finished = attempts_.at(server);
  finished.watcher->WaitFor({false, false});
  finished.timer->Stop();
  board_.steering.Post(server_checked{server, is_reachable});
  // Its watcher is still on the stack.
  loop_.Post([this, server] { attempts_.erase(server); });
}

}  // namespace poplarstair
