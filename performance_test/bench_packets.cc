// Cost of a packet decision as a ratio to a plain look-up in a table of the
// same size, bytes a flow, and how both grow.
#include <cstdio>
#include <cstdlib>
#include <ctime>

#include "poplarstair/routing/flow_plane.h"
#include "poplarstair/routing/flow_table.h"

using namespace poplarstair;
using namespace std::chrono_literals;

namespace {

constexpr double kMaxLocalRatio = 20;
constexpr double kMaxBytesPerFlow = 64;
constexpr uint32_t kPackets = 1'000'000;

double CpuSeconds() {
  timespec t{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
  return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) * 1e-9;
}

effective_config_ptr MakeConfig(uint32_t servers, generation number, bool drain,
                                uint32_t max_flows) {
  auto config = std::make_shared<effective_config>();
  config->number = number;
  config->limits.max_flows = max_flows;
  config->failure_domains.push_back({failure_domain_id(1), "a", true});
  service_config service;
  service.name = "s";
  service.id = IdFromName<service_id>("s");
  service.addresses = {endpoint::Parse("10.0.0.1:443")};
  for (uint32_t i = 0; i < servers; ++i) {
    backend_server_config server;
    server.name = "s" + std::to_string(i);
    server.id = IdFromName<backend_server_id>(server.name);
    server.failure_domain = failure_domain_id(1);
    server.address = {ip_address::FromV4(0x7f000000 + i), 7001};
    if (drain && i % 2 == 0) server.state = backend_server_state::kDraining;
    service.backend_servers.push_back(server);
  }
  config->services.push_back(service);
  return config;
}

packet_info PacketOf(uint32_t flow, bool opens) {
  packet_info packet;
  packet.key.client = {ip_address::FromV4(0x0c000000 + (flow >> 14)),
                       static_cast<uint16_t>(1024 + (flow & 0x3fff))};
  packet.key.service = endpoint::Parse("10.0.0.1:443");
  packet.opens_flow = opens;
  return packet;
}

std::vector<packet_info> Packets(uint32_t flows, bool opens) {
  std::vector<packet_info> packets;
  for (uint32_t i = 0; i < flows; ++i) packets.push_back(PacketOf(i, opens));
  return packets;
}

/// Nanoseconds of one call of `decide`, over packets in scattered order.
template <typename Decide>
double NanosecondsOf(const std::vector<packet_info>& packets, Decide decide) {
  const double start = CpuSeconds();
  size_t at = 0;
  for (uint32_t i = 0; i < kPackets; ++i) {
    at = (at + 7919) % packets.size();
    decide(packets[at]);
  }
  return (CpuSeconds() - start) * 1e9 / kPackets;
}

struct member_entry {
  instance_id id;
  uint16_t port;
};

member_view ViewOf(const std::vector<member_entry>& entries) {
  member_view view;
  for (const member_entry& e : entries) {
    member m;
    m.address.id = e.id;
    m.address.hand_on_address = {ip_address::FromV4(0x7f000001), e.port};
    m.life = 1;
    view.members.push_back(m);
  }
  return view;
}

struct figures {
  double table_ns = 0;
  double settled_ns = 0;
  double local_ns = 0;
  double handed_on_ns = 0;
  double bytes_per_flow = 0;
  double config_ms = 0;
};

double TableNanoseconds(const std::vector<packet_info>& packets) {
  flow_table table(static_cast<uint32_t>(packets.size()));
  for (const packet_info& packet : packets) {
    flow_entry entry;
    entry.flow = FingerprintOf(HashFlow(packet.key));
    entry.server = 1;
    table.Put(entry);
  }
  uint64_t found = 0;
  const double ns = NanosecondsOf(packets, [&](const packet_info& packet) {
    found += table.Find(FingerprintOf(HashFlow(packet.key))) != nullptr;
  });
  if (found != kPackets) std::abort();
  return ns;
}

figures Measure(uint32_t flows, uint32_t servers) {
  figures result;
  const auto opening = Packets(flows, true);
  const auto data = Packets(flows, false);
  result.table_ns = TableNanoseconds(data);

  // Alone, the instance is the keeper of every bucket; with a peer that is
  // ready, about half of the packets are handed on.
  metric_registry metrics;
  std::vector<peer_message> sent;
  const instance_id self(1);
  flow_plane plane({}, self, random_source(1), metrics,
                   {[&](const peer_message& m) { sent.push_back(m); },
                    [](const log_record&) {}});
  time_point now{};
  plane.OnMembers(now, ViewOf({{self, 1}}));
  plane.OnConfig(now, MakeConfig(servers, 1, false, flows * 2));
  for (int i = 0; i < 3; ++i) plane.OnTick(now += 1s);
  uint64_t delivered = 0;
  const auto decide = [&](const packet_info& packet) {
    const auto decision = plane.OnPacket(now, packet);
    delivered += decision.verdict == packet_verdict::kDeliver;
  };
  result.settled_ns = NanosecondsOf(data, decide);
  const double start = CpuSeconds();
  plane.OnConfig(now, MakeConfig(servers, 2, true, flows * 2));
  result.config_ms = (CpuSeconds() - start) * 1e3;
  now += 5s;
  for (const packet_info& packet : opening) decide(packet);
  result.local_ns = NanosecondsOf(data, decide);
  if (delivered != 2 * kPackets + flows) std::abort();
  return result;
}

}  // namespace

int main() {
  int violations = 0;
  std::printf("%9s %8s %9s %14s %12s %10s\n", "flows", "servers", "table ns",
              "settled/table", "local/table", "config ms");
  const std::pair<uint32_t, uint32_t> sizes[] = {{10'000, 18},
                                                 {100'000, 18},
                                                 {1'000'000, 18},
                                                 {100'000, 500},
                                                 {100'000, 5'000}};
  for (const auto& [flows, servers] : sizes) {
    const figures f = Measure(flows, servers);
    const double settled = f.settled_ns / f.table_ns;
    const double local = f.local_ns / f.table_ns;
    std::printf("%9u %8u %9.1f %14.2f %12.2f %10.1f\n", flows, servers,
                f.table_ns, settled, local, f.config_ms);
    std::fflush(stdout);
    violations += local > kMaxLocalRatio ? 1 : 0;
    flow_table table(flows);
    flow_entry entry;
    entry.server = 1;
    for (uint32_t i = 0; i < flows; ++i) {
      entry.flow = HashBytes({reinterpret_cast<const char*>(&i), sizeof(i)});
      table.Put(entry);
    }
    const double bytes =
        static_cast<double>(table.MemoryBytes()) / static_cast<double>(flows);
    std::printf("%9u bytes a recorded flow %.1f\n", flows, bytes);
    violations += bytes > kMaxBytesPerFlow ? 1 : 0;
  }
  std::printf("result name=bench_packets violations=%d\n", violations);
  return violations == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
