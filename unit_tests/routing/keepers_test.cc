// Failures in which the keepers of unsettled buckets must not break flows.
#include "poplarstair/testing/flow_site.h"

// After the project's headers: its macro Test is a name in Abseil.
#include <criterion/criterion.h>

using namespace poplarstair;
using namespace std::chrono_literals;

namespace {

flow_site_settings SmallSite(uint64_t seed) {
  flow_site_settings settings;
  settings.seed = seed;
  settings.new_flows_per_second = 100;
  return settings;
}

void Drain(flow_site& site, size_t service, size_t server) {
  site.Apply([&](effective_config& config) {
    config.services[service].backend_servers[server].state =
        backend_server_state::kDraining;
  });
}

void ExpectNothingBroken(const flow_site& site) {
  const flow_site_report report = site.Report();
  cr_assert_eq(report.broken, 0u);
  cr_assert_eq(report.wrong_service, 0u);
  cr_assert_eq(report.late_new, 0u);
  cr_assert_gt(report.opened, 1000u);
}

}  // namespace

Test(keepers, idle_flows_keep_their_server_for_an_hour_across_a_drain) {
  flow_site site(SmallSite(11));
  site.RunFor(3s);
  std::vector<std::pair<uint32_t, std::string>> feeds;
  for (int i = 0; i < 100; ++i) {
    const uint32_t flow = site.OpenIdle(0);
    feeds.emplace_back(flow, "");
  }
  site.RunFor(2s);
  for (auto& [flow, server] : feeds) server = site.ServerOf(flow);
  Drain(site, 0, 3);
  site.RunFor(20s);
  site.StopOpening();
  site.RunFor(1h);
  for (const auto& [flow, server] : feeds) {
    site.Speak(flow);
    site.RunFor(100ms);
    cr_assert_eq(site.ServerOf(flow), server);
  }
  cr_assert_eq(site.Report().broken, 0u);
}

Test(keepers, two_changes_at_once_break_nothing) {
  flow_site site(SmallSite(12));
  site.RunFor(10s);
  Drain(site, 0, 3);
  site.RunFor(200ms);
  Drain(site, 0, 4);
  site.RunFor(20s);
  ExpectNothingBroken(site);
}

Test(keepers, an_instance_that_dies_while_records_move_loses_no_old_flow) {
  flow_site site(SmallSite(13));
  site.RunFor(10s);
  Drain(site, 0, 3);
  site.RunFor(25s);
  site.Leave(1);
  site.RunFor(8s);
  site.Start(1);
  site.RunFor(400ms);
  site.Kill(1);
  site.RunFor(20s);
  cr_assert_eq(site.Report().broken_old, 0u);
}

Test(keepers, a_restart_with_the_same_address_loses_no_old_flow) {
  flow_site site(SmallSite(14));
  site.RunFor(10s);
  Drain(site, 0, 3);
  site.RunFor(25s);
  site.Kill(2);
  site.RunFor(1s);
  site.Start(2);
  site.RunFor(60s);
  cr_assert_eq(site.Report().broken_old, 0u);
}

Test(keepers, a_keeper_that_was_cut_off_learns_before_it_decides) {
  flow_site site(SmallSite(15));
  site.RunFor(10s);
  site.CutDomain(2);
  site.RunFor(10s);
  site.Heal();
  site.RunFor(5s);
  const uint64_t broken = site.Report().broken;
  Drain(site, 0, 3);
  site.RunFor(30s);
  cr_assert_eq(site.Report().broken, broken);
}

Test(keepers, duplicated_and_reordered_messages_break_nothing) {
  flow_site_settings settings = SmallSite(16);
  settings.bus.duplication = 0.2;
  settings.bus.jitter = 20ms;
  flow_site site(settings);
  site.RunFor(10s);
  Drain(site, 0, 3);
  site.RunFor(20s);
  ExpectNothingBroken(site);
}

Test(keepers, an_instance_without_the_new_configuration_breaks_nothing) {
  flow_site site(SmallSite(17));
  site.RunFor(10s);
  site.HoldConfig(2);
  Drain(site, 0, 3);
  site.RunFor(20s);
  ExpectNothingBroken(site);
}

Test(keepers, a_clock_that_jumps_by_an_hour_breaks_nothing) {
  flow_site site(SmallSite(18));
  site.RunFor(10s);
  Drain(site, 0, 3);
  site.RunFor(10s);
  const uint32_t feed = site.OpenIdle(0);
  site.RunFor(2s);
  const std::string server = site.ServerOf(feed);
  for (uint32_t i = 0; i < 7; ++i) {
    site.Plane(i).OnTick(site.Now() + 1h);
  }
  site.RunFor(10s);
  site.Speak(feed);
  site.RunFor(100ms);
  cr_assert_eq(site.ServerOf(feed), server);
  ExpectNothingBroken(site);
}

Test(keepers, a_moved_address_waits_for_an_instance_that_does_not_know) {
  flow_site site(SmallSite(19));
  site.RunFor(5s);
  site.HoldConfig(2);
  site.CutDomain(2);
  // The last server of service 0 moves to service 1 with its address.
  site.Apply([](effective_config& config) {
    auto& from = config.services[0].backend_servers;
    auto& to = config.services[1].backend_servers;
    to.push_back(from.back());
    to.back().name = "moved";
    to.back().id = IdFromName<backend_server_id>("moved");
    from.pop_back();
  });
  site.RunFor(10s);
  const std::string state = site.Plane(0).StateJson();
  cr_assert(state.find("\"pending_servers\":[\"moved\"]") != std::string::npos);
  cr_assert_eq(site.FlowsPerServer().count("moved"), 0u);
  site.Heal();
  site.RunFor(60s);
  cr_assert(site.Plane(0).StateJson().find("\"pending_servers\":[]") !=
            std::string::npos);
  cr_assert_gt(site.FlowsPerServer()["moved"], 0u);
}

Test(keepers, state_can_be_shown_before_the_first_configuration) {
  metric_registry metrics;
  flow_plane plane({}, instance_id(1), random_source(1), metrics, {});
  cr_assert(plane.StateJson().find("joining") != std::string::npos);
}
