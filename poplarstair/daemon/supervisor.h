// Starts tasks, restarts those that fail, and gives up when that won't help.
#ifndef POPLARSTAIR_DAEMON_SUPERVISOR_H_
#define POPLARSTAIR_DAEMON_SUPERVISOR_H_

#include <functional>
#include <memory>
#include <string>

#include "poplarstair/core/error.h"
#include "poplarstair/core/log_record.h"
#include "poplarstair/core/time.h"
#include "poplarstair/daemon/task.h"

namespace poplarstair {

struct supervisor_settings {
  /// More restarts than this within `window` are a failure of the supervisor.
  uint32_t max_restarts = 5;
  duration window = std::chrono::seconds(30);
  duration restart_delay = std::chrono::milliseconds(100);
};

/// Too many restarts; goes to the supervisor above, at last out of the loop.
class too_many_restarts : public error {
 public:
  too_many_restarts(const std::string& task_name, const std::string& cause)
      : error("too_many_restarts",
              "task " + task_name + " keeps failing: " + cause) {}
};

/// A node of the supervisor tree; a task itself, so that trees can nest.
/// Each child is restarted alone.
class supervisor : public task {
 public:
  using task_factory = std::function<std::unique_ptr<task>(event_loop&)>;

  supervisor(event_loop& loop, const supervisor_settings& settings,
             log_hook log);
  ~supervisor() override;

  /// Starts the task at once; a failure to start is thrown. Children stop in
  /// the reverse order.
  void AddChild(const std::string& name, task_factory make);

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_DAEMON_SUPERVISOR_H_
