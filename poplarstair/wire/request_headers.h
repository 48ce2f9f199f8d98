// Requests and answers as HTTP/2 headers.
#ifndef POPLARSTAIR_WIRE_REQUEST_HEADERS_H_
#define POPLARSTAIR_WIRE_REQUEST_HEADERS_H_

#include "poplarstair/io/http2_session.h"
#include "poplarstair/requests/request.h"

namespace poplarstair {

inline constexpr const char* kServiceHeader = "poplar-service";
inline constexpr const char* kRequestIdHeader = "poplar-request-id";
/// Milliseconds that are left.
inline constexpr const char* kDeadlineHeader = "poplar-deadline-ms";
/// "true" or "false".
inline constexpr const char* kRepeatableHeader = "poplar-may-be-repeated";
inline constexpr const char* kClassHeader = "poplar-class";
/// In answers: the name of an outcome and of a refusal_reason.
inline constexpr const char* kOutcomeHeader = "poplar-outcome";
inline constexpr const char* kReasonHeader = "poplar-reason";

/// What a caller asked for. Throws malformed_message.
request ReadCallerRequest(time_point now, http2_message message);
http2_message WriteCallerRequest(const request& wanted,
                                 std::string_view service_name,
                                 duration time_left);

http2_message WriteAnswer(const answer& result);
/// Throws malformed_message.
answer ReadAnswer(http2_message message);

/// A request as a backend server sees it.
http2_message WriteAttempt(const attempt& a);

}  // namespace poplarstair

#endif  // POPLARSTAIR_WIRE_REQUEST_HEADERS_H_
