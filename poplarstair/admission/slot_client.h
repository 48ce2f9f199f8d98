// One instance's permits to use one backend server's slots.
#ifndef POPLARSTAIR_ADMISSION_SLOT_CLIENT_H_
#define POPLARSTAIR_ADMISSION_SLOT_CLIENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "poplarstair/admission/slot_granter.h"
#include "poplarstair/core/ids.h"
#include "poplarstair/core/time.h"
#include "poplarstair/requests/request.h"
#include "poplarstair/requests/request_message.h"

namespace poplarstair {

/// A permit may be used until its lease ends, by this instance's own clock
/// and counted from before the ask was sent, so a pause can't stretch it.
class slot_client {
 public:
  explicit slot_client(backend_server_id server) : server_(server) {}

  /// True if an attempt may start now.
  bool CanStart(time_point now) const;
  void OnStart(time_point now, attempt_id id, time_point deadline);
  /// Ends an attempt. A lost one may go on in the server until its deadline.
  void OnEnd(time_point now, attempt_id id, attempt_result result);

  /// The ask to send now, if any. `wanted` counts permits in all, with those
  /// in use.
  std::optional<slot_ask> Ask(time_point now, uint64_t life, uint32_t wanted,
                              bool forced);
  void OnGrant(time_point now, const slot_grant& grant);
  /// Another instance grants now: idle permits are void.
  void OnGranterChanged();

  uint32_t InUse() const;
  uint32_t Idle(time_point now) const;
  /// Not worth asking for: it has refused lately.
  bool IsBackingOff(time_point now) const { return now < back_off_until_; }
  /// A wish that is not met soon: the server is cold, or its granting instance
  /// is silent or new.
  bool WaitsLong(time_point now) const;

 private:
  struct running_attempt {
    time_point started;
    time_point deadline;
  };

  uint32_t Permits(time_point now) const;
  uint32_t Keep(time_point now, uint32_t wanted) const;
  bool IsSlow(time_point now) const;
  void Learn(duration service_time);
  void DropLost(time_point now);

  const backend_server_id server_;
  std::map<attempt_id, running_attempt> running_;
  /// Deadlines of lost attempts.
  std::vector<time_point> lost_;
  uint32_t permits_ = 0;
  time_point valid_until_{};
  time_point held_since_{};
  bool others_wait_ = false;
  bool yielding_ = false;

  uint64_t number_ = 0;
  bool answered_ = true;
  time_point asked_at_{};
  uint32_t last_held_ = 0;
  uint32_t last_wanted_ = 0;
  time_point wished_at_{};

  time_point last_used_{};
  std::vector<uint32_t> service_times_us_;
  /// The server's usual service time; a much slower request is told at once.
  duration usual_{};
  bool slow_ = false;
  uint32_t refused_ = 0;
  time_point back_off_until_{};
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_ADMISSION_SLOT_CLIENT_H_
