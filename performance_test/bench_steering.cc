// What cookie steering costs an instance as the fleet and the number of
// backend servers grow: digests, store calls, spread of a change, decisions.

#include <absl/flags/flag.h>

#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "poplarstair/catalog/catalog_replica.h"
#include "poplarstair/ctl/command_line.h"
#include "poplarstair/testing/entry_fleet.h"

ABSL_FLAG(uint64_t, seed, 1, "seed of every run");
ABSL_FLAG(std::vector<std::string>, sizes,
          std::vector<std::string>({"7", "70", "300"}), "fleets, in instances");
ABSL_FLAG(std::vector<std::string>, servers,
          std::vector<std::string>({"18", "150", "5000", "50000"}),
          "backend servers of one catalog");

namespace poplarstair {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kUsage =
    "usage: bench_steering [--seed=N] [--sizes=N,...] [--servers=N,...]\n"
    "\n"
    "Prints two tables for docs/CAPACITY.md. Fleets run in virtual time.\n";

constexpr size_t kDomains = 3;
/// Flows that are placed for one figure.
constexpr uint32_t kPlacements = 2000;

double MicrosecondsSince(std::chrono::steady_clock::time_point start) {
  const auto passed = std::chrono::steady_clock::now() - start;
  return std::chrono::duration<double, std::micro>(passed).count();
}

void PrintFleet(size_t instances, uint64_t seed) {
  entry_fleet fleet(instances, kDomains, seed);
  fleet.RunFor(seconds(8));
  const size_t bytes = fleet.digest_bytes;
  const size_t calls = fleet.store_calls;
  constexpr int kQuietSeconds = 20;
  fleet.RunFor(seconds(kQuietSeconds));
  const double per_second = static_cast<double>(instances) * kQuietSeconds;
  const double digest_rate =
      static_cast<double>(fleet.digest_bytes - bytes) / per_second;
  const double call_rate =
      static_cast<double>(fleet.store_calls - calls) / kQuietSeconds;
  fleet.SetRoutes(2);
  duration spread = duration::zero();
  while (fleet.Behind(2) > 0 && spread < seconds(60)) {
    fleet.RunFor(milliseconds(5));
    spread += milliseconds(5);
  }
  std::printf("| %zu | %.0f | %.2f | %zu | %.0f |\n", instances, digest_rate,
              call_rate, fleet.Followers(), ToSeconds(spread) * 1000);
}

std::vector<store_object> MakeServers(size_t count) {
  std::vector<store_object> objects;
  for (size_t i = 1; i <= count; ++i) {
    server_entry server;
    server.id = backend_server_id(HashCombine(i, 0));
    server.service = "service" + std::to_string(i % 8);
    server.address = {
        ip_address::FromV4(0x0a800000U + static_cast<uint32_t>(i)), 8080};
    server.failure_domain = "d" + std::to_string(i % kDomains);
    server.slots = 2;
    objects.push_back({"i-" + std::to_string(i), false, server, i});
  }
  return objects;
}

void PrintCatalog(size_t servers, uint64_t seed) {
  const time_point now{seconds(100)};
  catalog_replica replica([](const log_record&) {});
  replica.Replace(now, collection::kServers, {0, 1}, MakeServers(servers));
  route_table table;
  table.version = 1;
  service_route route;
  route.address = endpoint::Parse("198.18.0.1:443");
  route.services = {{"service1", 1}};
  table.routes = {route};
  replica.Replace(now, collection::kRoutes, {0, 1},
                  {{"main", false, table, 1}});
  const std::string exported = replica.Export(now, collection::kServers);

  steering_settings settings;
  settings.failure_domain = "d0";
  metric_registry metrics;
  flow_steering steering(
      settings, random_source(seed), metrics,
      {[](const log_record&) {}, [](server_row, const endpoint&) {},
       [](std::span<const uint8_t>, const steer_decision&) {},
       [](const segment&) {}, [](time_point) { return fleet_facts(); },
       [](const known_server&) { return false; },
       [](time_point) { return false; }});
  steering.OnCatalog(now, replica.Current());
  const auto update_start = std::chrono::steady_clock::now();
  steering.OnCatalog(now, replica.Current());
  const double update = MicrosecondsSince(update_start);
  steering.OnConfirmed({now + std::chrono::hours(1), now, now});
  segment packet;
  packet.service = route.address;
  packet.caller.address = ip_address::FromV4(0x64400007U);
  packet.opens_flow = true;
  const auto place_start = std::chrono::steady_clock::now();
  for (uint32_t i = 0; i < kPlacements; ++i) {
    packet.caller.port = static_cast<uint16_t>(i + 1);
    steering.OnSegment(now, packet, {});
  }
  const double place = MicrosecondsSince(place_start) / kPlacements;
  packet.opens_flow = false;
  const auto known_start = std::chrono::steady_clock::now();
  for (uint32_t i = 0; i < kPlacements; ++i) {
    packet.caller.port = static_cast<uint16_t>(i + 1);
    steering.OnSegment(now, packet, {});
  }
  const double known = MicrosecondsSince(known_start) / kPlacements;
  std::printf("| %zu | %.1f | %.0f | %.1f | %.2f |\n", servers,
              static_cast<double>(exported.size()) / 1024, update, place,
              known);
}

}  // namespace
}  // namespace poplarstair

int main(int argc, char** argv) {
  using namespace poplarstair;
  if (!ParseCommandLine("bench_steering", kUsage, argc, argv).empty()) {
    std::fputs(kUsage, stderr);
    return kExitUsage;
  }
  const uint64_t seed = absl::GetFlag(FLAGS_seed);
  std::puts(
      "| instances | digests, B/s an instance | store calls/s, fleet | "
      "followers | a change in force everywhere, ms |\n"
      "| --- | --- | --- | --- | --- |");
  for (const std::string& size : absl::GetFlag(FLAGS_sizes)) {
    PrintFleet(std::stoul(size), seed);
  }
  std::puts(
      "\n| backend servers | catalog between instances, KB | taking it over, "
      "us | placing a flow, us | packet of a known flow, us |\n"
      "| --- | --- | --- | --- | --- |");
  for (const std::string& count : absl::GetFlag(FLAGS_servers)) {
    PrintCatalog(std::stoul(count), seed);
  }
  return kExitSuccess;
}
