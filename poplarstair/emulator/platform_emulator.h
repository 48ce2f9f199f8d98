// Emulates the platform's object API.
#ifndef POPLARSTAIR_EMULATOR_PLATFORM_EMULATOR_H_
#define POPLARSTAIR_EMULATOR_PLATFORM_EMULATOR_H_

#include <memory>

#include "poplarstair/core/endpoint.h"
#include "poplarstair/io/event_loop.h"

namespace poplarstair {

/// Serves versioned objects with conditional updates and watches over HTTP.
/// Faults are injected with `POST /control/outage?ms=N` (calls get no answer
/// and have no effect for N milliseconds) and
/// `POST /control/lose_answers?count=N` (the next N updates take effect but get
/// no answer). `GET /control/calls` returns the number of calls so far.
class platform_emulator {
 public:
  platform_emulator(event_loop& loop, const endpoint& local);
  ~platform_emulator();

  /// The address and port that the emulator listens on.
  endpoint Local() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_EMULATOR_PLATFORM_EMULATOR_H_
