// The operator's command-line tool.

#include <absl/flags/flag.h>

#include <cstdio>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "poplarstair/config/toml_reader.h"
#include "poplarstair/core/error.h"
#include "poplarstair/ctl/command_line.h"
#include "poplarstair/ctl/ctl.h"

ABSL_FLAG(std::string, site, "", "the site that the overlay is for");
ABSL_FLAG(std::string, base, "", "the base file");
ABSL_FLAG(std::string, overlay, "", "the site's overlay");
ABSL_FLAG(std::string, platform, "127.0.0.1:8500", "the platform's address");
ABSL_FLAG(uint64_t, based_on, 0, "the generation that the files started from");
ABSL_FLAG(std::string, wait, "10s", "how long apply waits for the instances");
ABSL_FLAG(std::string, caller, "0.0.0.0:0", "the flow's caller");
ABSL_FLAG(std::string, address, "", "the flow's service address");
ABSL_FLAG(bool, udp, false, "the flow is UDP");
ABSL_FLAG(std::string, flow, "", "the failed request's flow, or its id");
ABSL_FLAG(std::vector<std::string>, log, {}, "logs of instances");
ABSL_FLAG(std::string, asked_at, "", "when the request was asked");
ABSL_FLAG(std::string, waited, "2s", "how long its caller waited");
ABSL_FLAG(bool, json, false, "prints JSON");

namespace {

constexpr const char* kUsage =
    "usage: poplarctl COMMAND [flags]\n"
    "\n"
    "commands:\n"
    "  check    checks a base file and an overlay\n"
    "  fetch    writes the accepted files over --base and --overlay\n"
    "  render   shows each value with its file and line; the accepted ones if\n"
    "           no files are named\n"
    "  diff     shows where the files differ from the accepted ones\n"
    "  apply    publishes them and waits until they are in force\n"
    "  status   shows which instance has which generation in force\n"
    "  history  shows the latest accepted edits\n"
    "  explain  shows what the configuration decides about a flow; with "
    "--log,\n"
    "           why a request failed\n"
    "\n"
    "flags:\n"
    "  --base=FILE          the base file (check, apply)\n"
    "  --overlay=FILE       the site's overlay (check, apply)\n"
    "  --site=NAME          the overlay's site (check, apply)\n"
    "  --platform=IP:PORT   the platform's address (apply, status)\n"
    "  --based_on=N         the generation that the files were fetched from;\n"
    "                       0, the default, only for the first apply\n"
    "  --caller=IP:PORT, --address=IP:PORT, --udp   the flow (explain)\n"
    "  --flow=CALLER:PORT>SERVICE:PORT or a request's id, --log=FILE,FILE,\n"
    "  --asked_at=SECONDS, --waited=DURATION   the failed request (explain)\n"
    "  --wait=DURATION      how long to wait for the instances (apply)\n"
    "  --json               prints JSON (status)\n"
    "  --help, --version\n"
    "\n"
    "Exit codes: 0 done, 1 failed or not in force everywhere, 2 for a wrong\n"
    "command line or a file that can't be accepted.\n";

using command = std::function<int(const poplarstair::ctl_options&)>;

const std::map<std::string, command>& Commands() {
  static const auto* const kCommands = new std::map<std::string, command>{
      {"check", poplarstair::RunCheck},
      {"fetch", poplarstair::RunFetch},
      {"render", poplarstair::RunRender},
      {"diff", poplarstair::RunDiff},
      {"history", poplarstair::RunHistory},
      {"explain",
       [](const poplarstair::ctl_options& options) {
         return options.log_files.empty()
                    ? poplarstair::RunExplain(options)
                    : poplarstair::RunExplainFailure(options);
       }},
      {"apply", poplarstair::RunApply},
      {"status", poplarstair::RunStatus},
  };
  return *kCommands;
}

poplarstair::ctl_options ReadOptions() {
  poplarstair::ctl_options options;
  options.site = absl::GetFlag(FLAGS_site);
  options.base_file = absl::GetFlag(FLAGS_base);
  options.overlay_file = absl::GetFlag(FLAGS_overlay);
  options.platform = absl::GetFlag(FLAGS_platform);
  options.based_on = absl::GetFlag(FLAGS_based_on);
  options.caller = absl::GetFlag(FLAGS_caller);
  options.address = absl::GetFlag(FLAGS_address);
  options.is_udp = absl::GetFlag(FLAGS_udp);
  options.json = absl::GetFlag(FLAGS_json);
  options.flow = absl::GetFlag(FLAGS_flow);
  options.log_files = absl::GetFlag(FLAGS_log);
  options.asked_at = absl::GetFlag(FLAGS_asked_at);
  if (const auto waited =
          poplarstair::ParseDuration(absl::GetFlag(FLAGS_waited))) {
    options.waited = *waited;
  }
  if (const auto wait = poplarstair::ParseDuration(absl::GetFlag(FLAGS_wait))) {
    options.wait = *wait;
  }
  return options;
}

}  // namespace

int main(int argc, char** argv) {
  using namespace poplarstair;
  const auto arguments = ParseCommandLine("poplarctl", kUsage, argc, argv);
  const auto found =
      arguments.size() == 1 ? Commands().find(arguments[0]) : Commands().end();
  if (found == Commands().end()) {
    std::fputs(kUsage, stderr);
    return kExitUsage;
  }
  try {
    return found->second(ReadOptions());
  } catch (const config_error& failure) {
    std::fprintf(stderr, "%s\n", failure.what());
    return kExitUsage;
  } catch (const std::exception& failure) {
    std::fprintf(stderr, "poplarctl: %s\n", failure.what());
    return kExitFailure;
  }
}
