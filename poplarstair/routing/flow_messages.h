// Messages of the flow plane between instances.
#ifndef POPLARSTAIR_ROUTING_FLOW_MESSAGES_H_
#define POPLARSTAIR_ROUTING_FLOW_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "poplarstair/core/codec.h"
#include "poplarstair/routing/flow_table.h"

namespace poplarstair {

enum class flow_message_kind : uint8_t {
  kStatus,
  kBuckets,
  kRecords,
  kAcknowledge,
  kSynced,
};

struct flow_envelope {
  uint8_t kind = 0;
  std::string body;
  MSGPACK_DEFINE(kind, body)
};

/// Whether an instance is still joining or is ready to keep records.
enum class keeper_stage : uint8_t { kJoining, kReady };

/// Says which bucket states the sender knows.
struct status_message {
  /// The sender's incarnation, and the number of the status in it.
  uint64_t life = 0;
  uint32_t number = 0;
  /// Generation of the configuration whose unsettled buckets it knows.
  uint64_t generation = 0;
  uint8_t stage = 0;
  bool wants_status = false;
  bool wants_buckets = false;
  MSGPACK_DEFINE(life, number, generation, stage, wants_status, wants_buckets)
};

struct bucket_entry {
  uint32_t bucket = 0;
  /// Position in service_buckets::servers.
  uint16_t base = 0;
  uint16_t epoch = 0;
  bool settled = false;
  /// Generation in which the bucket became unsettled.
  uint64_t changed_in = 0;
};

/// Bucket states of one service.
struct service_buckets {
  uint64_t service = 0;
  uint32_t bucket_count = 0;
  std::vector<uint64_t> servers;
  /// See EncodeBuckets.
  std::string entries;
  MSGPACK_DEFINE(service, bucket_count, servers, entries)
};

struct buckets_message {
  uint64_t generation = 0;
  std::vector<service_buckets> services;
  /// Servers whose address some instances may still use for another service.
  std::vector<uint64_t> pending_servers;
  /// True if these are all unsettled buckets of all services.
  bool complete = false;
  MSGPACK_DEFINE(generation, services, pending_servers, complete)
};

/// Copies of records, or the end of recorded flows (`ended`).
struct records_message {
  uint32_t number = 0;
  uint64_t service = 0;
  bool ended = false;
  /// See EncodeRecords.
  std::string records;
  MSGPACK_DEFINE(number, service, ended, records)
};

struct acknowledge_message {
  uint32_t number = 0;
  MSGPACK_DEFINE(number)
};

/// The receiver has all records that the sender has for it.
struct synced_message {
  uint64_t generation = 0;
  MSGPACK_DEFINE(generation)
};

struct flow_record {
  flow_fingerprint flow = 0;
  /// Unset for the end of a flow.
  backend_server_id server;
};

/// Sorts by server and flow; differences are written as varints. Throws
/// malformed_message on decoding anything else.
std::string EncodeRecords(std::vector<flow_record> records);
std::vector<flow_record> DecodeRecords(std::string_view bytes);
std::string EncodeBuckets(std::vector<bucket_entry> entries);
std::vector<bucket_entry> DecodeBuckets(std::string_view bytes);

}  // namespace poplarstair

#endif  // POPLARSTAIR_ROUTING_FLOW_MESSAGES_H_
