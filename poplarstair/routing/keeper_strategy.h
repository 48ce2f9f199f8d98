// Places flows by the placement table, and by flow records at two keepers in
// buckets that are unsettled.
#ifndef POPLARSTAIR_ROUTING_KEEPER_STRATEGY_H_
#define POPLARSTAIR_ROUTING_KEEPER_STRATEGY_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "poplarstair/routing/address_moves.h"
#include "poplarstair/routing/bucket_map.h"
#include "poplarstair/routing/peer_registry.h"
#include "poplarstair/routing/record_exchange.h"
#include "poplarstair/routing/strategy.h"

namespace poplarstair {

class keeper_strategy {
 public:
  explicit keeper_strategy(const strategy_context& context);

  packet_decision OnPacket(time_point now, const flow_packet& packet);
  void OnMessage(time_point now, const peer_message& message);
  void OnConfig(time_point now, const directory_ptr& directory);
  void OnMembers(time_point now, const member_view& view);
  void OnTick(time_point now);
  void AddState(nlohmann::json& state) const;

 private:
  // Packets (keeper_strategy.cc).
  packet_decision Decide(time_point now, const flow_packet& packet,
                         uint32_t bucket);
  bool ShouldDecideLocally(const flow_packet& packet,
                           const keeper_pair& keepers);
  bool IsBehind() const;
  instance_id SelectInstanceToAsk(time_point now, uint32_t slot) const;
  packet_decision Place(time_point now, const flow_packet& packet,
                        uint32_t bucket);
  packet_decision HandOn(const flow_packet& packet, instance_id to,
                         packet_reason reason);
  bool IsAgreed(time_point now, const bucket_state& state) const;
  /// Where a new flow of the bucket goes.
  server_index ServerForNew(time_point now, service_index service,
                            const bucket_state& state);
  bool MayMove(time_point now, service_index service,
               const bucket_state& state);
  bool TakeOptionalMove(time_point now);
  void LogPlaced(const flow_packet& packet, server_index server) const;

  // Records (keeper_records.cc).
  flow_entry* Find(const flow_packet& packet);
  void Enter(time_point now, const flow_packet& packet, server_index server);
  void Erase(flow_fingerprint flow);
  void CountErased(const flow_entry& entry);
  bool IsExpired(time_point now, const flow_entry& entry);
  void Sweep(time_point now);
  void OfferCopies(time_point now, const flow_entry& entry);
  void OfferToJoiningPeers(const flow_entry& entry, time_point due);
  void OnRecords(time_point now, instance_id from,
                 const records_message& message);
  void TakeRecord(time_point now, service_index service, flow_fingerprint flow,
                  server_index server);
  void InheritFlows(const service_directory& before);
  void InheritFlow(const service_directory& before, flow_entry entry);
  uint32_t SlotOf(const flow_entry& entry) const;
  record_item ItemFor(instance_id peer, const flow_entry& entry,
                      time_point due) const;
  backend_server_id ServerOf(service_id service, flow_fingerprint flow);

  // Members and joining (keeper_members.cc).
  void OnStatus(time_point now, instance_id from, const status_message& status);
  void OnSynced(time_point now, instance_id from);
  void UpdateRing(time_point now);
  void MoveRecords(time_point now, const keeper_ring& before,
                   const std::vector<keeper_candidate>& old_candidates);
  void StartSync(time_point now, instance_id peer);
  void ContinueSyncs();
  void Join(time_point now);
  void BecomeReady(time_point now);
  void SendStatus(instance_id to, bool wants_status, bool wants_buckets);
  void BroadcastStatus(bool wants_status, bool wants_buckets);
  generation Known() const;

  // Bucket states (keeper_buckets.cc).
  void SendBuckets(instance_id to);
  void OnBuckets(const buckets_message& message);
  void MergeEntry(service_index service, generation number,
                  const service_buckets& states, const bucket_entry& entry);
  void ApplyEntry(service_index service, uint32_t bucket, generation number,
                  backend_server_id base_id, const bucket_entry& entry);
  void SettleBuckets(time_point now);
  void Rebase(time_point now, service_index service,
              const std::vector<uint32_t>& buckets);
  void Announce(service_index service, const std::vector<uint32_t>& buckets);
  service_buckets StatesOf(service_index service,
                           const std::vector<uint32_t>& buckets) const;
  uint32_t InformerRank(instance_id late) const;
  void InformLateInstances(time_point now);

  template <typename Message>
  void Send(instance_id to, flow_message_kind kind, const Message& message);

  const flow_plane_settings settings_;
  const instance_id self_;
  const flow_plane::hooks actions_;
  metric& records_gauge_;
  metric& unsettled_gauge_;
  metric& handed_on_;
  metric& full_;

  directory_ptr directory_;
  std::vector<bucket_map> maps_;
  /// Latest generation from which a service's unsettled buckets are known.
  std::vector<generation> latest_unsettled_generations_;
  std::optional<flow_table> flows_;
  address_moves moves_;

  peer_registry peers_;
  std::vector<keeper_candidate> candidates_;
  keeper_ring ring_;
  keeper_ring previous_ring_;
  uint32_t last_status_ = 0;
  record_exchange exchange_;
  generation common_ = 0;
  generation known_from_peers_ = 0;

  std::map<instance_id, time_point> informed_at_;

  // Joining.
  keeper_stage stage_ = keeper_stage::kJoining;
  bool has_buckets_ = false;
  bool self_leaving_ = false;
  std::optional<time_point> joining_since_;
  std::set<instance_id> synced_from_;
  /// Peers that are joining, with the ring as it will be with them.
  std::map<instance_id, keeper_ring> joining_;

  // Times.
  time_point message_at_{};
  time_point config_at_{};
  time_point ring_changed_at_{};
  /// Others may have records for this instance that it has not got yet.
  time_point may_lack_since_{};
  time_point next_slow_tick_{};
  time_point next_status_{};
  time_point next_settle_{};
  double optional_moves_ = 0;
  time_point optional_moves_at_{};
};

template <typename Message>
void keeper_strategy::Send(instance_id to, flow_message_kind kind,
                           const Message& message) {
  const flow_envelope envelope{static_cast<uint8_t>(kind),
                               EncodeMessage(message)};
  actions_.send({self_, to, message_channel::kFlow, EncodeMessage(envelope)});
}

}  // namespace poplarstair

#endif  // POPLARSTAIR_ROUTING_KEEPER_STRATEGY_H_
