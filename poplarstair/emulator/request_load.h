// Sends requests at a constant rate and counts how they end.
#ifndef POPLARSTAIR_EMULATOR_REQUEST_LOAD_H_
#define POPLARSTAIR_EMULATOR_REQUEST_LOAD_H_

#include <memory>
#include <nlohmann/json_fwd.hpp>

#include "poplarstair/config/effective_config.h"
#include "poplarstair/emulator/client_emulator.h"
#include "poplarstair/io/event_loop.h"

namespace poplarstair {

/// The request part of the client emulator.
class request_load {
 public:
  request_load(event_loop& loop, const effective_config& config,
               const client_emulator_settings& settings);
  ~request_load();

  /// Begin and end the time in which a failure domain is out. Requests sent in
  /// that time are also reported separately.
  void BeginDomainOutage();
  void EndDomainOutage();
  /// Sends no new requests; retries continue.
  void Stop();

  /// Adds the request counts to `report`, a JSON object.
  void AddTo(nlohmann::json& report) const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_EMULATOR_REQUEST_LOAD_H_
