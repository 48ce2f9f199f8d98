#include "poplarstair/daemon/platform_task.h"

#include "poplarstair/object_store/platform_http.h"

namespace poplarstair {

platform_task::platform_task(event_loop& loop, const endpoint& platform,
                             task_mailboxes& board)
    : platform_(platform), board_(board), client_(loop) {
  board_.platform.Bind(
      loop, [this](const platform_request& request) { Call(request); });
}

platform_task::~platform_task() { board_.platform.Unbind(); }

void platform_task::Call(const platform_request& request) {
  const uint64_t id = request.id;
  client_.Start(ToHttpCall(request, platform_),
                [this, id](const std::optional<http_reply>& reply) {
                  board_.balancer.Post(FromHttpReply(id, reply));
                });
}

}  // namespace poplarstair
