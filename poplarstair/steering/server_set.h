// Backend servers as flat rows, found by service, by cookie and by id.
#ifndef POPLARSTAIR_STEERING_SERVER_SET_H_
#define POPLARSTAIR_STEERING_SERVER_SET_H_

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "poplarstair/catalog/catalog.h"
#include "poplarstair/steering/segment.h"

namespace poplarstair {

/// Index of a backend server in a server_set. An index is never reused while
/// the process lives, so that flows and estimates can store it.
using server_row = uint32_t;
inline constexpr server_row kNoServer = ~server_row{0};

/// A backend server as the catalog last described it.
struct known_server {
  backend_server_id id;
  flow_cookie cookie = 0;
  endpoint address;
  std::string service;
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
           !is_withdrawn && !has_ambiguous_cookie;
  }
};

/// All backend servers that this process has seen in the catalog.
class server_set {
 public:
  /// Updates the rows from the catalog. Returns the rows whose server has
  /// restarted under the same id.
  std::vector<server_row> Update(time_point now, const catalog& current);

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
  server_row RowOf(backend_server_id id);
  void NoteTakenAddresses();

  std::vector<known_server> rows_;
  absl::flat_hash_map<backend_server_id, server_row> by_id_;
  absl::flat_hash_map<flow_cookie, server_row> by_cookie_;
  absl::flat_hash_map<std::string, std::vector<server_row>> by_service_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_STEERING_SERVER_SET_H_
