// Calls to the store that holds the catalog, and their answers, as messages.
#ifndef POPLARSTAIR_CATALOG_STORE_CALL_H_
#define POPLARSTAIR_CATALOG_STORE_CALL_H_

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "poplarstair/catalog/catalog.h"

namespace poplarstair {

enum class store_operation : uint8_t {
  /// One page of a collection.
  kList,
  /// What changed after a revision; answered when there is something, or empty
  /// after a while.
  kWatch,
};

template <>
struct enum_names<store_operation> {
  static constexpr std::string_view kNames[] = {"list", "watch"};
};

/// `id` pairs a request with its reply; unique within one sender.
struct store_request {
  uint64_t id = 0;
  store_operation operation = store_operation::kList;
  collection what = collection::kRoutes;
  /// For kWatch: the last revision that is known.
  store_revision revision = 0;
  /// For kList: the last name of the page before.
  std::string after;
  /// For kWatch: how long the store may hold the answer back.
  duration wait = duration::zero();
  /// After this long without an answer there will be none.
  duration timeout = std::chrono::seconds(1);
};

/// An object that could not be decoded; it names nothing to use.
struct unreadable_object {
  std::string problem;
};

/// Content of one object; monostate for one that names a failure domain.
using object_content =
    std::variant<std::monostate, route_table, server_entry, unreadable_object>;

struct store_object {
  std::string name;
  bool is_deleted = false;
  object_content content;
  /// Of its last change.
  store_revision revision = 0;
  /// Of its creation; 0 if the store does not tell it.
  store_revision created = 0;
};

enum class store_status : uint8_t {
  kOk,
  /// The store no longer has the history to watch from; list anew.
  kHistoryGone,
  /// Too many calls.
  kThrottled,
  /// The store answered that it can't.
  kUnavailable,
  kNoAnswer,
  /// An answer that can't be read.
  kMalformed,
  /// An answer of before the store's return from a copy.
  kEarlierEpoch,
  /// An answer that does not tell its epoch, of a store that has told one.
  kNoEpoch,
};

template <>
struct enum_names<store_status> {
  static constexpr std::string_view kNames[] = {
      "ok",        "history_gone", "throttled",     "unavailable",
      "no_answer", "malformed",    "earlier_epoch", "no_epoch"};
};

struct store_reply {
  uint64_t id = 0;
  store_status status = store_status::kNoAnswer;
  store_revision revision = 0;
  std::vector<store_object> objects;
  /// More pages follow; continue after the last object's name.
  bool has_more = false;
  /// Objects that are left out, since not even their names could be read.
  std::vector<unreadable_object> nameless = {};
  /// Nothing if the answer does not tell it, or not readably.
  std::optional<store_epoch> epoch = {};
};

using store_hook = std::function<void(store_request)>;

}  // namespace poplarstair

#endif  // POPLARSTAIR_CATALOG_STORE_CALL_H_
