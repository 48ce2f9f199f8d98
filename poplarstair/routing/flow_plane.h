// Decides where each packet of a flow goes.
#ifndef POPLARSTAIR_ROUTING_FLOW_PLANE_H_
#define POPLARSTAIR_ROUTING_FLOW_PLANE_H_

#include <memory>
#include <string>

#include "poplarstair/config/effective_config.h"
#include "poplarstair/core/counters.h"
#include "poplarstair/core/flow_key.h"
#include "poplarstair/core/log_record.h"
#include "poplarstair/core/peer_message.h"
#include "poplarstair/core/random.h"
#include "poplarstair/core/time.h"
#include "poplarstair/membership/member.h"

namespace poplarstair {

/// How instances agree on the backend server of a flow.
enum class flow_strategy : uint8_t {
  /// Places every flow by the placement table alone; the baseline.
  kHashOnly,
  /// Sends a record of each new flow to every other instance.
  kRecordAll,
  /// An instance that does not know a flow asks all others.
  kAskPeers,
  /// Uses the placement table for settled buckets, and records at two keepers
  /// for the others.
  kKeepers,
};

template <>
struct enum_names<flow_strategy> {
  static constexpr std::string_view kNames[] = {"hash_only", "record_all",
                                                "ask_peers", "keepers"};
};

struct flow_plane_settings {
  flow_strategy strategy = flow_strategy::kKeepers;
  /// Maximum number of times that a packet is forwarded between instances.
  uint8_t max_hops = 3;
  /// Budget for sending flow records to other instances.
  uint32_t record_bytes_per_second = 2'400;
  /// New flows that may be moved and so recorded while their old server still
  /// takes new work.
  uint32_t optional_moves_per_second = 150;
  /// Age from which kKeepers copies a flow's record to other instances in
  /// regular batches; a flow that ends sooner is left out of them. Records
  /// do not wait for this age if another instance is the flow's first keeper,
  /// or if the keepers change or an instance joins.
  duration record_after = std::chrono::seconds(3);
  /// How long new flows wait for instances that do not answer, before their
  /// bucket moves without them.
  duration agree_timeout = std::chrono::milliseconds(1500);
};

enum class packet_verdict : uint8_t {
  /// Send it to a backend server.
  kDeliver,
  /// Send it to another instance, which may know the flow.
  kHandOn,
  kDrop,
};

/// What led to a verdict.
enum class packet_reason : uint8_t {
  kKnownFlow,
  kPlacement,
  kNewFlow,
  kUnknownService,
  kNoBackendServer,
  kFailureDomainOut,
  kNoConfiguration,
  /// Its keepers decide.
  kUnsettledBucket,
  /// The instance does not know yet which buckets are unsettled.
  kJoining,
  /// Not all instances know yet that the bucket moves.
  kAwaitingInstances,
  /// The instance was paused; its configuration is not confirmed yet.
  kUnconfirmed,
};

template <>
struct enum_names<packet_reason> {
  static constexpr std::string_view kNames[] = {
      "known_flow",         "placement",         "new_flow",
      "unknown_service",    "no_backend_server", "failure_domain_out",
      "no_configuration",   "unsettled_bucket",  "joining",
      "awaiting_instances", "unconfirmed"};
};

struct packet_decision {
  packet_verdict verdict = packet_verdict::kDrop;
  packet_reason reason = packet_reason::kNoConfiguration;
  /// The backend server's or the other instance's address.
  endpoint destination;
  backend_server_id server;
  service_id service;
};

/// Deterministic: it reads no clock and does no I/O. OnPacket allocates
/// nothing for a flow that is known.
class flow_plane {
 public:
  struct hooks {
    send_hook send;
    log_hook log;
  };

  flow_plane(const flow_plane_settings& settings, instance_id self,
             random_source random, metric_registry& metrics, hooks actions);
  ~flow_plane();

  // Events.
  packet_decision OnPacket(time_point now, const packet_info& packet);
  void OnMessage(time_point now, const peer_message& message);
  void OnConfig(time_point now, effective_config_ptr config);
  void OnMembers(time_point now, const member_view& view);
  /// To be called at least every kTickInterval.
  void OnTick(time_point now);

  static constexpr duration kTickInterval = std::chrono::milliseconds(5);

  /// State as a JSON object, for operators.
  std::string StateJson() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_ROUTING_FLOW_PLANE_H_
