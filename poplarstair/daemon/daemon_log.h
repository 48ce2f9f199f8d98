// The log of a running daemon: where its lines go and which are left out.
#ifndef POPLARSTAIR_DAEMON_DAEMON_LOG_H_
#define POPLARSTAIR_DAEMON_DAEMON_LOG_H_

#include <memory>
#include <string>

#include "poplarstair/core/log_record.h"
#include "poplarstair/daemon/daemon_settings.h"
#include "poplarstair/io/event_loop.h"

namespace poplarstair {

/// One line of key=value pairs an event; each starts with time, level and
/// instance. Writing never blocks: see bounded_log.
class daemon_log {
 public:
  /// Throws system_failure if the file can't be opened.
  daemon_log(event_loop& loop, const std::string& instance,
             const log_settings& settings);
  ~daemon_log();

  /// Changes where lines go. Throws system_failure, and then stays as it was.
  void Configure(const log_settings& settings);
  /// Valid as long as the log.
  log_hook Hook();
  /// Hands over what is buffered, e.g. before the process ends.
  void Flush();

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_DAEMON_DAEMON_LOG_H_
