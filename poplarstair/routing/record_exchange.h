// Sends copies of flow records to other instances within a byte budget.
#ifndef POPLARSTAIR_ROUTING_RECORD_EXCHANGE_H_
#define POPLARSTAIR_ROUTING_RECORD_EXCHANGE_H_

#include <functional>
#include <memory>

#include "poplarstair/core/time.h"
#include "poplarstair/routing/flow_messages.h"
#include "poplarstair/routing/service_directory.h"

namespace poplarstair {

/// A record and the peer that it has to be sent to.
struct record_item {
  instance_id peer;
  service_id service;
  flow_fingerprint flow = 0;
  /// Not sent before, so that short flows are never sent.
  time_point due{};
};

/// Batches records, and sends them again until they are acknowledged. A
/// record that arrives twice changes nothing.
class record_exchange {
 public:
  struct hooks {
    std::function<void(instance_id, const records_message&)> send;
    /// The flow's server; unset when there is nothing to tell any more.
    std::function<backend_server_id(service_id, flow_fingerprint)> server_of;
    std::function<void(const record_item&)> acknowledged;
  };

  record_exchange(uint32_t bytes_per_second, hooks actions);
  ~record_exchange();

  /// A new record, sent when it is due.
  void OfferNew(const record_item& item);
  /// An older record whose copy is missing; sent after the new ones.
  void OfferRepair(const record_item& item);
  /// The end of a flow whose record the peer has; sent last.
  void OfferEnd(const record_item& item);
  /// Sends at once and beyond the budget: the sender is about to leave, or its
  /// slots get another keeper.
  void SendNow(time_point now, const std::vector<record_item>& items);
  /// Sends at once what is queued as new for `peer`.
  void FlushNew(time_point now, instance_id peer);

  void OnAcknowledge(instance_id from, uint32_t number);
  void OnTick(time_point now);
  /// Drops everything meant for `peer`.
  void Forget(instance_id peer);
  /// Repairs for `peer` that are not acknowledged yet.
  size_t OpenRepairs(instance_id peer) const;
  size_t QueuedItems() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_ROUTING_RECORD_EXCHANGE_H_
