// Log lines of the decisions about flows and of beliefs about servers.
#ifndef POPLARSTAIR_STEERING_STEERING_LOG_H_
#define POPLARSTAIR_STEERING_STEERING_LOG_H_

#include <string>
#include <string_view>

#include "poplarstair/admission/server_estimates.h"
#include "poplarstair/core/log_record.h"
#include "poplarstair/steering/server_choice.h"
#include "poplarstair/steering/server_set.h"
#include "poplarstair/steering/steer_decision.h"

namespace poplarstair {

/// State from which the log lines are made; `age` is the age of the catalog.
struct steering_facts {
  const server_set& servers;
  const server_estimates& estimates;
  time_point now{};
  duration age{};
};

/// `CLIENT:PORT>SERVICE:PORT`, the key of every log line about a flow.
std::string FlowName(const segment& packet);
/// A backend server's id in hexadecimal, as in its catalog entry.
std::string ServerName(backend_server_id id);

log_record PlacedLine(const steering_facts& facts, const segment& packet,
                      const std::string& service, const server_choice& choice,
                      steer_reason reason);
log_record RefusedLine(const steering_facts& facts, const segment& packet,
                       steer_reason reason, uint64_t routes_version,
                       bool is_final);
/// `row` is kNoServer if the flow's server is not known; `waited` is the time
/// since the flow's request was sent.
log_record ResetLine(const steering_facts& facts, const segment& packet,
                     server_row row, steer_reason reason, duration waited);
log_record SilentLine(const steering_facts& facts, server_row row,
                      std::string_view source);

}  // namespace poplarstair

#endif  // POPLARSTAIR_STEERING_STEERING_LOG_H_
