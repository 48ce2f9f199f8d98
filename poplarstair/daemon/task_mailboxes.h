// The messages between the daemon's tasks, and the mailboxes they go to.
#ifndef POPLARSTAIR_DAEMON_TASK_MAILBOXES_H_
#define POPLARSTAIR_DAEMON_TASK_MAILBOXES_H_

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "poplarstair/core/peer_message.h"
#include "poplarstair/daemon/mailbox.h"
#include "poplarstair/membership/member.h"
#include "poplarstair/object_store/platform_message.h"
#include "poplarstair/requests/request.h"
#include "poplarstair/routing/flow_plane.h"

namespace poplarstair {

/// Where a packet socket's packets come from.
enum class packet_source : uint8_t {
  /// From the fabric: plain encapsulation.
  kFabric,
  /// Handed on by another instance: hand_on_header first.
  kInstance,
};

/// Packets to decide on. The packet task keeps the bytes meanwhile.
struct packet_batch {
  packet_source source = packet_source::kFabric;
  std::vector<packet_info> packets;
  /// Filled in by the balancer task, one for each packet.
  std::vector<packet_decision> decisions;
};
using packet_batch_ptr = std::shared_ptr<packet_batch>;

struct client_request {
  call_id id;
  request wanted;
};

struct client_request_cancelled {
  call_id id;
};

/// Asks for the text of one admin page.
struct admin_query {
  enum class page : uint8_t { kMetrics, kState };
  page wanted = page::kMetrics;
  std::function<void(std::string)> reply;
};

struct stop_order {};

/// Adds to a counter that the admin task keeps for the tasks that do I/O.
struct counter_add {
  std::string name;
  std::string help;
  uint64_t amount = 1;
};

using balancer_event =
    std::variant<packet_batch_ptr, client_request, client_request_cancelled,
                 attempt_end, peer_message, platform_reply, admin_query,
                 stop_order>;

struct client_request_end {
  call_id id;
  answer result;
};

struct attempt_cancel {
  attempt_id id;
};

using attempt_order = std::variant<attempt, attempt_cancel>;

/// A message with where to send it.
struct outgoing_peer_message {
  endpoint address;
  peer_message message;
};

/// One mailbox for each task that takes messages.
struct task_mailboxes {
  mailbox<balancer_event> balancer;
  mailbox<packet_batch_ptr> fabric_packets;
  mailbox<packet_batch_ptr> handed_on_packets;
  mailbox<outgoing_peer_message> peers;
  mailbox<platform_request> platform;
  mailbox<attempt_order> attempts;
  mailbox<client_request_end> calls;
  mailbox<counter_add> counters;
  mailbox<packet_batch_ptr>& PacketsOf(packet_source source) {
    return source == packet_source::kFabric ? fabric_packets
                                            : handed_on_packets;
  }

  /// No new streams from clients; those under way go on.
  mailbox<stop_order> stop_calls;
  /// The balancer is idle after a stop order.
  mailbox<stop_order> stopped;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_DAEMON_TASK_MAILBOXES_H_
