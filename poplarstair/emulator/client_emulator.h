// Stand-in for callers: feeds, uploads and requests, and what became of them.
#ifndef POPLARSTAIR_EMULATOR_CLIENT_EMULATOR_H_
#define POPLARSTAIR_EMULATOR_CLIENT_EMULATOR_H_

#include <memory>
#include <string>

#include "poplarstair/config/effective_config.h"
#include "poplarstair/core/time.h"
#include "poplarstair/io/event_loop.h"

namespace poplarstair {

struct client_emulator_settings {
  /// Where packets go in.
  endpoint fabric;
  /// Where answers of flows come back; also the callers' inner address.
  endpoint local;
  /// Lists the instances that requests are sent to.
  endpoint platform;
  endpoint control;

  /// Long flows that send a packet now and then, for each service.
  uint32_t feeds = 1000;
  duration feed_interval = std::chrono::milliseconds(500);
  /// Flows that send steadily and end, for each service.
  uint32_t uploads = 30;
  duration upload_interval = std::chrono::milliseconds(20);
  duration upload_length = std::chrono::seconds(4);
  /// Requests a second, for each service.
  uint32_t requests_per_second = 50;
  duration request_deadline = std::chrono::seconds(2);
  uint64_t seed = 1;
};

/// The control address takes `POST /domain_out?name=N` and `/domain_in` (flows
/// that end there are given up), `/stop` (no new work), and gives
/// `GET /report` as JSON.
class client_emulator {
 public:
  client_emulator(event_loop& loop, effective_config_ptr config,
                  const client_emulator_settings& settings);
  ~client_emulator();

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_EMULATOR_CLIENT_EMULATOR_H_
