// The tasks of a cookie-steering instance, from start to stop.
#ifndef POPLARSTAIR_DAEMON_ENTRY_DAEMON_H_
#define POPLARSTAIR_DAEMON_ENTRY_DAEMON_H_

#include <string>

#include "poplarstair/daemon/entry_daemon_settings.h"
#include "poplarstair/daemon/platform_hooks.h"

namespace poplarstair {

/// Runs until SIGTERM or SIGINT. SIGHUP, and a changed file without it, make
/// it read `file` again.
void RunEntryDaemon(const entry_daemon_settings& settings,
                    const std::string& file, const platform_hooks& platform);

}  // namespace poplarstair

#endif  // POPLARSTAIR_DAEMON_ENTRY_DAEMON_H_
