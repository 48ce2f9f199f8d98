// Emulates clients: opens flows (feeds and uploads), sends requests, and counts
// how they end.
#ifndef POPLARSTAIR_EMULATOR_CLIENT_EMULATOR_H_
#define POPLARSTAIR_EMULATOR_CLIENT_EMULATOR_H_

#include <memory>
#include <string>

#include "poplarstair/config/effective_config.h"
#include "poplarstair/core/time.h"
#include "poplarstair/io/event_loop.h"

namespace poplarstair {

/// Addresses and load of the emulated clients.
struct client_emulator_settings {
  /// Address that packets are sent to (UDP).
  endpoint fabric;
  /// Where the servers' packets arrive (UDP). Its IP address is also the client
  /// address in the encapsulated packets.
  endpoint local;
  /// The platform's object API (HTTP), which lists the instances that requests
  /// are sent to.
  endpoint platform;
  /// Where the control interface listens (HTTP).
  endpoint control;

  /// Long-lived flows with a packet every `feed_interval`, for each service.
  uint32_t feeds = 1000;
  duration feed_interval = std::chrono::milliseconds(500);
  /// Flows with a packet every `upload_interval` that end after `upload_length`
  /// and are replaced by new ones, for each service.
  uint32_t uploads = 30;
  duration upload_interval = std::chrono::milliseconds(20);
  duration upload_length = std::chrono::seconds(4);
  /// Requests per second, for each service.
  uint32_t requests_per_second = 50;
  duration request_deadline = std::chrono::seconds(2);
  uint64_t seed = 1;
};

/// Emulates the clients of all services of a configuration. The control address
/// accepts `POST /domain_out?name=N` and `/domain_in`, which mark the time in
/// which a failure domain is out (flows that end in a domain that has been out
/// count as given up, not as broken), and `/stop` (no new work).
/// `GET /report` returns the counts as JSON.
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
