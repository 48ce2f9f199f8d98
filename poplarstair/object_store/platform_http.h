// The platform's object API over HTTP: an ETag carries an object's version,
// If-Match makes an update conditional, and a watch is a long poll.
#ifndef POPLARSTAIR_OBJECT_STORE_PLATFORM_HTTP_H_
#define POPLARSTAIR_OBJECT_STORE_PLATFORM_HTTP_H_

#include <optional>

#include "poplarstair/core/endpoint.h"
#include "poplarstair/io/http_client.h"
#include "poplarstair/object_store/platform_message.h"

namespace poplarstair {

/// URL path prefix of every object.
inline constexpr std::string_view kObjectPath = "/v1/objects/";

/// How long a watch waits at the platform for a change.
inline constexpr duration kWatchTime = std::chrono::seconds(20);
/// Timeout of every other call. A watch may take this much longer than
/// kWatchTime.
inline constexpr duration kCallTime = std::chrono::seconds(3);

http_call ToHttpCall(const platform_request& request, const endpoint& platform);

platform_reply FromHttpReply(uint64_t request_id,
                             const std::optional<http_reply>& reply);

/// Calls the platform and blocks until its reply or the timeout; for the
/// command-line tool.
platform_reply CallPlatform(const platform_request& request,
                            const endpoint& platform);

}  // namespace poplarstair

#endif  // POPLARSTAIR_OBJECT_STORE_PLATFORM_HTTP_H_
