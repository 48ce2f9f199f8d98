// Decides which instances are alive, suspect, leaving or dead.
#ifndef POPLARSTAIR_MEMBERSHIP_MEMBERSHIP_H_
#define POPLARSTAIR_MEMBERSHIP_MEMBERSHIP_H_

#include <functional>
#include <memory>
#include <vector>

#include "poplarstair/core/log_record.h"
#include "poplarstair/core/peer_message.h"
#include "poplarstair/core/random.h"
#include "poplarstair/core/time.h"
#include "poplarstair/membership/member.h"

namespace poplarstair {

struct membership_settings {
  /// One member is probed in each interval.
  duration probe_interval = std::chrono::milliseconds(500);
  /// Silence after which others are asked to probe in this one's place.
  duration probe_timeout = std::chrono::milliseconds(200);
  uint32_t indirect_probes = 3;
  /// Time that a suspect has to refute; grows by half of it with each factor of
  /// ten in the number of members above ten.
  duration suspicion_timeout = std::chrono::seconds(2);
  /// Changes are sent on in each interval to this many members.
  duration gossip_interval = std::chrono::milliseconds(200);
  uint32_t gossip_fan_out = 3;
  /// Times that a change is sent on, for each factor of ten in the number of
  /// members.
  uint32_t retransmit_factor = 4;
  /// Bounds claims sent; probes alone go on beyond it.
  uint64_t claim_bytes_per_s = 6'000;
  /// Most bytes of claims that travel on another message.
  uint64_t max_claim_bytes = 1'200;
  /// Anti-entropy with one member, and with one dead one.
  duration sync_interval = std::chrono::seconds(5);
  /// The same while many members differ.
  duration busy_sync_interval = std::chrono::milliseconds(250);
  /// Bytes of claims in one answer, about.
  uint64_t max_sync_bytes = 2'400;
  /// Members lost within this time count as lost together.
  duration partition_window = std::chrono::seconds(30);
  /// Dead members that the platform no longer lists are dropped after it.
  duration forget_after = std::chrono::hours(2);
};

/// An entry of the platform's list of instances, which lags.
struct listed_instance {
  instance_address address;
  bool leaving = false;
};

/// One instance's view of the others. Deterministic: it reads no clock and
/// does no I/O.
class membership {
 public:
  struct hooks {
    send_hook send;
    log_hook log;
    /// Called after every change of the view.
    std::function<void(time_point, const member_view&)> view_changed;
  };

  membership(const membership_settings& settings, const instance_address& self,
             incarnation life, random_source random, hooks actions);
  ~membership();

  // Events.
  /// Throws malformed_message and changes nothing if it can't be read.
  void OnMessage(time_point now, const peer_message& message);
  void OnPlatformList(time_point now,
                      const std::vector<listed_instance>& instances);
  /// To be called at least every 100 ms; a longer gap counts as a pause of
  /// this instance.
  void OnTick(time_point now);
  /// Tells the others that this instance is leaving.
  void BeginLeave(time_point now);

  const member_view& View() const;
  /// Memory of the members and of what is under way about them.
  size_t MemoryBytes() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_MEMBERSHIP_MEMBERSHIP_H_
