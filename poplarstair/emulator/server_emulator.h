// Emulates all backend servers of a configuration.
#ifndef POPLARSTAIR_EMULATOR_SERVER_EMULATOR_H_
#define POPLARSTAIR_EMULATOR_SERVER_EMULATOR_H_

#include <memory>

#include "poplarstair/config/effective_config.h"
#include "poplarstair/core/time.h"
#include "poplarstair/io/event_loop.h"

namespace poplarstair {

/// Settings of the emulated servers.
struct server_emulator_settings {
  /// UDP port at each client's address that packets of flows are sent to.
  uint16_t client_port = 6080;
  /// Mean processing time of a request.
  duration service_time = std::chrono::milliseconds(10);
  /// Where the control interface listens (HTTP).
  endpoint control;
  uint64_t seed = 1;
};

/// Each server keeps a table of its flows and answers packets of unknown flows
/// with a reset. It runs as many requests at once as it has slots and refuses
/// the others. The control address accepts `POST /domain_out?name=N`,
/// `/domain_in?name=N` and `/drain?server=SERVICE/NAME`. Packets for a domain
/// that is out, and new work for a drained server, count as violations once
/// kWithdrawalBound has passed. `POST /snapshot` records each server's number
/// of flows for the measure of imbalance. `GET /report` returns the counts as
/// JSON.
class server_emulator {
 public:
  server_emulator(event_loop& loop, effective_config_ptr config,
                  const server_emulator_settings& settings);
  ~server_emulator();

  /// Time after a withdrawal or drain from which violations are counted.
  static constexpr duration kWithdrawalBound = std::chrono::seconds(3);

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_EMULATOR_SERVER_EMULATOR_H_
