// Decides where each packet of a caller's flow goes, without asking anybody:
// the flow's cookie names its backend server.
#ifndef POPLARSTAIR_STEERING_FLOW_STEERING_H_
#define POPLARSTAIR_STEERING_FLOW_STEERING_H_

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "poplarstair/admission/server_estimates.h"
#include "poplarstair/catalog/catalog.h"
#include "poplarstair/core/counters.h"
#include "poplarstair/core/log_record.h"
#include "poplarstair/core/random.h"
#include "poplarstair/steering/catalog_times.h"
#include "poplarstair/steering/client_timing.h"
#include "poplarstair/steering/segment.h"
#include "poplarstair/steering/server_choice.h"
#include "poplarstair/steering/server_report.h"
#include "poplarstair/steering/server_reporter.h"
#include "poplarstair/steering/server_set.h"
#include "poplarstair/steering/service_admission.h"
#include "poplarstair/steering/service_promises.h"
#include "poplarstair/steering/steer_decision.h"

namespace poplarstair {

struct steering_settings {
  std::string failure_domain;
  estimate_settings estimates;
  choice_settings choice;
  /// Observations that a server answers nobody before its open flows are
  /// reset, besides a connection that it did not take. A live server
  /// acknowledges data at once, however slow it works.
  uint32_t witnesses_to_reset = 2;
  /// Silence before open flows are reset: the client has asked the server twice
  /// by then, and given it as long for the second answer as for the first.
  duration silence_to_reset = 2 * kClientRepeatTime;
  /// An entry that has lapsed while the store was away is back by then.
  duration gone_to_reset = std::chrono::milliseconds(2500);
  service_promises promises;
  admission_settings admission;
};

/// Deterministic: it reads no clock and does no I/O.
class flow_steering {
 public:
  struct hooks {
    log_hook log;
    /// Test whether a silent server takes connections; answered by
    /// OnServerChecked.
    std::function<void(server_row, const endpoint&)> check_server;
    /// Send a packet that opened a flow, as decided: once more, or after it was
    /// held.
    std::function<void(std::span<const uint8_t> packet, const steer_decision&)>
        send_again;
    /// Reset a flow whose opening packet was held.
    std::function<void(const segment& packet)> reset;
    /// The other instances as they are known now.
    std::function<fleet_facts(time_point now)> fleet;
    /// Upper bound on the instances that open flows to the cold server now,
    /// including this one; 0 if this one must not.
    std::function<uint32_t(const known_server&)> cold_owners;
    /// True if other instances may serve what this one can't: a new flow that
    /// finds every server silent is then left to its caller's copies, which
    /// the fabric may hand to them.
    std::function<bool(time_point now)> others_may_serve;
  };

  flow_steering(const steering_settings& settings, random_source random,
                metric_registry& metrics, hooks actions);
  ~flow_steering();

  // Events.
  /// `bytes` is the packet itself, which is not read here: one that opens a
  /// flow is kept until the handshake is over, to be sent to another server.
  steer_decision OnSegment(time_point now, const segment& packet,
                           std::span<const uint8_t> bytes);
  /// To be called when NextHandshakeCheck is due.
  void OnHandshakeTimer(time_point now);
  void OnCatalog(time_point now, const catalog& current);
  /// As of when the catalog is known, by this instance or others.
  void OnConfirmed(const catalog_times& times);
  /// The instance was paused: nothing is placed until the catalog is confirmed
  /// anew, or until the last copies of the clients' packets come.
  void OnPause(time_point now);
  /// The instance itself was late: packets that repeat meanwhile say nothing
  /// about servers.
  void OnLate(time_point now);
  /// Whether other instances of the own domain are known: if so, one of them
  /// has to find a server silent too before its flows are reset.
  void SetHasNeighbours(bool has_neighbours);
  void OnPeerReports(time_point now, uint64_t peer,
                     std::vector<server_report> reports);
  /// What another instance knows of the claims to cookies.
  void OnCookieClaims(time_point now, const std::vector<cookie_claim>& claims);
  /// How busy the services are in another failure domain.
  void OnFarLoads(time_point now, const std::string& domain,
                  const std::vector<service_load>& loads);
  /// No instance of another domain has answered since then.
  void OnOthersSilent(time_point now, time_point since);
  void OnServerChecked(time_point now, server_row server, bool is_reachable);
  /// To be called at least every kTickInterval.
  void OnTick(time_point now);

  static constexpr duration kTickInterval = std::chrono::milliseconds(100);

  /// When a handshake will be overdue, or a held packet has to be decided on;
  /// kNever if there is none.
  time_point NextHandshakeCheck() const;
  /// As of when the servers have to be known for what waits for it: servers
  /// that may have started anew, flows of unknown servers; time_point{} if
  /// nothing waits.
  time_point ConfirmationNeeded(time_point now) const;
  /// For other instances of the domain: servers with work in progress, or
  /// silent, and a few others with samples of their work time, in turn.
  std::vector<server_report> Reports(time_point now);
  /// For other instances: claims to cookies that several names have.
  std::vector<cookie_claim> ContestedCookies(time_point now) const;
  /// For other instances: how busy the services are in the own domain.
  std::vector<service_load> ServiceLoads() const;
  /// What is believed of the servers, for operators; the slowest first.
  std::vector<server_belief> ServerBeliefs(time_point now, size_t most) const;
  /// Room of the services that have a limit, for operators.
  std::vector<service_admission::named_summary> Admission(time_point now);
  size_t OpenFlows() const;
  /// False if some service has servers that take new flows, and every one of
  /// them is silent from here.
  bool CanServe() const;
  /// True if a server that takes new flows is silent from here.
  bool HasSilentServers() const;
  /// True if servers have been silent and none has answered lately: this
  /// instance is the one that is cut off.
  bool IsCutOff(time_point now) const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_STEERING_FLOW_STEERING_H_
