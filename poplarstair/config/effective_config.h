// The validated configuration of one site, which all subsystems read.
#ifndef POPLARSTAIR_CONFIG_EFFECTIVE_CONFIG_H_
#define POPLARSTAIR_CONFIG_EFFECTIVE_CONFIG_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "poplarstair/core/endpoint.h"
#include "poplarstair/core/enum_names.h"
#include "poplarstair/core/ids.h"
#include "poplarstair/core/time.h"

namespace poplarstair {

enum class transport_protocol : uint8_t { kTcp, kUdp };

template <>
struct enum_names<transport_protocol> {
  static constexpr std::string_view kNames[] = {"tcp", "udp"};
};

/// The state of a backend server that operators have configured. A draining
/// server keeps its established flows and gets no new flows or requests.
enum class backend_server_state : uint8_t { kActive, kDraining };

template <>
struct enum_names<backend_server_state> {
  static constexpr std::string_view kNames[] = {"active", "draining"};
};

struct failure_domain_config {
  failure_domain_id id;
  std::string name;
  /// False while operators have taken the failure domain out of service;
  /// nothing is sent to it.
  bool in_service = true;
};

struct backend_server_config {
  backend_server_id id;
  std::string name;
  failure_domain_id failure_domain;
  /// Destination of the encapsulated packets of flows.
  endpoint address;
  /// Destination of requests (HTTP/2).
  endpoint request_address;
  /// Share of the service's work, relative to the other servers.
  double weight = 1.0;
  /// Number of requests that the server runs at the same time.
  uint32_t slots = 1;
  /// Number of flows that the server holds at the same time.
  uint32_t connections = 1;
  backend_server_state state = backend_server_state::kActive;
};

struct service_config {
  service_id id;
  std::string name;
  transport_protocol protocol = transport_protocol::kTcp;
  /// The addresses to which clients connect.
  std::vector<endpoint> addresses;
  /// In order of name.
  std::vector<backend_server_config> backend_servers;
};

/// Bounds on the work that an instance takes.
struct limits_config {
  uint32_t max_flows = 400'000;
  duration flow_idle_timeout = std::chrono::hours(4);
  uint32_t max_queued_requests = 1'000;
  duration default_deadline = std::chrono::seconds(10);
  /// Time in which the load of a newly started backend server rises to its full
  /// share.
  duration slow_start = std::chrono::seconds(30);
};

struct effective_config {
  generation number = 0;
  std::string site;
  /// In order of name.
  std::vector<failure_domain_config> failure_domains;
  /// In order of name.
  std::vector<service_config> services;
  limits_config limits;

  /// Each returns null if there is no such entry.
  const failure_domain_config* FindDomain(failure_domain_id id) const;
  const service_config* FindService(service_id id) const;
  const service_config* FindServiceByName(std::string_view name) const;
};

using effective_config_ptr = std::shared_ptr<const effective_config>;

/// True if `server` may get new flows and requests: it is active, has a weight
/// above 0, and its failure domain is in service.
bool TakesNewWork(const effective_config& config,
                  const backend_server_config& server);

/// True if packets may be sent to `server`: its failure domain is in service.
bool MayReceive(const effective_config& config,
                const backend_server_config& server);

}  // namespace poplarstair

#endif  // POPLARSTAIR_CONFIG_EFFECTIVE_CONFIG_H_
