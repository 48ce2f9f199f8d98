// Admission of new flows to the services of the catalog: the room of each, and
// the packets that wait for it.
#ifndef POPLARSTAIR_STEERING_SERVICE_ADMISSION_H_
#define POPLARSTAIR_STEERING_SERVICE_ADMISSION_H_

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "poplarstair/admission/flow_admission.h"
#include "poplarstair/admission/server_estimates.h"
#include "poplarstair/catalog/catalog.h"
#include "poplarstair/core/counters.h"
#include "poplarstair/core/log_record.h"
#include "poplarstair/steering/segment.h"
#include "poplarstair/steering/server_set.h"

namespace poplarstair {

struct admission_settings {
  /// False: new flows are never held or refused for lack of room.
  bool is_enabled = true;
  /// Requests in progress for each slot: one that runs; one that waits, so that
  /// the slot does not stay idle while the answer and the next request are on
  /// their way; and one since no instance knows exactly what the others send.
  double requests_per_slot = 3;

  friend bool operator==(const admission_settings&,
                         const admission_settings&) = default;
};

/// The other instances, as far as the room of this one depends on them.
struct fleet_facts {
  /// Instances of the own domain, with this one.
  uint32_t instances_of_domain = 1;
  /// Position of this instance among those of its domain, from 0.
  uint32_t index_in_domain = 0;
  /// Failure domains that have instances.
  uint32_t domains = 1;
  /// False for some time after a start or a pause.
  bool is_settled = false;
};

/// How busy the servers of a service are, as one instance of a failure domain
/// sees it; sent to other instances.
struct service_load {
  /// Hash of the service's name.
  uint32_t service = 0;
  /// Requests of the instance in progress, of its even share of its domain's
  /// slots.
  double per_slot = 0;
};

/// A packet that opened a flow and was held, with what is to happen to it now.
struct held_opening {
  uint64_t hash = 0;
  segment packet;
  std::vector<uint8_t> bytes;
  std::string service;
  admission_verdict verdict = admission_verdict::kForward;
  /// The client has sent its packet again meanwhile; another instance that got
  /// the copy has reset the flow.
  bool is_late = false;
};

/// Deterministic: it reads no clock and does no I/O.
class service_admission {
 public:
  service_admission(const admission_settings& settings,
                    metric_registry& metrics, log_hook log)
      : settings_(settings), metrics_(metrics), log_(std::move(log)) {}

  /// A service is subject to admission if its routes have different priorities.
  void OnRoutes(const route_table& routes);
  /// Sets the room of each service; `domain` is the own failure domain. To be
  /// called every kUpdateInterval, since servers that fall silent are no room,
  /// and when the catalog has changed.
  void UpdateRoom(time_point now, const server_set& servers,
                  const server_estimates& estimates, const std::string& domain,
                  const fleet_facts& fleet);

  service_number NumberOf(const std::string& service);

  /// For other instances: how busy the limited services are.
  std::vector<service_load> Loads() const;
  /// Loads that an instance of another failure domain has reported.
  void OnPeerLoads(time_point now, const std::string& domain,
                   const std::vector<service_load>& loads);

  /// What to do with a packet that opens a flow; a copy of it is kept if it is
  /// held. `handshake` is the time that a handshake may take.
  admission_verdict Offer(time_point now, const segment& packet, uint64_t hash,
                          std::span<const uint8_t> bytes,
                          const std::string& service, uint32_t priority,
                          duration handshake);
  bool IsHeld(uint64_t hash) const { return held_.contains(hash); }
  /// True if a further request would be forwarded whatever its priority.
  bool HasRoom(time_point now, const std::string& service) {
    return admission_.HasRoom(now, NumberOf(service));
  }
  /// True if a further request would find a free slot at the service.
  bool HasFreeSlot(time_point now, const std::string& service) {
    return admission_.HasFreeSlot(now, NumberOf(service));
  }
  void OnStarted(time_point now, uint64_t hash, server_row row,
                 const known_server& server, const std::string& own_domain) {
    admission_.OnStarted(now, NumberOf(server.service), hash, row,
                         server.failure_domain != own_domain);
  }
  /// Where the next new flow goes while the service is short of room; empty
  /// while it is not, or where the room is not known.
  std::span<const server_row> Candidates(time_point now,
                                         const std::string& service,
                                         const server_set& servers);
  /// Requests of this instance in progress at a server.
  uint32_t InProgressAt(const std::string& service, server_row row) {
    return admission_.InProgressAt(NumberOf(service), row);
  }
  void OnEnded(time_point now, uint64_t hash, std::optional<duration> took) {
    admission_.OnEnded(now, hash, took);
  }
  /// What is to be forwarded or refused now; see flow_admission::TakeNext.
  std::optional<held_opening> TakeNext(time_point now);
  time_point NextDue() const { return admission_.NextDue(); }

  /// To be called ten times a second. Logs services that have become short of
  /// room, or have room again.
  void OnTick(time_point now);

  static constexpr duration kUpdateInterval = std::chrono::milliseconds(500);

  struct named_summary {
    std::string service;
    admission_summary summary;
  };
  /// Of all services that have a limit.
  std::vector<named_summary> Summaries(time_point now);

 private:
  struct far_load {
    double per_slot = 0;
    time_point reported_at{};
  };

  struct service_info {
    std::string name;
    /// Its routes have different priorities.
    bool has_priorities = false;
    /// Some route names other services beside it.
    bool is_split = false;
    /// Has been logged as short of room.
    bool is_short = false;
    /// Room at the servers of the own domain and of the others.
    double own_room = flow_admission::kNoLimit;
    double far_room = 0;
    /// Even share of the own domain's slots.
    double share = flow_admission::kNoLimit;
    /// Smoothed requests in progress.
    double load = 0;
    /// Usable servers of the own domain and of others; where `has_subsets`,
    /// those of them that this instance uses while the service is short of
    /// room.
    std::vector<server_row> own_servers;
    std::vector<server_row> far_servers;
    bool has_subsets = false;
    std::map<std::string, far_load> far_loads;
    metric* room = nullptr;
    metric* in_progress = nullptr;
    metric* waiting = nullptr;
  };

  void UpdateService(time_point now, service_number number,
                     const server_set& servers,
                     const server_estimates& estimates,
                     const std::string& domain, const fleet_facts& fleet);

  /// Requests that an instance may have in progress, by its even share of the
  /// slots.
  double Room(double share) const;

  struct held_packet {
    segment packet;
    std::vector<uint8_t> bytes;
    time_point came_at{};
  };

  const admission_settings settings_;
  metric_registry& metrics_;
  const log_hook log_;
  flow_admission admission_;
  fleet_facts fleet_;
  std::vector<service_info> services_;
  absl::flat_hash_map<std::string, service_number> numbers_;
  absl::flat_hash_map<uint64_t, held_packet> held_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_STEERING_SERVICE_ADMISSION_H_
