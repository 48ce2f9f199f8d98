// Sends requests at a steady rate and records how they end.
#ifndef POPLARSTAIR_EMULATOR_REQUEST_LOAD_H_
#define POPLARSTAIR_EMULATOR_REQUEST_LOAD_H_

#include <memory>
#include <nlohmann/json_fwd.hpp>

#include "poplarstair/config/effective_config.h"
#include "poplarstair/emulator/client_emulator.h"
#include "poplarstair/io/event_loop.h"

namespace poplarstair {

class request_load {
 public:
  request_load(event_loop& loop, const effective_config& config,
               const client_emulator_settings& settings);
  ~request_load();

  /// Marks the time in which a failure domain is out, to be reported apart.
  void BeginWindow();
  void EndWindow();
  /// Sends no more.
  void Stop();

  /// Adds the counts to `report`.
  void AddTo(nlohmann::json& report) const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_EMULATOR_REQUEST_LOAD_H_
