// Frames between instances over TCP.
#ifndef POPLARSTAIR_DAEMON_PEER_TASK_H_
#define POPLARSTAIR_DAEMON_PEER_TASK_H_

#include <memory>

#include "poplarstair/core/log_record.h"
#include "poplarstair/daemon/daemon_settings.h"
#include "poplarstair/daemon/task.h"
#include "poplarstair/daemon/task_mailboxes.h"

namespace poplarstair {

/// Listens for other instances and connects to them as messages need it. A
/// peer that sends rubbish is disconnected; messages that can't be sent are
/// dropped, for the planes expect losses.
class peer_task : public task {
 public:
  peer_task(event_loop& loop, const daemon_settings& settings, incarnation life,
            task_mailboxes& board, log_hook log);
  ~peer_task() override;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_DAEMON_PEER_TASK_H_
