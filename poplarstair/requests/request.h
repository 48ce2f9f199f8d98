// Requests, their answers, and single attempts to run one on a backend server.
#ifndef POPLARSTAIR_REQUESTS_REQUEST_H_
#define POPLARSTAIR_REQUESTS_REQUEST_H_

#include <cstdint>
#include <string>

#include "poplarstair/core/endpoint.h"
#include "poplarstair/core/enum_names.h"
#include "poplarstair/core/ids.h"
#include "poplarstair/core/time.h"

namespace poplarstair {

/// A client's call that waits for its answer on this instance. An id is never
/// reused.
struct call_tag;
using call_id = strong_id<call_tag>;

/// One transmission of a request to a backend server. An instance never reuses
/// an id.
struct attempt_tag;
using attempt_id = strong_id<attempt_tag>;

/// The longest request id that is accepted, in bytes.
inline constexpr size_t kMaxRequestIdBytes = 64;

/// Priority class of a request. Under overload the lowest class (kBulk) is
/// dropped first.
enum class request_class : uint8_t { kCritical, kNormal, kBulk };

template <>
struct enum_names<request_class> {
  static constexpr std::string_view kNames[] = {"critical", "normal", "bulk"};
};

struct request {
  /// Chosen by the client; the same for every copy of a request.
  std::string id;
  service_id service;
  time_point deadline = kNever;
  /// True if the request is idempotent, so that it may be run more than once.
  bool may_be_repeated = false;
  request_class priority = request_class::kNormal;
  std::string path;
  std::string body;
};

/// How a call ends.
enum class outcome : uint8_t {
  /// The backend server's complete answer was received.
  kAnswered,
  /// It is certain that no backend server has begun the request.
  kNotRun,
  /// The request may have run, and its answer is lost.
  kOutcomeUnknown,
  /// The request ran or was refused permanently; a retry would not help.
  kFailed,
};

template <>
struct enum_names<outcome> {
  static constexpr std::string_view kNames[] = {"answered", "not_run",
                                                "outcome_unknown", "failed"};
};

enum class refusal_reason : uint8_t {
  kNone,
  kNoConfiguration,
  kUnknownService,
  kNoServer,
  kQueueFull,
  kDeadlineTooNear,
  kDuplicate,
  kStopping,
  kServerRefused,
  kConnectionLost,
  kCancelled,
  kNotExecutor,
};

template <>
struct enum_names<refusal_reason> {
  static constexpr std::string_view kNames[] = {
      "none",           "no_configuration",  "unknown_service", "no_server",
      "queue_full",     "deadline_too_near", "duplicate",       "stopping",
      "server_refused", "connection_lost",   "cancelled",       "not_executor"};
};

struct answer {
  outcome result = outcome::kOutcomeUnknown;
  refusal_reason reason = refusal_reason::kNone;
  /// The backend server's HTTP status; 0 unless answered.
  int status = 0;
  std::string body;
};

struct attempt {
  attempt_id id;
  backend_server_id server;
  endpoint address;
  /// Time from the transmission of the attempt to the request's deadline.
  duration time_left{};
  std::string request_id;
  std::string path;
  std::string body;
};

/// How an attempt ended, as observed on its connection.
enum class attempt_result : uint8_t {
  /// A complete answer was received.
  kComplete,
  /// It is certain that the server did not process the attempt: it was never
  /// written, or was refused by REFUSED_STREAM or by an answer that says so.
  kNotProcessed,
  /// The connection ended or timed out after a part of the request was
  /// written.
  kLost,
};

template <>
struct enum_names<attempt_result> {
  static constexpr std::string_view kNames[] = {"complete", "not_processed",
                                                "lost"};
};

struct attempt_end {
  attempt_id id;
  attempt_result result = attempt_result::kLost;
  int status = 0;
  std::string body;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_REQUESTS_REQUEST_H_
