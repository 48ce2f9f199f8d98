#include "poplarstair/steering/server_set.h"

#include <algorithm>

namespace poplarstair {

flow_cookie server_set::CookieOf(backend_server_id id) {
  // The seed makes cookies independent of other hashes of the same ids.
  constexpr uint64_t kCookieSeed = 0x636f6f6b6965;
  const auto cookie =
      static_cast<flow_cookie>(HashCombine(id.Value(), kCookieSeed));
  return cookie == 0 ? 1 : cookie;
}

server_row server_set::RowOf(backend_server_id id) {
  const auto [it, is_new] =
      by_id_.try_emplace(id, static_cast<server_row>(rows_.size()));
  if (!is_new) return it->second;
  known_server server;
  server.id = id;
  server.cookie = CookieOf(id);
  // An ambiguous cookie still maps to the first server that had it, since that
  // server may have open flows. Both servers are marked and get no new flows
  // here, nor at any other instance that knows both, in whatever order the
  // instance learnt of them.
  const auto [owner, is_first] =
      by_cookie_.try_emplace(server.cookie, it->second);
  if (!is_first) {
    server.has_ambiguous_cookie = true;
    rows_[owner->second].has_ambiguous_cookie = true;
  }
  rows_.push_back(std::move(server));
  return it->second;
}

std::vector<server_row> server_set::Update(time_point now,
                                           const catalog& current) {
  std::vector<server_row> reborn;
  std::vector<bool> is_listed(rows_.size(), false);
  const auto& withdrawn = current.withdrawn_domains;
  for (const auto& [name, entry] : current.servers) {
    const server_row row = RowOf(entry.id);
    is_listed.resize(rows_.size(), false);
    is_listed[row] = true;
    known_server& server = rows_[row];
    if (server.born_ms != 0 && server.born_ms != entry.born_ms) {
      reborn.push_back(row);
    }
    if (server.service != entry.service) {
      std::erase(by_service_[server.service], row);
      by_service_[entry.service].push_back(row);
      server.service = entry.service;
    }
    server.address = entry.address;
    server.failure_domain = entry.failure_domain;
    server.state = entry.state;
    server.slots = std::max(entry.slots, 1U);
    server.cold_until = entry.cold_until;
    server.born_ms = entry.born_ms;
    server.is_withdrawn = std::binary_search(withdrawn.begin(), withdrawn.end(),
                                             entry.failure_domain);
    server.gone_at = kNever;
  }
  for (server_row row = 0; row < rows_.size(); ++row) {
    if (!is_listed[row] && rows_[row].gone_at == kNever) {
      rows_[row].gone_at = now;
    }
  }
  NoteTakenAddresses();
  return reborn;
}

void server_set::NoteTakenAddresses() {
  absl::flat_hash_map<endpoint, int64_t> latest_start;
  for (const known_server& server : rows_) {
    if (server.gone_at != kNever) continue;
    int64_t& latest = latest_start[server.address];
    latest = std::max(latest, server.born_ms);
  }
  for (known_server& server : rows_) {
    const auto it = latest_start.find(server.address);
    server.is_address_taken =
        it != latest_start.end() && it->second > server.born_ms;
  }
}

server_row server_set::FindCookie(flow_cookie cookie) const {
  const auto it = by_cookie_.find(cookie);
  return it == by_cookie_.end() ? kNoServer : it->second;
}

server_row server_set::FindId(backend_server_id id) const {
  const auto it = by_id_.find(id);
  return it == by_id_.end() ? kNoServer : it->second;
}

std::span<const server_row> server_set::OfService(
    const std::string& service) const {
  const auto it = by_service_.find(service);
  if (it == by_service_.end()) return {};
  return it->second;
}

}  // namespace poplarstair
