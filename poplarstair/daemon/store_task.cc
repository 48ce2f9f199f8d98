#include "poplarstair/daemon/store_task.h"

namespace poplarstair {

store_task::store_task(event_loop& loop, const endpoint& store,
                       const platform_hooks& platform, entry_mailboxes& board)
    : loop_(loop),
      store_(store),
      platform_(platform),
      board_(board),
      client_(loop) {
  board_.store.Bind(
      loop, [this](const store_request& request) { OnRequest(request); });
}

store_task::~store_task() { board_.store.Unbind(); }

void store_task::OnRequest(const store_request& request) {
  client_.Start(platform_.to_store_call(request, store_),
                [this, request](const std::optional<http_reply>& answer) {
                  board_.steering.Post(platform_.from_store_answer(
                      loop_.Now(), request, answer));
                });
}

}  // namespace poplarstair
