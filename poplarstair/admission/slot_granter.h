// Shares one backend server's slots among the instances.
#ifndef POPLARSTAIR_ADMISSION_SLOT_GRANTER_H_
#define POPLARSTAIR_ADMISSION_SLOT_GRANTER_H_

#include <functional>
#include <map>
#include <set>

#include "poplarstair/admission/server_speed.h"
#include "poplarstair/core/ids.h"
#include "poplarstair/core/time.h"
#include "poplarstair/membership/member.h"
#include "poplarstair/requests/request_message.h"

namespace poplarstair {

/// How long an instance may use a permit after the ask that got it.
inline constexpr duration kSlotLease = std::chrono::milliseconds(250);

/// Runs on the server's granting instance. It counts what it has promised
/// until the holder has said that it keeps less, or, if the holder is silent,
/// until the last attempt under the promise must have ended.
class slot_granter {
 public:
  using grant_hook = std::function<void(instance_id, const slot_grant&)>;

  /// `longest_attempt`: no attempt runs longer than that after its start.
  slot_granter(time_point now, backend_server_id server, uint32_t slots,
               duration longest_attempt, grant_hook grant);

  void OnAsk(time_point now, instance_id from, const slot_ask& ask);
  void OnTick(time_point now, const member_view& view);
  void SetSlots(uint32_t slots);

  /// Members that have to be asked before the first grant.
  std::set<instance_id> Missing() const;
  bool IsReady() const { return ready_; }
  uint32_t Committed() const;
  uint32_t Limit() const { return speed_.Limit(); }

 private:
  struct client {
    uint64_t life = 0;
    uint64_t number = 0;
    uint32_t committed = 0;
    uint32_t wanted = 0;
    time_point waits_since;
    time_point free_at;
    /// Has been told that others wait.
    bool recalled = false;
  };

  void Distribute(time_point now);
  client* LongestWaiting(instance_id& who);
  bool OthersWait(instance_id who) const;
  void Recall();
  void Reply(instance_id to);
  void Learn(const slot_ask& ask);

  const backend_server_id server_;
  const duration longest_attempt_;
  const grant_hook grant_;
  server_speed speed_;
  bool ready_ = false;
  time_point ready_at_;
  std::set<instance_id> expected_;
  std::map<instance_id, client> clients_;
  /// Promises to earlier lives of instances.
  std::multimap<time_point, uint32_t> orphaned_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_ADMISSION_SLOT_GRANTER_H_
