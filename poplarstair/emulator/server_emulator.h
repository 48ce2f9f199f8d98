// Stand-in for all backend servers of a configuration.
#ifndef POPLARSTAIR_EMULATOR_SERVER_EMULATOR_H_
#define POPLARSTAIR_EMULATOR_SERVER_EMULATOR_H_

#include <memory>

#include "poplarstair/config/effective_config.h"
#include "poplarstair/core/time.h"
#include "poplarstair/io/event_loop.h"

namespace poplarstair {

struct server_emulator_settings {
  /// UDP port at each caller's address where answers of flows go.
  uint16_t client_port = 6080;
  /// Mean time that a request takes.
  duration service_time = std::chrono::milliseconds(10);
  endpoint control;
  uint64_t seed = 1;
};

/// Every server holds its flows, and resets packets of flows that it does not
/// hold. It runs requests in its slots and refuses what is above them. The
/// control address takes `POST /domain_out?name=N`, `/domain_in?name=N` and
/// `/drain?server=SERVICE/NAME`, after which work that should have stopped
/// counts as a violation. `POST /snapshot` keeps each server's flows for the
/// measure of imbalance. `GET /report` gives all as JSON.
class server_emulator {
 public:
  server_emulator(event_loop& loop, effective_config_ptr config,
                  const server_emulator_settings& settings);
  ~server_emulator();

  /// Time after which withdrawn servers must get nothing more.
  static constexpr duration kWithdrawalBound = std::chrono::seconds(3);

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_EMULATOR_SERVER_EMULATOR_H_
