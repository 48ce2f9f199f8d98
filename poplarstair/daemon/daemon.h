// The whole daemon: its supervisor tree and its life.
#ifndef POPLARSTAIR_DAEMON_DAEMON_H_
#define POPLARSTAIR_DAEMON_DAEMON_H_

#include <string>

#include "poplarstair/daemon/daemon_settings.h"

namespace poplarstair {

/// Runs until SIGTERM or SIGINT has led to a graceful stop. SIGHUP reads
/// `settings_file` again and takes over its log settings. Throws
/// system_failure if an address can't be listened on, too_many_restarts if a
/// task keeps failing.
void RunDaemon(const daemon_settings& settings,
               const std::string& settings_file);

}  // namespace poplarstair

#endif  // POPLARSTAIR_DAEMON_DAEMON_H_
