// What happened in a run, as events that checks read afterwards.
#ifndef POPLARSTAIR_TESTING_HISTORY_H_
#define POPLARSTAIR_TESTING_HISTORY_H_

#include <map>
#include <string>
#include <vector>

#include "poplarstair/core/ids.h"
#include "poplarstair/core/time.h"
#include "poplarstair/requests/request.h"

namespace poplarstair {

enum class history_kind : uint8_t {
  // Flows. `number` is the flow.
  kPacketSent,
  kPacketDelivered,
  kFlowOpened,
  kFlowBroken,
  // Requests. `number` is the call or the attempt.
  kCallStarted,
  kCallEnded,
  kAttemptSent,
  kRunStarted,
  kRunShed,
  kRunShedCold,
  // Configuration. `number` is the generation, `wanted` the accepted one.
  kConfigAccepted,
  kConfigInForce,
  kConfigChecked,
  kDomainOut,
  kDomainIn,
  kServerDraining,
  kServerActive,
  // Lives of processes.
  kServerCrashed,
  kServerCold,
  kInstanceStopping,
  kInstanceGone,
  // Leases. `number` is the fencing number.
  kLeaseGranted,
  kLeaseUsed,
  // Something unplanned that may cost requests under way.
  kFault,
};

template <>
struct enum_names<history_kind> {
  static constexpr std::string_view kNames[] = {
      "packet_sent",     "packet_delivered",  "flow_opened",
      "flow_broken",     "call_started",      "call_ended",
      "attempt_sent",    "run_started",       "run_shed",
      "run_shed_cold",   "config_accepted",   "config_in_force",
      "config_checked",  "domain_out",        "domain_in",
      "server_draining", "server_active",     "server_crashed",
      "server_cold",     "instance_stopping", "instance_gone",
      "lease_granted",   "lease_used",        "fault"};
};

struct history_event {
  time_point when;
  history_kind kind = history_kind::kFault;
  instance_id instance;
  /// The service that the caller asked for.
  service_id service;
  backend_server_id server;
  failure_domain_id domain;
  uint64_t number = 0;
  uint64_t wanted = 0;
  /// The request's id.
  std::string request;
  outcome result = outcome::kAnswered;
  bool may_be_repeated = false;
  /// For answers: whole, and to the call's own request.
  bool is_own_answer = true;
  /// False where the sender was cut off from everyone who could tell it.
  bool could_know = true;
  /// The packet opens a flow.
  bool opens_flow = false;
};

using history = std::vector<history_event>;

/// What a backend server really is, whatever an instance believes.
struct server_fact {
  std::string name;
  failure_domain_id domain;
  /// The services that operators gave it to, first to last.
  std::vector<service_id> owners;
};

struct site_facts {
  std::map<backend_server_id, server_fact> servers;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_TESTING_HISTORY_H_
