#include "poplarstair/daemon/store_task.h"

namespace poplarstair {

store_task::store_task(event_loop& loop, const endpoint& store,
                       const platform_hooks& platform, entry_mailboxes& board)
    : loop_(loop),
      store_(store),
      platform_(platform),
      board_(board),
      clients_{http_client(loop), http_client(loop), http_client(loop)} {
  board_.store.Bind(
      loop, [this](const store_request& request) { OnRequest(request); });
}

store_task::~store_task() { board_.store.Unbind(); }

void store_task::OnRequest(const store_request& request) {
  // HTTP/1.1 does not tell which call an answer belongs to. A second copy of an
  // answer that arrives late must not be read as another collection's.
  http_client& client = clients_[static_cast<size_t>(request.what)];
  client.Start(platform_.to_store_call(request, store_),
               [this, request](const std::optional<http_reply>& answer) {
                 board_.steering.Post(
                     platform_.from_store_answer(loop_.Now(), request, answer));
               });
}

}  // namespace poplarstair
