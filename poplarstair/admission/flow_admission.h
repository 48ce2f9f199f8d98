// Which new flows are opened while a service has more requests than its servers
// can run.
#ifndef POPLARSTAIR_ADMISSION_FLOW_ADMISSION_H_
#define POPLARSTAIR_ADMISSION_FLOW_ADMISSION_H_

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <limits>
#include <optional>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include "poplarstair/admission/recent_durations.h"
#include "poplarstair/admission/slot_supply.h"
#include "poplarstair/core/time.h"

namespace poplarstair {

/// Number of a service, as its owner counts them.
using service_number = uint32_t;

/// A client's packet that opens a flow.
struct flow_opening {
  uint64_t flow = 0;
  /// 0 is the most urgent.
  uint32_t priority = 0;
  /// When the first copy of the packet came.
  time_point came_at{};
  /// By when it has to be forwarded: later, the client repeats it before the
  /// server's answer can reach it.
  time_point latest_at{};
};

enum class admission_verdict : uint8_t { kForward, kHold, kRefuse };

/// A held opening whose time has come: to be forwarded, or refused.
struct admission_decision {
  flow_opening opening;
  service_number service = 0;
  admission_verdict verdict = admission_verdict::kForward;
};

/// What operators see of a service.
struct admission_summary {
  /// Requests that this instance may have in progress; infinity for no limit.
  double room = std::numeric_limits<double>::infinity();
  size_t in_progress = 0;
  size_t waiting = 0;
  /// Openings that were held or refused since the service became short of room.
  uint64_t held = 0;
  uint64_t refused = 0;
  /// When it became short of room; kNever if it is not.
  time_point short_since = kNever;
};

/// Answers the load in which clients compete for too little room. Limits the
/// requests that one instance has in progress at a service, holds what can be
/// forwarded in time, the highest priority first, and refuses the rest at once.
///
/// Deterministic: it reads no clock and does no I/O.
class flow_admission {
 public:
  static constexpr double kNoLimit = std::numeric_limits<double>::infinity();

  /// Sets how many requests the instance may have in progress at the service,
  /// and how many of them find a free slot.
  void SetRoom(service_number service, double room, double free_slots);

  /// A new flow. If it is to be forwarded, OnStarted has to follow.
  admission_verdict Offer(time_point now, service_number service,
                          const flow_opening& opening);
  /// True if new flows have been held or refused lately.
  bool IsShort(time_point now, service_number service);
  /// True if a new flow of any priority would be forwarded.
  bool HasRoom(time_point now, service_number service);
  /// True if a further request would find a free slot.
  bool HasFreeSlot(time_point now, service_number service);
  /// A request was sent to `server`, which may belong to another failure
  /// domain; again for a flow that has one in progress already.
  void OnStarted(time_point now, service_number service, uint64_t flow,
                 uint32_t server = 0, bool is_far = false);
  /// The request of the flow, if it has one, has ended; `took` if by an answer.
  void OnEnded(time_point now, uint64_t flow, std::optional<duration> took);

  /// Held openings that are to be forwarded or refused now. OnStarted has to
  /// follow before the next call for one that is forwarded.
  std::optional<admission_decision> TakeNext(time_point now);
  /// When a held opening has to be decided on at the latest; kNever if none is
  /// held.
  time_point NextDue() const;

  /// Requests of this instance in progress at one server, and at servers of
  /// other failure domains.
  uint32_t InProgressAt(service_number service, uint32_t server) const;
  size_t FarInProgress(service_number service) const;
  size_t InProgress(time_point now, service_number service);

  admission_summary Summary(time_point now, service_number service);

  /// Openings that have waited without a break for longer, the time after which
  /// clients repeat an opening packet, are a standing queue: it delays everyone
  /// and serves no more. Then no more are held than can be forwarded in the
  /// time of one request.
  static constexpr duration kStandingQueueTime = std::chrono::milliseconds(200);
  /// A request counts as in progress for at least as long as clients wait
  /// before they repeat a packet. Answers of servers that refuse at once would
  /// shorten the time to nothing, and the limit would not hold.
  static constexpr duration kLeastCountedTime = std::chrono::milliseconds(200);
  /// A service is short of room until nothing has been held or refused for this
  /// long.
  static constexpr duration kShortTime = std::chrono::seconds(1);

 private:
  struct order {
    bool operator()(const flow_opening& a, const flow_opening& b) const {
      return std::tuple(a.priority, a.came_at, a.flow) <
             std::tuple(b.priority, b.came_at, b.flow);
    }
  };

  struct started_request {
    time_point at{};
    uint32_t server = 0;
    bool is_far = false;
  };

  struct service_state {
    double room = kNoLimit;
    double free_slots = kNoLimit;
    /// Requests in progress, by their flow.
    absl::flat_hash_map<uint64_t, started_request> in_progress;
    absl::flat_hash_map<uint32_t, uint32_t> at_server;
    size_t far = 0;
    /// The same in order; entries of ended requests are skipped.
    std::deque<std::pair<time_point, uint64_t>> by_time;
    recent_durations answered;
    time_point last_answer{};
    std::set<flow_opening, order> waiting;
    /// No waiting opening has to be decided on before.
    time_point next_due = kNever;
    /// Since when openings have waited without a break.
    time_point waiting_since = kNever;
    slot_supply supply;
    uint64_t held = 0;
    uint64_t refused = 0;
    time_point short_since = kNever;
    time_point short_at{};
  };

  service_state& State(service_number service);
  /// How long a request counts as in progress.
  static duration CountedTime(const service_state& s);
  /// Requests that are older than that do not count: a server that does not
  /// answer must not take the room of the others.
  void DropOverdue(time_point now, service_state& s);
  void Remove(service_state& s, uint64_t flow);
  static bool IsBelowLimit(time_point now, const service_state& s);
  static size_t Ahead(const service_state& s, const flow_opening& opening);
  static void NoteShort(time_point now, service_state& s);
  /// How long a new flow may wait.
  static duration Patience(time_point now, const service_state& s,
                           const flow_opening& opening);
  static void Erase(service_state& s, std::set<flow_opening, order>::iterator);

  std::vector<service_state> services_;
  /// The service at which a flow has a request in progress.
  absl::flat_hash_map<uint64_t, service_number> service_of_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_ADMISSION_FLOW_ADMISSION_H_
