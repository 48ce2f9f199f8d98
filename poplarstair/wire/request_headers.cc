#include "poplarstair/wire/request_headers.h"

#include <charconv>
#include <optional>

#include "poplarstair/core/error.h"

namespace poplarstair {

namespace {

constexpr const char* kFormat = "request headers";
constexpr int64_t kMaxDeadlineMs = 24L * 3600 * 1000;

std::optional<int64_t> ParseInteger(std::string_view text) {
  int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [rest, status] = std::from_chars(text.data(), end, value);
  if (status != std::errc() || rest != end) return std::nullopt;
  return value;
}

time_point ReadDeadline(time_point now, const std::string& text) {
  if (text.empty()) return kNever;
  const auto milliseconds = ParseInteger(text);
  if (!milliseconds || *milliseconds < 0 || *milliseconds > kMaxDeadlineMs) {
    throw malformed_message(kFormat,
                            std::string(kDeadlineHeader) + " = " + text);
  }
  return now + std::chrono::milliseconds(*milliseconds);
}

std::string Milliseconds(duration d) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(d).count());
}

int StatusOf(const answer& result) {
  switch (result.result) {
    case outcome::kAnswered:
      return result.status;
    case outcome::kNotRun:
      return 503;
    case outcome::kOutcomeUnknown:
      return 504;
    case outcome::kFailed:
      return 502;
  }
  return 500;
}

}  // namespace

request ReadCallerRequest(time_point now, http2_message message) {
  request wanted;
  wanted.id = message.Header(kRequestIdHeader);
  if (wanted.id.empty() || wanted.id.size() > kMaxRequestIdBytes) {
    throw malformed_message(
        kFormat, std::string(kRequestIdHeader) + " is missing or too long");
  }
  const std::string service = message.Header(kServiceHeader);
  if (service.empty()) {
    throw malformed_message(kFormat,
                            std::string(kServiceHeader) + " is missing");
  }
  wanted.service = IdFromName<service_id>(service);
  wanted.deadline = ReadDeadline(now, message.Header(kDeadlineHeader));
  wanted.may_be_repeated = message.Header(kRepeatableHeader) == "true";
  const std::string priority = message.Header(kClassHeader);
  if (!priority.empty()) {
    const auto value = ValueOf<request_class>(priority);
    if (!value) {
      throw malformed_message(kFormat,
                              std::string(kClassHeader) + " = " + priority);
    }
    wanted.priority = *value;
  }
  wanted.path = message.Header(":path");
  wanted.body = std::move(message.body);
  return wanted;
}

http2_message WriteCallerRequest(const request& wanted,
                                 std::string_view service_name,
                                 duration time_left) {
  return {{{":method", "POST"},
           {":scheme", "http"},
           {":authority", std::string(service_name)},
           {":path", wanted.path},
           {kServiceHeader, std::string(service_name)},
           {kRequestIdHeader, wanted.id},
           {kDeadlineHeader, Milliseconds(time_left)},
           {kRepeatableHeader, wanted.may_be_repeated ? "true" : "false"},
           {kClassHeader, std::string(NameOf(wanted.priority))}},
          wanted.body};
}

http2_message WriteAnswer(const answer& result) {
  return {{{":status", std::to_string(StatusOf(result))},
           {kOutcomeHeader, std::string(NameOf(result.result))},
           {kReasonHeader, std::string(NameOf(result.reason))}},
          result.body};
}

answer ReadAnswer(http2_message message) {
  const auto result = ValueOf<outcome>(message.Header(kOutcomeHeader));
  const auto reason = ValueOf<refusal_reason>(message.Header(kReasonHeader));
  const auto status = ParseInteger(message.Header(":status"));
  if (!result || !reason || !status) {
    throw malformed_message("answer headers", "outcome, reason or status");
  }
  return {*result, *reason, static_cast<int>(*status), std::move(message.body)};
}

http2_message WriteAttempt(const attempt& a) {
  return {{{":method", "POST"},
           {":scheme", "http"},
           {":authority", a.address.ToString()},
           {":path", a.path.empty() ? "/" : a.path},
           {kRequestIdHeader, a.request_id},
           {kDeadlineHeader, Milliseconds(a.time_left)}},
          a.body};
}

}  // namespace poplarstair
