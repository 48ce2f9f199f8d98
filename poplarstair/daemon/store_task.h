// Carries calls to the store that holds the catalog.
#ifndef POPLARSTAIR_DAEMON_STORE_TASK_H_
#define POPLARSTAIR_DAEMON_STORE_TASK_H_

#include <array>

#include "poplarstair/daemon/entry_mailboxes.h"
#include "poplarstair/daemon/platform_hooks.h"
#include "poplarstair/daemon/task.h"
#include "poplarstair/io/http_client.h"

namespace poplarstair {

class store_task : public task {
 public:
  store_task(event_loop& loop, const endpoint& store,
             const platform_hooks& platform, entry_mailboxes& board);
  ~store_task() override;

 private:
  void OnRequest(const store_request& request);

  event_loop& loop_;
  const endpoint store_;
  const platform_hooks platform_;
  entry_mailboxes& board_;
  /// One for each collection: connections are used again for the same
  /// collection only.
  std::array<http_client, kCollections> clients_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_DAEMON_STORE_TASK_H_
