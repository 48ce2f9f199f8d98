// Compares the ways of agreeing on the backend server of a flow, in virtual
// time and with the same seeds, and checks the bars for the one in use.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <cstdio>
#include <cstdlib>

#include "poplarstair/routing/placement.h"
#include "poplarstair/testing/flow_site.h"

ABSL_FLAG(uint64_t, seed, 1, "first seed");
ABSL_FLAG(uint32_t, seeds, 1, "number of seeds");
ABSL_FLAG(bool, full, false, "also fleets of 70 and 680 instances");
ABSL_FLAG(std::string, only, "", "only scripts whose name contains this");
ABSL_FLAG(bool, compare, true, "show the other strategies beside");

using namespace poplarstair;
using namespace std::chrono_literals;

namespace {

constexpr double kMaxControlBytes = 4'096;
constexpr double kMaxImbalance = 1.15;

/// Which promises a script has to keep.
enum class change_kind : uint8_t { kPlanned, kLossOfOne, kShown };

struct script {
  const char* name;
  change_kind kind;
  std::function<void(flow_site&)> run;
};

backend_server_config& Server(effective_config& config, size_t service,
                              size_t server) {
  return config.services[service].backend_servers[server];
}

void Drain(flow_site& site, size_t service, size_t server) {
  site.Apply([&](effective_config& config) {
    Server(config, service, server).state = backend_server_state::kDraining;
  });
}

void SetDomain(flow_site& site, size_t domain, bool in_service) {
  site.Apply([&](effective_config& config) {
    config.failure_domains[domain].in_service = in_service;
  });
}

void AddServer(flow_site& site, size_t service) {
  site.Apply([&](effective_config& config) {
    auto& servers = config.services[service].backend_servers;
    backend_server_config added = servers.back();
    added.name += "-b";
    added.id = IdFromName<backend_server_id>(added.name);
    added.address.port += 1;
    servers.push_back(added);
  });
}

void ReplaceAll(flow_site& site, uint32_t instances) {
  for (uint32_t i = 0; i < instances; ++i) {
    site.Leave(i);
    site.RunFor(8s);
    site.Start(i);
    site.RunFor(12s);
  }
}

std::vector<script> Scripts() {
  return {
      {"quiet", change_kind::kPlanned, [](flow_site& s) { s.RunFor(30s); }},
      {"drain", change_kind::kPlanned,
       [](flow_site& s) {
         Drain(s, 0, 3);
         s.RunFor(60s);
       }},
      {"two_drains", change_kind::kPlanned,
       [](flow_site& s) {
         Drain(s, 0, 3);
         s.RunFor(500ms);
         Drain(s, 1, 1);
         s.RunFor(60s);
       }},
      {"drain_and_back", change_kind::kPlanned,
       [](flow_site& s) {
         Drain(s, 0, 3);
         s.RunFor(30s);
         s.Apply([](effective_config& c) {
           Server(c, 0, 3).state = backend_server_state::kActive;
         });
         s.RunFor(60s);
       }},
      {"new_servers", change_kind::kPlanned,
       [](flow_site& s) {
         AddServer(s, 0);
         s.RunFor(20s);
         AddServer(s, 1);
         s.RunFor(60s);
       }},
      {"weights", change_kind::kPlanned,
       [](flow_site& s) {
         s.Apply([](effective_config& c) { Server(c, 0, 1).weight = 0.5; });
         s.RunFor(20s);
         s.Apply([](effective_config& c) { Server(c, 0, 2).weight = 2; });
         s.RunFor(60s);
       }},
      {"rolling", change_kind::kPlanned,
       [](flow_site& s) {
         Drain(s, 0, 3);
         s.RunFor(10s);
         ReplaceAll(s, 7);
         s.RunFor(10s);
       }},
      {"rolling_and_edits", change_kind::kPlanned,
       [](flow_site& s) {
         for (uint32_t i = 0; i < 7; ++i) {
           if (i < 2) Drain(s, 0, i);
           s.Leave(i);
           s.RunFor(6s);
           s.Apply([](effective_config&) {});
           s.Start(i);
           s.RunFor(10s);
         }
       }},
      {"late_instance", change_kind::kPlanned,
       [](flow_site& s) {
         s.HoldConfig(2);
         Drain(s, 0, 3);
         s.RunFor(20s);
         s.ReleaseConfig(2);
         s.RunFor(20s);
       }},
      {"domain_out_back", change_kind::kPlanned,
       [](flow_site& s) {
         SetDomain(s, 1, false);
         s.RunFor(20s);
         SetDomain(s, 1, true);
         s.RunFor(60s);
       }},
      {"loss_of_one", change_kind::kLossOfOne,
       [](flow_site& s) {
         Drain(s, 0, 3);
         s.RunFor(30s);
         s.Kill(2);
         s.RunFor(30s);
       }},
      {"loss_and_restart", change_kind::kLossOfOne,
       [](flow_site& s) {
         Drain(s, 0, 3);
         s.RunFor(30s);
         s.Kill(2);
         s.RunFor(1s);
         s.Start(2);
         s.RunFor(40s);
       }},
      {"bad_network", change_kind::kPlanned,
       [](flow_site& s) {
         s.Bus().Settings().duplication = 0.1;
         s.Bus().Settings().jitter = 30ms;
         Drain(s, 0, 3);
         s.RunFor(20s);
         ReplaceAll(s, 2);
       }},
      {"loss_of_two", change_kind::kShown,
       [](flow_site& s) {
         Drain(s, 0, 3);
         s.RunFor(30s);
         s.Kill(2);
         s.Kill(4);
         s.RunFor(30s);
       }},
      {"partition", change_kind::kShown,
       [](flow_site& s) {
         Drain(s, 0, 3);
         s.RunFor(20s);
         s.CutDomain(2);
         s.RunFor(15s);
         s.Heal();
         s.RunFor(20s);
       }},
      {"one_way_loss", change_kind::kShown,
       [](flow_site& s) {
         Drain(s, 0, 3);
         s.RunFor(20s);
         s.CutOneWay(0, 1);
         s.RunFor(15s);
         s.Heal();
         s.RunFor(20s);
       }},
  };
}

int Violations(const script& s, const flow_site_report& r) {
  int violations = 0;
  violations += r.wrong_service > 0 ? 1 : 0;
  if (s.kind == change_kind::kPlanned) violations += r.broken > 0 ? 1 : 0;
  if (s.kind == change_kind::kLossOfOne) violations += r.broken_old > 0 ? 1 : 0;
  if (s.kind == change_kind::kShown) return violations;
  violations += r.late_new > 0 ? 1 : 0;
  violations += r.late_packets > 0 ? 1 : 0;
  violations += r.largest_window > kMaxControlBytes ? 1 : 0;
  return violations;
}

flow_site_report RunScript(const script& s,
                           const flow_site_settings& settings) {
  flow_site site(settings);
  site.RunFor(20s);
  site.ResetTraffic();
  s.run(site);
  return site.Report();
}

void PrintHeader() {
  std::printf("%-18s %-10s %8s %6s %6s %6s %6s %6s %6s %6s %7s %7s %7s %7s\n",
              "script", "strategy", "opened", "broken", "old", "gvn_up",
              "wrong", "failed", "l_new", "l_pkt", "hops/p", "mean_B", "max1s",
              "max10s");
}

void PrintRow(const char* name, flow_strategy strategy,
              const flow_site_report& r, int violations) {
  const double hops = r.packets == 0 ? 0
                                     : static_cast<double>(r.hops) /
                                           static_cast<double>(r.packets);
  std::printf(
      "%-18s %-10s %8lu %6lu %6lu %6lu %6lu %6lu %6lu %6lu %7.4f %7.0f %7.0f "
      "%7.0f%s\n",
      name, NameOf(strategy).data(), r.opened, r.broken, r.broken_old,
      r.given_up, r.wrong_service, r.failed_opens, r.late_new, r.late_packets,
      hops, r.mean_bytes, r.largest_second, r.largest_window,
      violations > 0 ? "  <- violated" : "");
  std::fflush(stdout);
}

/// Most flows at one server over its fair share, with 10,000 flows a server.
double Imbalance(const std::vector<double>& weights) {
  flow_site_settings settings;
  settings.instances = 1;
  settings.servers = {static_cast<uint32_t>(weights.size()), 4};
  effective_config config = flow_site(settings).Config();
  double total = 0;
  for (size_t i = 0; i < weights.size(); ++i) {
    Server(config, 0, i).weight = weights[i];
    total += weights[i];
  }
  const placement table(config, config.services[0]);
  const size_t flows = 10'000 * weights.size();
  std::vector<double> counts(weights.size());
  for (size_t i = 0; i < flows; ++i)
    ++counts[table.ServerOf(HashCombine(i, 7))];
  double worst = 0;
  for (size_t i = 0; i < weights.size(); ++i) {
    const double share = static_cast<double>(flows) * weights[i] / total;
    worst = std::max(worst, counts[i] / share);
  }
  return worst;
}

int CheckImbalance() {
  int violations = 0;
  std::vector<double> mixed;
  mixed.reserve(14);
  for (int i = 0; i < 14; ++i) mixed.push_back(i % 3 == 0 ? 2 : 1);
  const std::pair<const char*, std::vector<double>> cases[] = {
      {"14 equal", std::vector<double>(14, 1)},
      {"14 mixed", mixed},
      {"4 equal", std::vector<double>(4, 1)},
      {"200 equal", std::vector<double>(200, 1)}};
  for (const auto& [name, weights] : cases) {
    const double worst = Imbalance(weights);
    std::printf("imbalance, %-10s %.3f x fair share\n", name, worst);
    violations += worst > kMaxImbalance ? 1 : 0;
  }
  return violations;
}

struct fleet {
  const char* name;
  uint32_t instances;
  double new_flows_per_second;
  duration delay;
  bool bars;
};

/// A drain in fleets of other sizes; 3,000 new flows/s an instance at the
/// first, fewer at the larger ones.
int RunFleets(uint64_t seed, bool full) {
  std::vector<fleet> fleets = {{"ost, 1.5 ms", 7, 700, 1500us, true},
                               {"full rate", 7, 21'000, 1ms, true}};
  if (full) {
    fleets.push_back({"70 instances", 70, 6'160, 1ms, true});
    fleets.push_back({"680 instances", 680, 6'000, 1ms, false});
  }
  int violations = 0;
  const script drain = Scripts()[1];
  for (const fleet& f : fleets) {
    for (const flow_strategy strategy :
         {flow_strategy::kHashOnly, flow_strategy::kKeepers}) {
      flow_site_settings settings;
      settings.seed = seed;
      settings.instances = f.instances;
      settings.new_flows_per_second = f.new_flows_per_second;
      settings.delay_between_domains = f.delay;
      settings.flows.strategy = strategy;
      if (f.instances > 7) settings.tick = 50ms;
      const flow_site_report report = RunScript(drain, settings);
      const bool judged = f.bars && strategy == flow_strategy::kKeepers;
      const int found = judged ? Violations(drain, report) : 0;
      violations += found;
      PrintRow(f.name, strategy, report, found);
    }
  }
  return violations;
}

}  // namespace

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  const std::string only = absl::GetFlag(FLAGS_only);
  const flow_strategy in_use = flow_plane_settings().strategy;
  int violations = 0;
  PrintHeader();
  for (uint32_t n = 0; n < absl::GetFlag(FLAGS_seeds); ++n) {
    for (const script& s : Scripts()) {
      if (std::string(s.name).find(only) == std::string::npos) continue;
      for (const flow_strategy strategy :
           {flow_strategy::kHashOnly, flow_strategy::kRecordAll,
            flow_strategy::kAskPeers, flow_strategy::kKeepers}) {
        const bool shown = n == 0 && absl::GetFlag(FLAGS_compare);
        if (!shown && strategy != in_use) continue;
        flow_site_settings settings;
        settings.seed = absl::GetFlag(FLAGS_seed) + n;
        settings.new_flows_per_second = 700;
        settings.flows.strategy = strategy;
        const flow_site_report report = RunScript(s, settings);
        const int found = strategy == in_use ? Violations(s, report) : 0;
        violations += found;
        PrintRow(s.name, strategy, report, found);
      }
    }
  }
  if (only.empty()) {
    violations +=
        RunFleets(absl::GetFlag(FLAGS_seed), absl::GetFlag(FLAGS_full));
    violations += CheckImbalance();
  }
  std::printf("result name=bench_flows violations=%d seed=%lu seeds=%u\n",
              violations, absl::GetFlag(FLAGS_seed),
              absl::GetFlag(FLAGS_seeds));
  return violations == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
