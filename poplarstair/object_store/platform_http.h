// The platform's object API over HTTP: versions as ETags, If-Match, and a
// watch as a long poll.
#ifndef POPLARSTAIR_OBJECT_STORE_PLATFORM_HTTP_H_
#define POPLARSTAIR_OBJECT_STORE_PLATFORM_HTTP_H_

#include <optional>

#include "poplarstair/core/endpoint.h"
#include "poplarstair/io/http_client.h"
#include "poplarstair/object_store/platform_message.h"

namespace poplarstair {

/// Every object lies under this path.
inline constexpr std::string_view kObjectPath = "/v1/objects/";

/// How long the platform may let a watch wait.
inline constexpr duration kWatchTime = std::chrono::seconds(20);
/// How long any other call may take.
inline constexpr duration kCallTime = std::chrono::seconds(3);

http_call ToHttpCall(const platform_request& request, const endpoint& platform);

platform_reply FromHttpReply(uint64_t request_id,
                             const std::optional<http_reply>& reply);

/// Calls the platform and waits; for the command-line tool.
platform_reply CallPlatform(const platform_request& request,
                            const endpoint& platform);

}  // namespace poplarstair

#endif  // POPLARSTAIR_OBJECT_STORE_PLATFORM_HTTP_H_
