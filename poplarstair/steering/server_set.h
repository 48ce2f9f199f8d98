// Backend servers as flat rows, found by service, by cookie and by name.
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
#include "poplarstair/steering/cookie_claims.h"

namespace poplarstair {

/// Index of a backend server in a server_set. An index is never reused while
/// the process lives, so that flows and estimates can store it.
using server_row = uint32_t;
inline constexpr server_row kNoServer = ~server_row{0};

/// A backend server as the catalog last described it.
struct known_server {
  /// Name of its catalog entry, which alone identifies it: entries of other
  /// writers may hold the same id.
  std::string name;
  uint32_t name_hash = 0;
  backend_server_id id;
  /// For packets to the server; 0 if every cookie of its name belongs to
  /// another server's.
  flow_cookie cookie = 0;
  /// When the entry was first seen.
  time_point known_since{};
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
  /// The entry is of later than the list that it was read in, which may lack
  /// others with the same cookies.
  bool is_ahead = false;
  /// Another entry with the same id is taken for the server's own.
  bool is_duplicate = false;
  /// A server that started later has the same address, so this server's process
  /// has ended, though its catalog entry may still exist.
  bool is_address_taken = false;
  /// The server may have turned cold, or started anew, since its entry was
  /// confirmed: it counts as cold.
  bool is_unconfirmed = false;
  /// When the catalog entry was removed; kNever while it exists. The row stays,
  /// since an entry can expire while its server is alive and has open flows.
  time_point gone_at = kNever;

  bool IsCold(time_point now) const {
    return cold_until > now || is_unconfirmed;
  }
  bool TakesNewFlows() const {
    return gone_at == kNever && state == server_state::kReady &&
           is_service_known && !is_withdrawn && !is_duplicate && !is_ahead &&
           cookie != 0;
  }
};

/// Why a readable catalog entry gets no new flows.
enum class entry_rejection : uint8_t {
  /// The configuration does not name its service.
  kUnknownService,
  /// Another entry holds the same id.
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
  /// Rows whose server has restarted under the same name.
  std::vector<server_row> restarted;
  /// Entries that are rejected and were not before, or for another reason.
  std::vector<rejected_entry> rejected;
  /// As server_set::OnTick.
  std::vector<server_row> other_cookies;
};

/// All backend servers that this process has seen in the catalog. Each entry
/// describes the server of its name and says nothing of any other. An entry of
/// a service that the configuration does not name serves only open flows that
/// name its server.
class server_set {
 public:
  /// As service_promises::longest_flow.
  explicit server_set(duration longest_flow) : claims_(longest_flow) {}

  server_changes Update(time_point now, const catalog& current);
  /// What another instance knows of the claims to cookies. Returns as OnTick.
  std::vector<server_row> OnCookieClaims(
      time_point now, const std::vector<cookie_claim>& claims);
  /// To be called about once a second. Returns the rows that have got another
  /// cookie than before, or than the first of their name.
  std::vector<server_row> OnTick(time_point now);

  const known_server& At(server_row row) const { return rows_[row]; }
  size_t Size() const { return rows_.size(); }
  /// Row of the server that the cookie names; kNoServer if there is none.
  server_row FindCookie(flow_cookie cookie) const;
  /// As cookie_claims.
  bool IsUndecided(flow_cookie cookie) const {
    return claims_.IsUndecided(cookie);
  }
  /// Row of the usable server with this id; kNoServer if there is none.
  server_row FindId(backend_server_id id) const;
  /// All rows of a service, including those that take no new flows.
  std::span<const server_row> OfService(const std::string& service) const;
  /// For other instances.
  std::vector<cookie_claim> ContestedCookies(time_point now) const {
    return claims_.Contested(now);
  }

 private:
  /// False for an entry of an unknown service under the name of a server of
  /// another one: it stands for a missing entry.
  bool MayDescribe(const std::string& name, const server_entry& entry,
                   bool is_service_known) const;
  void Describe(known_server& server, const server_entry& entry);
  /// Stores what is rejected now. Returns the entries that were not rejected
  /// for the same reason before.
  std::vector<rejected_entry> NoteRejected(
      std::vector<rejected_entry> rejected);
  /// Adds the entries to `rejected` whose id another one holds.
  void NoteDuplicates(std::vector<rejected_entry>& rejected);
  server_row RowOf(time_point now, const std::string& name);
  std::vector<server_row> UpdateCookies();
  void NoteTakenAddresses();
  bool IsUsable(server_row row) const {
    return rows_[row].gone_at == kNever && rows_[row].is_service_known;
  }

  std::vector<known_server> rows_;
  absl::flat_hash_map<std::string, server_row> by_name_;
  /// Usable servers that are no duplicates.
  absl::flat_hash_map<backend_server_id, server_row> by_id_;
  cookie_claims claims_;
  /// Version of `claims_` that the rows' cookies are of.
  uint64_t claims_version_ = 0;
  /// Rows without a cookie yet.
  bool has_new_rows_ = false;
  absl::flat_hash_map<std::string, std::vector<server_row>> by_service_;
  /// Rejected entries of the catalog, by name.
  absl::flat_hash_map<std::string, entry_rejection> rejected_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_STEERING_SERVER_SET_H_
