// The daemon of one entry instance.

#include <absl/flags/flag.h>

#include <cstdio>
#include <cstdlib>
#include <functional>
#include <string>

#include "platform/hooks.h"
#include "poplarstair/core/error.h"
#include "poplarstair/core/file.h"
#include "poplarstair/ctl/command_line.h"
#include "poplarstair/daemon/daemon.h"
#include "poplarstair/daemon/entry_daemon.h"

ABSL_FLAG(std::string, settings, "", "the instance's settings file (TOML)");

namespace {

constexpr const char* kUsage =
    "usage: poplarstaird --settings=FILE\n"
    "\n"
    "Runs one entry instance of the load balancer until SIGTERM, which stops\n"
    "it gracefully. SIGHUP reads the log settings again.\n"
    "\n"
    "  --settings=FILE  the instance's settings (TOML); see "
    "docs/OPERATIONS.md\n"
    "  --help           shows this text\n"
    "  --version        shows the version\n"
    "\n"
    "Exit codes: 0 after a graceful stop, 1 when it could not run, 2 for a\n"
    "wrong command line or settings file.\n";

/// An instance that serves by the usual promises is better than none.
poplarstair::platform_hooks ReadPlatformHooks() {
  try {
    return poplarstair::MakePlatformHooks(
        std::getenv("POPLARSTAIR_PLATFORM_FIELDS"));
  } catch (const poplarstair::malformed_message& failure) {
    std::fprintf(stderr, "poplarstaird: POPLARSTAIR_PLATFORM_FIELDS: %s\n",
                 failure.what());
    return poplarstair::MakePlatformHooks(nullptr);
  }
}

}  // namespace

int main(int argc, char** argv) {
  using namespace poplarstair;
  const auto arguments = ParseCommandLine("poplarstaird", kUsage, argc, argv);
  if (!arguments.empty() || absl::GetFlag(FLAGS_settings).empty()) {
    std::fputs(kUsage, stderr);
    return kExitUsage;
  }
  const std::string file = absl::GetFlag(FLAGS_settings);
  std::function<void()> run;
  try {
    const std::string text = ReadFile(file);
    if (IsEntryDaemonSettings(text, file)) {
      const platform_hooks hooks = ReadPlatformHooks();
      run = [settings = ParseEntryDaemonSettings(text, file, hooks.facts),
             hooks, &file] { RunEntryDaemon(settings, file, hooks); };
    } else {
      run = [settings = ParseDaemonSettings(text, file), &file] {
        RunDaemon(settings, file);
      };
    }
  } catch (const error& failure) {
    std::fprintf(stderr, "poplarstaird: %s\n", failure.what());
    return kExitUsage;
  }
  try {
    run();
  } catch (const std::exception& failure) {
    std::fprintf(stderr, "poplarstaird: %s\n", failure.what());
    return kExitFailure;
  }
  return kExitSuccess;
}
