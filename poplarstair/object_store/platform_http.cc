#include "poplarstair/object_store/platform_http.h"

#include <charconv>

namespace poplarstair {

namespace {

std::string Quoted(object_version version) {
  return "\"" + std::to_string(version) + "\"";
}

/// Returns the version in the ETag header, or 0 if there is no readable ETag.
object_version VersionOf(const http_reply& reply) {
  const auto it = reply.headers.find("etag");
  if (it == reply.headers.end() || it->second.size() < 2) return 0;
  const std::string& tag = it->second;
  object_version version = 0;
  std::from_chars(tag.data() + 1, tag.data() + tag.size() - 1, version);
  return version;
}

platform_status StatusOf(int http_status) {
  switch (http_status) {
    case 200:
    case 201:
      return platform_status::kOk;
    case 304:
      return platform_status::kNotModified;
    case 404:
      return platform_status::kNotFound;
    case 412:
      return platform_status::kConflict;
    default:
      return platform_status::kUnavailable;
  }
}

}  // namespace

http_call ToHttpCall(const platform_request& request,
                     const endpoint& platform) {
  http_call call;
  call.url =
      "http://" + platform.ToString() + std::string(kObjectPath) + request.key;
  call.timeout = kCallTime;
  switch (request.operation) {
    case platform_operation::kGet:
      break;
    case platform_operation::kWatch: {
      const auto wait =
          std::chrono::duration_cast<std::chrono::seconds>(kWatchTime);
      call.url += "?watch=" + std::to_string(request.version) +
                  "&wait=" + std::to_string(wait.count());
      call.timeout = kWatchTime + kCallTime;
      break;
    }
    case platform_operation::kPut:
      call.method = "PUT";
      call.body = request.body;
      call.headers.push_back(request.version == 0
                                 ? "If-None-Match: *"
                                 : "If-Match: " + Quoted(request.version));
      break;
  }
  return call;
}

platform_reply FromHttpReply(uint64_t request_id,
                             const std::optional<http_reply>& reply) {
  if (!reply) return {request_id, platform_status::kUnavailable, 0, ""};
  return {request_id, StatusOf(reply->status), VersionOf(*reply), reply->body};
}

platform_reply CallPlatform(const platform_request& request,
                            const endpoint& platform) {
  return FromHttpReply(request.id, CallHttp(ToHttpCall(request, platform)));
}

}  // namespace poplarstair
