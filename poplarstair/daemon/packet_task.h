// Receives and sends the packets of flows.
#ifndef POPLARSTAIR_DAEMON_PACKET_TASK_H_
#define POPLARSTAIR_DAEMON_PACKET_TASK_H_

#include <memory>

#include "poplarstair/core/log_record.h"
#include "poplarstair/daemon/daemon_settings.h"
#include "poplarstair/daemon/task.h"
#include "poplarstair/daemon/task_mailboxes.h"

namespace poplarstair {

/// Owns one UDP socket. Reads a batch, has it decided, sends it, reads on. A
/// batch that is not decided in time is dropped, for the balancer task may have
/// been restarted.
class packet_task : public task {
 public:
  packet_task(event_loop& loop, const endpoint& local, packet_source source,
              task_mailboxes& board, log_hook log);
  ~packet_task() override;

  /// Where it listens; of use when the kernel has chosen the port.
  endpoint Local() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_DAEMON_PACKET_TASK_H_
