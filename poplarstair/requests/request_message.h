// The messages between the request planes of two instances.
#ifndef POPLARSTAIR_REQUESTS_REQUEST_MESSAGE_H_
#define POPLARSTAIR_REQUESTS_REQUEST_MESSAGE_H_

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "poplarstair/core/codec.h"
#include "poplarstair/requests/request_key.h"

namespace poplarstair {

/// The first byte of a message's body, followed by the message in msgpack.
enum class request_message_kind : uint8_t {
  kClaim,
  kVote,
  kOutcomeQuery,
  kOutcomeReport,
  kClaimSync,
  kClaimList,
  kSlotAsk,
  kSlotGrant,
  kSlotProbe,
};

/// An instance, with its incarnation, that may execute a request.
struct claim_holder {
  uint64_t instance = 0;
  uint64_t life = 0;

  friend constexpr auto operator<=>(const claim_holder&,
                                    const claim_holder&) = default;
  MSGPACK_DEFINE(instance, life);
};

/// Asks a keeper to vote for `holder`.
struct claim_message {
  request_key key;
  claim_holder holder;
  MSGPACK_DEFINE(key, holder);
};

/// A keeper's vote. It is valid for as long as the keeper stores it.
struct vote_message {
  request_key key;
  /// False if the keeper casts no vote: it has none stored, and may have lost
  /// one or has no room.
  bool decided = false;
  claim_holder holder;
  MSGPACK_DEFINE(key, decided, holder);
};

/// Asks a holder for the outcome of a request.
struct outcome_query {
  request_key key;
  claim_holder asker;
  MSGPACK_DEFINE(key, asker);
};

enum class holder_state : uint8_t {
  /// The holder will report the outcome when it is known.
  kUnderWay,
  kEnded,
  /// The holder gave the request up before it reported an outcome or sent an
  /// attempt. The instance that asked may count the holder's votes as its own.
  kReleased,
  kNoRecord,
};

struct outcome_report {
  request_key key;
  uint8_t state = 0;
  uint8_t result = 0;
  uint8_t reason = 0;
  int32_t status = 0;
  std::string body;
  MSGPACK_DEFINE(key, state, result, reason, status, body);
};

/// Asks for the votes and claims on requests of which the sender is a keeper.
struct claim_sync {
  uint64_t number = 0;
  MSGPACK_DEFINE(number);
};

struct claim_entry {
  request_key key;
  claim_holder holder;
  MSGPACK_DEFINE(key, holder);
};

struct claim_list {
  uint64_t number = 0;
  /// True if no vote of the sender can be lost.
  bool synced = false;
  /// True if no member had earlier votes when the sender synced, shortly
  /// before this message.
  bool site_started = false;
  bool last = false;
  std::vector<claim_entry> entries;
  MSGPACK_DEFINE(number, synced, site_started, last, entries);
};

/// Asks the instance that grants a server's slots for slots, and reports the
/// sender's use of the slots that it holds.
struct slot_ask {
  uint64_t server = 0;
  uint64_t life = 0;
  uint64_t number = 0;
  uint32_t held = 0;
  uint32_t wanted = 0;
  // Events since the previous message of this kind.
  std::vector<uint32_t> service_times_us;
  uint32_t refused = 0;
  uint32_t oldest_running_us = 0;
  /// The server's usual service time from the last grant, in microseconds; 0 if
  /// it is not known.
  uint32_t usual_us = 0;
  MSGPACK_DEFINE(server, life, number, held, wanted, service_times_us, refused,
                 oldest_running_us, usual_us);
};

struct slot_grant {
  uint64_t server = 0;
  /// Number of the slot_ask that this grant answers.
  uint64_t number = 0;
  uint32_t permits = 0;
  bool others_wait = false;
  /// The server's usual service time in microseconds; 0 if it is not known.
  uint32_t usual_us = 0;
  MSGPACK_DEFINE(server, number, permits, others_wait, usual_us);
};

/// Sent by an instance that has just begun to grant a server's slots, to ask
/// for a slot_ask.
struct slot_probe {
  uint64_t server = 0;
  MSGPACK_DEFINE(server);
};

template <typename Message>
std::string EncodeRequestMessage(request_message_kind kind,
                                 const Message& message) {
  return static_cast<char>(kind) + EncodeMessage(message);
}

}  // namespace poplarstair

#endif  // POPLARSTAIR_REQUESTS_REQUEST_MESSAGE_H_
