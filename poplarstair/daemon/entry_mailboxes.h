// The mailboxes of a cookie-steering instance's tasks.
#ifndef POPLARSTAIR_DAEMON_ENTRY_MAILBOXES_H_
#define POPLARSTAIR_DAEMON_ENTRY_MAILBOXES_H_

#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "poplarstair/catalog/store_call.h"
#include "poplarstair/core/endpoint.h"
#include "poplarstair/daemon/mailbox.h"
#include "poplarstair/steering/server_set.h"

namespace poplarstair {

// To the steering task.

struct digest_received {
  std::string bytes;
};

struct collection_fetched {
  endpoint peer;
  collection what = collection::kRoutes;
  /// Empty if the instance did not answer.
  std::string exported;
};

struct server_checked {
  server_row server = kNoServer;
  bool is_reachable = false;
};

struct entry_stop {};

struct seeds_changed {
  std::vector<endpoint> seeds;
};

/// What HTTP clients ask for. Answered with the status and the page.
struct entry_query {
  enum class page : uint8_t { kReady, kState, kMetrics, kCollection };

  page wanted = page::kReady;
  collection what = collection::kRoutes;
  /// For a collection: the position that the client holds; revision 0 for none.
  store_position since;
  std::function<void(int status, std::string body)> answer;
};

using steering_message =
    std::variant<store_reply, digest_received, collection_fetched,
                 server_checked, entry_stop, seeds_changed, entry_query>;

// From the steering task.

struct digest_to_send {
  std::vector<endpoint> peers;
  std::string bytes;
};

struct collection_wanted {
  endpoint peer;
  collection what = collection::kRoutes;
  store_position since;
};

struct server_to_check {
  server_row server = kNoServer;
  endpoint address;
};

struct entry_mailboxes {
  mailbox<steering_message> steering;
  mailbox<store_request> store;
  mailbox<digest_to_send> digests;
  mailbox<collection_wanted> fetches;
  mailbox<server_to_check> checks;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_DAEMON_ENTRY_MAILBOXES_H_
