// Stand-ins for what surrounds the load balancer, one a process.

#include <absl/flags/flag.h>

#include <csignal>
#include <cstdio>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "poplarstair/config/config_loader.h"
#include "poplarstair/core/error.h"
#include "poplarstair/core/file.h"
#include "poplarstair/ctl/command_line.h"
#include "poplarstair/emulator/client_emulator.h"
#include "poplarstair/emulator/fabric_emulator.h"
#include "poplarstair/emulator/measures.h"
#include "poplarstair/emulator/platform_emulator.h"
#include "poplarstair/emulator/server_emulator.h"
#include "poplarstair/io/http_client.h"

ABSL_FLAG(std::string, listen, "", "the address to listen on");
ABSL_FLAG(std::string, control, "", "the control address");
ABSL_FLAG(std::string, platform, "", "the platform's address");
ABSL_FLAG(std::string, fabric, "", "the fabric's address");
ABSL_FLAG(std::string, base, "", "the base file");
ABSL_FLAG(std::string, overlay, "", "the site's overlay");
ABSL_FLAG(std::string, site, "", "the site");
ABSL_FLAG(std::string, servers_control, "", "the servers' control address");
ABSL_FLAG(std::string, callers_control, "", "the callers' control address");
ABSL_FLAG(std::string, name, "demo", "the name in the result line");
ABSL_FLAG(uint32_t, feeds, 1000, "feeds for each service");
ABSL_FLAG(uint32_t, uploads, 30, "uploads for each service");
ABSL_FLAG(uint32_t, requests, 50, "requests a second for each service");
ABSL_FLAG(uint64_t, seed, 1, "seed of all random choices");

namespace {

using namespace poplarstair;

constexpr const char* kUsage =
    "usage: poplar_emulator ROLE [flags]\n"
    "\n"
    "roles:\n"
    "  platform  the object API           --listen\n"
    "  fabric    sprays packets           --listen --platform\n"
    "  servers   all backend servers      --base --overlay --site --control\n"
    "  callers   feeds, uploads, requests --base --overlay --site --control\n"
    "            --listen --fabric --platform --feeds --uploads\n"
    "            --requests\n"
    "  measure   prints the measures and ends; exit code 1 if a promise is\n"
    "            broken                   --servers_control --callers_control\n"
    "            --name\n"
    "\n"
    "Addresses are IP:PORT. --seed=N fixes all\n"
    "random choices. The other roles run until SIGTERM.\n"
    "\n"
    "Exit codes: 0 stopped, 1 failed, 2 for a wrong command line.\n";

effective_config_ptr LoadFlaggedConfig() {
  const std::string base = absl::GetFlag(FLAGS_base);
  const std::string overlay = absl::GetFlag(FLAGS_overlay);
  return std::make_shared<effective_config>(
      LoadConfig({base, ReadFile(base)}, {overlay, ReadFile(overlay)},
                 absl::GetFlag(FLAGS_site)));
}

/// Runs the loop until SIGTERM or SIGINT.
int RunUntilStopped(event_loop& loop) {
  signal_watcher on_term(loop, SIGTERM, [&loop] { loop.Stop(); });
  signal_watcher on_interrupt(loop, SIGINT, [&loop] { loop.Stop(); });
  loop.Run();
  return kExitSuccess;
}

int RunPlatform() {
  event_loop loop;
  platform_emulator emulator(loop,
                             endpoint::Parse(absl::GetFlag(FLAGS_listen)));
  return RunUntilStopped(loop);
}

int RunFabric() {
  event_loop loop;
  fabric_emulator emulator(loop, endpoint::Parse(absl::GetFlag(FLAGS_listen)),
                           endpoint::Parse(absl::GetFlag(FLAGS_platform)),
                           absl::GetFlag(FLAGS_seed));
  return RunUntilStopped(loop);
}

int RunServers() {
  event_loop loop;
  server_emulator_settings settings;
  settings.control = endpoint::Parse(absl::GetFlag(FLAGS_control));
  settings.seed = absl::GetFlag(FLAGS_seed);
  server_emulator emulator(loop, LoadFlaggedConfig(), settings);
  return RunUntilStopped(loop);
}

int RunCallers() {
  event_loop loop;
  client_emulator_settings settings;
  settings.local = endpoint::Parse(absl::GetFlag(FLAGS_listen));
  settings.fabric = endpoint::Parse(absl::GetFlag(FLAGS_fabric));
  settings.control = endpoint::Parse(absl::GetFlag(FLAGS_control));
  settings.platform = endpoint::Parse(absl::GetFlag(FLAGS_platform));
  settings.feeds = absl::GetFlag(FLAGS_feeds);
  settings.uploads = absl::GetFlag(FLAGS_uploads);
  settings.requests_per_second = absl::GetFlag(FLAGS_requests);
  settings.seed = absl::GetFlag(FLAGS_seed);
  client_emulator emulator(loop, LoadFlaggedConfig(), settings);
  return RunUntilStopped(loop);
}

std::string ReadReport(const std::string& control) {
  http_call call;
  call.url = "http://" + control + "/report";
  const std::optional<http_reply> reply = CallHttp(call);
  if (!reply) throw malformed_message("report", "no answer from " + control);
  return reply->body;
}

int RunMeasure() {
  const measures m =
      ComputeMeasures(ReadReport(absl::GetFlag(FLAGS_callers_control)),
                      ReadReport(absl::GetFlag(FLAGS_servers_control)));
  std::fputs(m.ToText(absl::GetFlag(FLAGS_name)).c_str(), stdout);
  return m.Violations() == 0 ? kExitSuccess : kExitFailure;
}

const std::map<std::string, std::function<int()>>& Roles() {
  static const auto* const kRoles =
      new std::map<std::string, std::function<int()>>{{"platform", RunPlatform},
                                                      {"fabric", RunFabric},
                                                      {"servers", RunServers},
                                                      {"callers", RunCallers},
                                                      {"measure", RunMeasure}};
  return *kRoles;
}

}  // namespace

int main(int argc, char** argv) {
  const auto arguments =
      ParseCommandLine("poplar_emulator", kUsage, argc, argv);
  const auto found =
      arguments.size() == 1 ? Roles().find(arguments[0]) : Roles().end();
  if (found == Roles().end()) {
    std::fputs(kUsage, stderr);
    return kExitUsage;
  }
  try {
    return found->second();
  } catch (const std::exception& failure) {
    std::fprintf(stderr, "poplar_emulator: %s\n", failure.what());
    return kExitFailure;
  }
}
