// One entry instance that steers flows by cookies: all its decisions behind
// one boundary.
#ifndef POPLARSTAIR_STEERING_ENTRY_INSTANCE_H_
#define POPLARSTAIR_STEERING_ENTRY_INSTANCE_H_

#include <functional>
#include <memory>
#include <string>

#include "poplarstair/catalog/catalog_replica.h"
#include "poplarstair/catalog/store_follower.h"
#include "poplarstair/core/counters.h"
#include "poplarstair/steering/catalog_start.h"
#include "poplarstair/steering/flow_steering.h"
#include "poplarstair/steering/peer_view.h"

namespace poplarstair {

struct entry_settings {
  steering_settings steering;
  follower_settings follower;
  peer_view_settings peers;
  catalog_start_settings start;
  replica_settings replica;
  /// How long a watch may lack what another instance knows already: changes are
  /// gathered before each call, and its answer may be slow.
  duration watch_lag = std::chrono::milliseconds(600);
  /// How long an instance that starts waits for the list that it has asked of
  /// the store before it asks others for the same; a list takes some tens of
  /// milliseconds.
  duration first_list_time = std::chrono::milliseconds(150);
  /// Time between digests to other instances.
  duration digest_interval = std::chrono::milliseconds(250);
  /// A timer that is later than this means that packets waited too, for so long
  /// that clients may have repeated them for this reason alone.
  duration late_limit = kClientRepeatTime;
};

/// Deterministic: time, randomness and messages come in, messages go out
/// through hooks; no I/O.
class entry_instance {
 public:
  struct hooks {
    log_hook log;
    store_hook call_store;
    std::function<void(std::vector<endpoint> peers, std::string digest)>
        send_digest;
    /// Fetch a collection from another instance, or its changes after `since`;
    /// answered by OnFetched.
    std::function<void(const endpoint& peer, collection what,
                       store_position since)>
        fetch;
    /// As flow_steering::hooks.
    std::function<void(std::span<const uint8_t> packet, const steer_decision&)>
        send_again;
    std::function<void(const segment& packet)> reset;
    /// Test whether a backend server takes connections; answered by
    /// OnServerChecked.
    std::function<void(server_row, const endpoint&)> check_server;
  };

  entry_instance(const entry_settings& settings, incarnation life,
                 random_source random, metric_registry& metrics, hooks actions);
  ~entry_instance();

  // Events.
  void Start(time_point now);
  /// As flow_steering::OnSegment.
  steer_decision OnSegment(time_point now, const segment& packet,
                           std::span<const uint8_t> bytes);
  /// To be called when NextTimer is due.
  void OnTimer(time_point now);
  void OnStoreReply(time_point now, store_reply reply);
  /// Throws malformed_message.
  void OnDigest(time_point now, std::string_view bytes);
  /// `exported` is empty if the instance did not answer.
  void OnFetched(time_point now, const endpoint& peer, collection what,
                 std::string_view exported);
  void OnServerChecked(time_point now, server_row server, bool is_reachable);
  /// The process or its machine stood still for `length`.
  void OnPause(time_point now, duration length);
  void OnTick(time_point now);
  /// Draining: other instances stop counting on this one.
  void OnStop(time_point now);
  void SetSeeds(std::vector<endpoint> seeds);

  /// When a handshake or a step of the start is due; kNever if there is none.
  /// It can change with each event.
  time_point NextTimer() const;

  static constexpr duration kTickInterval = flow_steering::kTickInterval;

  /// True if the fabric may send new flows here.
  bool IsReady(time_point now) const;
  /// `since` as for catalog_replica::Export.
  std::string ExportCollection(time_point now, collection what,
                               store_position since) const;
  /// State as a JSON object, for operators.
  std::string StateJson(time_point now);

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_STEERING_ENTRY_INSTANCE_H_
