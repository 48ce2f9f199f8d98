// Carries digests and collections between instances.
#ifndef POPLARSTAIR_DAEMON_DIGEST_TASK_H_
#define POPLARSTAIR_DAEMON_DIGEST_TASK_H_

#include "poplarstair/daemon/entry_mailboxes.h"
#include "poplarstair/daemon/task.h"
#include "poplarstair/io/http_client.h"
#include "poplarstair/io/socket.h"

namespace poplarstair {

/// Path under which an instance hands over a collection, before its name.
inline constexpr std::string_view kCollectionPath = "/catalog/";
/// Followed by the revision that the asking instance holds.
inline constexpr std::string_view kSinceQuery = "?since=";
/// Followed by the epoch of that revision; left out if the store tells none.
inline constexpr std::string_view kEpochQuery = "&epoch=";

/// Digests travel as datagrams: losing one is harmless, as the next says all.
/// Collections are fetched over HTTP from the control address.
class digest_task : public task {
 public:
  /// All instances use the port of `local`.
  digest_task(event_loop& loop, const endpoint& local, entry_mailboxes& board);
  ~digest_task() override;

 private:
  void OnReadable();
  void Send(const digest_to_send& digest);
  void Fetch(const collection_wanted& wanted);

  entry_mailboxes& board_;
  unique_fd socket_;
  const uint16_t port_;
  io_watcher watcher_;
  udp_batch batch_;
  http_client client_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_DAEMON_DIGEST_TASK_H_
