// Typed messages from one task to another on the same loop.
#ifndef POPLARSTAIR_DAEMON_MAILBOX_H_
#define POPLARSTAIR_DAEMON_MAILBOX_H_

#include <functional>
#include <utility>

#include "poplarstair/io/event_loop.h"

namespace poplarstair {

/// Outlives the task that reads it: while that task is being restarted,
/// messages are dropped, as on a network.
template <typename Message>
class mailbox {
 public:
  using handler = std::function<void(Message)>;

  /// Called by the reading task with its own scope of the loop.
  void Bind(event_loop& loop, handler on_message) {
    loop_ = &loop;
    on_message_ = std::move(on_message);
  }
  void Unbind() {
    loop_ = nullptr;
    on_message_ = nullptr;
  }

  /// Delivers after the current handler, in order.
  void Post(Message message) {
    if (loop_ == nullptr) return;
    loop_->Post([on_message = on_message_, m = std::move(message)]() mutable {
      on_message(std::move(m));
    });
  }

 private:
  event_loop* loop_ = nullptr;
  handler on_message_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_DAEMON_MAILBOX_H_
