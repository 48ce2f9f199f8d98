// What the platform's store says: routes, backend servers, withdrawn failure
// domains.
#ifndef POPLARSTAIR_CATALOG_CATALOG_H_
#define POPLARSTAIR_CATALOG_CATALOG_H_

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "poplarstair/catalog/store_position.h"
#include "poplarstair/core/endpoint.h"
#include "poplarstair/core/enum_names.h"
#include "poplarstair/core/ids.h"
#include "poplarstair/core/time.h"

namespace poplarstair {

/// Identifies the content of a collection, however it was learnt: two states
/// with the same digest are the same.
using content_digest = uint64_t;

/// The collections that an instance follows.
enum class collection : uint8_t { kRoutes, kServers, kWithdrawals };
inline constexpr size_t kCollections = 3;

template <>
struct enum_names<collection> {
  static constexpr std::string_view kNames[] = {"routes", "servers",
                                                "withdrawals"};
};

/// What callers may do with a request that failed.
enum class request_kind : uint8_t {
  /// May be repeated after any failure.
  kIdempotent,
  /// May be repeated only when it has provably not run.
  kNotIdempotent,
  /// As kNotIdempotent, with a large body.
  kUpload,
  /// As kIdempotent, with a large answer.
  kDownload,
};

/// True if the request may be repeated after any failure.
constexpr bool IsIdempotent(request_kind kind) {
  return kind == request_kind::kIdempotent || kind == request_kind::kDownload;
}

template <>
struct enum_names<request_kind> {
  static constexpr std::string_view kNames[] = {"idempotent", "not_idempotent",
                                                "upload", "download"};
};

struct weighted_service {
  std::string service;
  /// Share of new flows, relative to the other services of the route.
  uint32_t weight = 1;
};

/// An address and port that callers open flows to.
struct service_route {
  endpoint address;
  std::vector<weighted_service> services;
  request_kind kind = request_kind::kNotIdempotent;
  duration timeout = duration::zero();
  duration latency_target = duration::zero();
  /// 0 is the most urgent.
  uint32_t priority = 0;
};

struct service_limits {
  std::string name;
  /// New flows a second that a cold backend server bears; 0 if not stated.
  double cold_flows_per_second = 0;
  /// Flows that a backend server holds at most.
  uint32_t max_flows = 0;
  /// Longest time after its start for which a backend server is cold; 0 if not
  /// stated.
  duration cold_time = duration::zero();
};

/// A part of the configuration that this version of the program can't read.
struct unread_part {
  /// The route or service, by its name or its position.
  std::string name;
  /// What is wrong, and what is in force instead.
  std::string problem;

  friend bool operator==(const unread_part&, const unread_part&) = default;
};

/// Version of what the program can read in a configuration. To be raised with
/// each word or field that it learns: a table that an instance with an earlier
/// version could not read in full is then read anew from the store.
inline constexpr uint32_t kVocabularyVersion = 3;

/// One version of the whole configuration.
struct route_table {
  uint64_t version = 0;
  std::vector<service_route> routes;
  std::vector<service_limits> services;
  /// Flows without packets for longer may be forgotten.
  duration idle_timeout = std::chrono::seconds(15);
  /// The first unread parts, at most kMostListed.
  std::vector<unread_part> unread;
  /// Number of all unread parts.
  uint32_t unread_count = 0;

  static constexpr size_t kMostListed = 16;

  void AddUnread(unread_part part) {
    ++unread_count;
    if (unread.size() < kMostListed) unread.push_back(std::move(part));
  }
};

enum class server_state : uint8_t { kReady, kDraining };

template <>
struct enum_names<server_state> {
  static constexpr std::string_view kNames[] = {"ready", "draining"};
};

/// A backend server as it registered itself.
struct server_entry {
  backend_server_id id;
  std::string service;
  endpoint address;
  std::string failure_domain;
  server_state state = server_state::kReady;
  /// Requests that it works on at once.
  uint32_t slots = 1;
  /// Until when it is slow after its start; before now if it is warm.
  time_point cold_until{};
  /// Wall-clock millisecond of its start; tells one life from the next.
  int64_t born_ms = 0;
  /// Counts what the server has reported since its start.
  uint64_t reports = 0;
  /// Where the store created the entry.
  store_position created;
};

/// Null if there is none of this name.
inline const server_entry* FindServer(
    const std::map<std::string, server_entry>& servers,
    const std::string& name) {
  const auto it = servers.find(name);
  return it == servers.end() ? nullptr : &it->second;
}

/// A server whose entry went lately; flows to it may be open.
struct former_server {
  store_position created;
  time_point gone_at{};
};

/// True if the server reported `a` before `b`, whatever the store that was read
/// and when: a server numbers its own reports.
inline bool IsEarlierReport(const server_entry& a, const server_entry& b) {
  return std::tie(a.born_ms, a.reports) < std::tie(b.born_ms, b.reports);
}

/// Everything that an instance knows from the store.
struct catalog {
  route_table routes;
  /// By the name of the entry.
  std::map<std::string, server_entry> servers;
  /// What `servers` is the state of. Pages of a list may hold later entries,
  /// while others of that time are still missing.
  store_position servers_known;
  /// By the name that the entry had.
  std::map<std::string, former_server> former_servers;
  /// Names of failure domains whose backend servers get nothing new.
  std::vector<std::string> withdrawn_domains;
  /// Domains that are not withdrawn any more, while the servers are known only
  /// as of an earlier revision: they may have become cold since.
  std::vector<std::string> unconfirmed_domains;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_CATALOG_CATALOG_H_
