// Requests to the platform's object API and their replies.
#ifndef POPLARSTAIR_OBJECT_STORE_PLATFORM_MESSAGE_H_
#define POPLARSTAIR_OBJECT_STORE_PLATFORM_MESSAGE_H_

#include <cstdint>
#include <functional>
#include <string>

#include "poplarstair/core/enum_names.h"

namespace poplarstair {

/// An object's version; 0 means that the object does not exist.
using object_version = uint64_t;

enum class platform_operation : uint8_t {
  kGet,
  /// Conditional update: takes effect only if the object has `version`.
  kPut,
  /// Replies when the object's version is no longer `version`, or with
  /// kNotModified when the platform's wait has ended.
  kWatch,
};

template <>
struct enum_names<platform_operation> {
  static constexpr std::string_view kNames[] = {"get", "put", "watch"};
};

/// `id` matches a request with its reply and is unique within one sender.
struct platform_request {
  uint64_t id = 0;
  platform_operation operation = platform_operation::kGet;
  std::string key;
  object_version version = 0;
  /// The new content; used by kPut only.
  std::string body;
};

enum class platform_status : uint8_t {
  kOk,
  kNotFound,
  kNotModified,
  /// The object has another version than the request named; the reply's
  /// `version` is set if it is known.
  kConflict,
  /// No reply was received. A kPut may nevertheless have taken effect.
  kUnavailable,
};

template <>
struct enum_names<platform_status> {
  static constexpr std::string_view kNames[] = {
      "ok", "not_found", "not_modified", "conflict", "unavailable"};
};

struct platform_reply {
  uint64_t id = 0;
  platform_status status = platform_status::kUnavailable;
  object_version version = 0;
  std::string body;
};

using platform_hook = std::function<void(platform_request)>;

/// The largest content of an object, in bytes.
inline constexpr size_t kMaxObjectBytes = 1 << 20;

}  // namespace poplarstair

#endif  // POPLARSTAIR_OBJECT_STORE_PLATFORM_MESSAGE_H_
