// Many flow planes in virtual time, with small fakes of fabric, callers and
// backend servers around them.
#ifndef POPLARSTAIR_TESTING_FLOW_SITE_H_
#define POPLARSTAIR_TESTING_FLOW_SITE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "poplarstair/routing/flow_plane.h"
#include "poplarstair/testing/event_queue.h"
#include "poplarstair/testing/message_bus.h"

namespace poplarstair {

struct flow_site_settings {
  uint32_t instances = 7;
  uint32_t domains = 3;
  /// Backend servers of each service.
  std::vector<uint32_t> servers = {14, 4};
  duration delay_between_domains = std::chrono::milliseconds(1);
  double new_flows_per_second = 2'100;
  /// Shares of short (4 s), middle (60 s) and long (800 s) flows.
  double short_share = 0.50;
  double middle_share = 0.45;
  duration mean_gap = std::chrono::seconds(12);
  /// Each instance gets a configuration within this time.
  duration config_delay = std::chrono::milliseconds(900);
  duration suspect_after = std::chrono::milliseconds(1500);
  duration dead_after = std::chrono::seconds(4);
  /// How long a leaving instance goes on.
  duration leave_time = std::chrono::seconds(5);
  duration tick = std::chrono::milliseconds(5);
  message_bus_settings bus;
  flow_plane_settings flows;
  uint64_t seed = 1;
};

/// What became of flows and packets.
struct flow_site_report {
  uint64_t opened = 0;
  uint64_t broken = 0;
  /// Of the broken ones, those that were older than 10 s.
  uint64_t broken_old = 0;
  uint64_t given_up = 0;
  uint64_t wrong_service = 0;
  uint64_t failed_opens = 0;
  /// New flows at a draining server, over 3 s after the edit.
  uint64_t late_new = 0;
  /// Packets into a withdrawn domain, over 3 s after the edit.
  uint64_t late_packets = 0;
  uint64_t packets = 0;
  uint64_t hops = 0;
  uint64_t dropped = 0;
  // Control bytes a second of each instance.
  double mean_bytes = 0;
  double p99_bytes = 0;
  double largest_second = 0;
  /// Highest average over 10 s of one instance.
  double largest_window = 0;
};

class flow_site {
 public:
  explicit flow_site(const flow_site_settings& settings);
  ~flow_site();

  using edit = std::function<void(effective_config&)>;

  // The clock. Flows open from the start on.
  void RunFor(duration length);
  time_point Now() const;

  // Operators.
  /// Accepts an edit; instances that can be reached get it soon.
  void Apply(const edit& change);
  /// `instance` gets later configurations only after Heal or ReleaseConfig.
  void HoldConfig(uint32_t instance);
  void ReleaseConfig(uint32_t instance);

  // Instances.
  void Kill(uint32_t instance);
  /// A planned stop: the others are told, and it ends after leave_time.
  void Leave(uint32_t instance);
  /// A new life under the old name and address, without state.
  void Start(uint32_t instance);

  // The network between failure domains.
  void CutDomain(uint32_t domain);
  void CutOneWay(uint32_t from_domain, uint32_t to_domain);
  void Heal();
  message_bus& Bus();

  /// Opens a flow that then sends nothing until Speak.
  uint32_t OpenIdle(uint32_t service);
  void Speak(uint32_t flow);
  /// Name of the server that holds the flow; empty if it is broken.
  std::string ServerOf(uint32_t flow) const;
  /// Open flows of each server, by name.
  std::map<std::string, uint64_t> FlowsPerServer() const;
  /// No further flows open; those that are open go on.
  void StopOpening();

  flow_plane& Plane(uint32_t instance);
  const effective_config& Config() const;
  flow_site_report Report() const;
  /// Forgets the traffic counted so far.
  void ResetTraffic();

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_TESTING_FLOW_SITE_H_
