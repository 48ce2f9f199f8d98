// Backend servers as flat rows, found by service, by cookie and by id.
#ifndef POPLARSTAIR_STEERING_SERVER_SET_H_
#define POPLARSTAIR_STEERING_SERVER_SET_H_

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "poplarstair/catalog/catalog.h"
#include "poplarstair/core/enum_names.h"
#include "poplarstair/steering/segment.h"

namespace poplarstair {

/// Index of a backend server in a server_set. An index is never reused while
/// the process lives, so that flows and estimates can store it.
using server_row = uint32_t;
inline constexpr server_row kNoServer = ~server_row{0};

/// A backend server as the catalog last described it.
struct known_server {
  backend_server_id id;
  /// Name of the catalog entry that describes it.
  std::string entry_name;
  flow_cookie cookie = 0;
  endpoint address;
  std::string service;
  /// The configuration names the service.
  bool is_service_known = false;
  std::string failure_domain;
  server_state state = server_state::kReady;
  uint32_t slots = 1;
  time_point cold_until{};
  int64_t born_ms = 0;
  /// The server's failure domain is withdrawn and takes no new flows.
  bool is_withdrawn = false;
  /// Another server has the same cookie.
  bool has_ambiguous_cookie = false;
  /// A server that started later has the same address, so this server's process
  /// has ended, though its catalog entry may still exist.
  bool is_address_taken = false;
  /// When the catalog entry was removed; kNever while it exists. The row stays,
  /// since an entry can expire while its server is alive and has open flows.
  time_point gone_at = kNever;

  bool TakesNewFlows() const {
    return gone_at == kNever && state == server_state::kReady &&
           is_service_known && !is_withdrawn && !has_ambiguous_cookie;
  }
};

/// Why a readable catalog entry gets no new flows.
enum class entry_rejection : uint8_t {
  /// The configuration does not name its service.
  kUnknownService,
  /// Another entry describes the server with the same id.
  kDuplicateId,
};

template <>
struct enum_names<entry_rejection> {
  static constexpr std::string_view kNames[] = {"unknown_service",
                                                "duplicate_id"};
};

struct rejected_entry {
  std::string name;
  std::string service;
  entry_rejection reason = entry_rejection::kUnknownService;
};

/// What an update of a server_set found.
struct server_changes {
  /// Rows whose server has restarted under the same id.
  std::vector<server_row> restarted;
  /// Entries that are rejected and were not before, or for another reason.
  std::vector<rejected_entry> rejected;
};

/// All backend servers that this process has seen in the catalog. An entry of a
/// service that the configuration does not name serves only open flows that
/// name its server, and changes nothing of other servers.
class server_set {
 public:
  server_changes Update(time_point now, const catalog& current);

  const known_server& At(server_row row) const { return rows_[row]; }
  size_t Size() const { return rows_.size(); }
  /// Row of the server with this cookie; kNoServer if there is none.
  server_row FindCookie(flow_cookie cookie) const;
  server_row FindId(backend_server_id id) const;
  /// All rows of a service, including those that take no new flows.
  std::span<const server_row> OfService(const std::string& service) const;

  /// Cookie of a server; every instance computes the same value. Never 0.
  static flow_cookie CookieOf(backend_server_id id);

 private:
  /// An entry of the catalog that describes the server with its id.
  struct description {
    std::string_view name;
    const server_entry* entry = nullptr;
    bool is_service_known = false;
  };

  /// One description for each id; adds the other entries to `rejected`.
  std::vector<description> SelectEntries(
      const catalog& current, std::vector<rejected_entry>& rejected) const;
  /// True if the entry may describe the row with its id, if there is one.
  bool MayDescribe(const description& candidate) const;
  /// Stores what is rejected now. Returns the entries that were not rejected
  /// for the same reason before.
  std::vector<rejected_entry> NoteRejected(
      std::vector<rejected_entry> rejected);
  server_row RowOf(backend_server_id id);
  void NoteTakenAddresses();

  std::vector<known_server> rows_;
  absl::flat_hash_map<backend_server_id, server_row> by_id_;
  absl::flat_hash_map<flow_cookie, server_row> by_cookie_;
  absl::flat_hash_map<std::string, std::vector<server_row>> by_service_;
  /// Rejected entries of the catalog, by name.
  absl::flat_hash_map<std::string, entry_rejection> rejected_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_STEERING_SERVER_SET_H_
