#include "poplarstair/steering/server_set.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace poplarstair {

namespace {

/// All services that the configuration names.
absl::flat_hash_set<std::string_view> ServicesOf(const route_table& table) {
  absl::flat_hash_set<std::string_view> services;
  for (const service_limits& s : table.services) services.insert(s.name);
  for (const service_route& route : table.routes) {
    for (const weighted_service& s : route.services) services.insert(s.service);
  }
  return services;
}

}  // namespace

server_row server_set::RowOf(time_point now, const std::string& name) {
  const auto [it, is_new] =
      by_name_.try_emplace(name, static_cast<server_row>(rows_.size()));
  if (!is_new) return it->second;
  known_server server;
  server.name = name;
  server.name_hash = cookie_claims::CandidatesOf(name).front();
  server.known_since = now;
  has_new_rows_ = true;
  rows_.push_back(std::move(server));
  return it->second;
}

bool server_set::MayDescribe(const std::string& name, const server_entry& entry,
                             bool is_service_known) const {
  const auto it = by_name_.find(name);
  return is_service_known || it == by_name_.end() ||
         rows_[it->second].service == entry.service;
}

void server_set::Describe(known_server& server, const server_entry& entry) {
  if (server.service != entry.service) {
    const server_row row = by_name_.at(server.name);
    std::erase(by_service_[server.service], row);
    by_service_[entry.service].push_back(row);
    server.service = entry.service;
  }
  server.id = entry.id;
  server.address = entry.address;
  server.failure_domain = entry.failure_domain;
  server.state = entry.state;
  server.slots = std::max(entry.slots, 1U);
  server.cold_until = entry.cold_until;
  server.born_ms = entry.born_ms;
  server.gone_at = kNever;
}

server_changes server_set::Update(time_point now, const catalog& current) {
  server_changes changes;
  std::vector<rejected_entry> rejected;
  std::vector<bool> is_listed(rows_.size(), false);
  const auto& withdrawn = current.withdrawn_domains;
  const auto& unconfirmed = current.unconfirmed_domains;
  const auto services = ServicesOf(current.routes);
  const bool is_first = rows_.empty();
  for (const auto& [name, entry] : current.servers) {
    const bool is_service_known = services.contains(entry.service);
    if (!is_service_known) {
      rejected.push_back(
          {name, entry.service, entry_rejection::kUnknownService});
    }
    if (!MayDescribe(name, entry, is_service_known)) continue;
    const bool is_new = !by_name_.contains(name);
    const server_row row = RowOf(now, name);
    is_listed.resize(rows_.size(), false);
    is_listed[row] = true;
    known_server& server = rows_[row];
    if (!is_new && server.born_ms != entry.born_ms) {
      changes.restarted.push_back(row);
    }
    Describe(server, entry);
    claims_.OnListed(now, name, entry.created, is_first);
    server.is_ahead = entry.created > current.servers_known;
    server.is_service_known = is_service_known;
    server.is_withdrawn = std::binary_search(withdrawn.begin(), withdrawn.end(),
                                             entry.failure_domain);
    server.is_unconfirmed = std::binary_search(
        unconfirmed.begin(), unconfirmed.end(), entry.failure_domain);
  }
  for (server_row row = 0; row < rows_.size(); ++row) {
    if (!is_listed[row] && rows_[row].gone_at == kNever) {
      rows_[row].gone_at = now;
      claims_.OnGone(now, rows_[row].name);
    }
  }
  for (const auto& [name, former] : current.former_servers) {
    claims_.OnTold(now, {name, former.created, now - former.gone_at});
  }
  changes.other_cookies = UpdateCookies();
  NoteDuplicates(rejected);
  NoteTakenAddresses();
  changes.rejected = NoteRejected(std::move(rejected));
  return changes;
}

std::vector<server_row> server_set::OnCookieClaims(
    time_point now, const std::vector<cookie_claim>& claims) {
  for (const cookie_claim& claim : claims) claims_.OnTold(now, claim);
  return UpdateCookies();
}

std::vector<server_row> server_set::OnTick(time_point now) {
  claims_.OnTick(now);
  return UpdateCookies();
}

std::vector<server_row> server_set::UpdateCookies() {
  std::vector<server_row> others;
  if (claims_version_ == claims_.Version() && !has_new_rows_) return others;
  claims_version_ = claims_.Version();
  has_new_rows_ = false;
  for (server_row row = 0; row < rows_.size(); ++row) {
    known_server& server = rows_[row];
    const flow_cookie before =
        server.cookie == 0 ? server.name_hash : server.cookie;
    server.cookie = claims_.CookieOf(server.name);
    if (server.cookie != before) others.push_back(row);
  }
  return others;
}

void server_set::NoteDuplicates(std::vector<rejected_entry>& rejected) {
  // Packets name their server by its id alone, so one of these entries is a
  // copy. The one that was known first is the server's own; a later start
  // decides between entries that were learnt together.
  const auto precedes = [this](server_row a, server_row b) {
    const known_server& first = rows_[a];
    const known_server& other = rows_[b];
    return std::tuple(first.known_since, -first.born_ms, first.name) <
           std::tuple(other.known_since, -other.born_ms, other.name);
  };
  by_id_.clear();
  for (server_row row = 0; row < rows_.size(); ++row) {
    rows_[row].is_duplicate = false;
    if (!IsUsable(row)) continue;
    const auto [it, is_first] = by_id_.try_emplace(rows_[row].id, row);
    if (is_first) continue;
    server_row copy = row;
    if (precedes(copy, it->second)) std::swap(copy, it->second);
    known_server& own = rows_[it->second];
    known_server& other = rows_[copy];
    other.is_duplicate = true;
    rejected.push_back(
        {other.name, other.service, entry_rejection::kDuplicateId});
    // Either may be the copy: what any of them says against new flows counts.
    if (other.state == server_state::kDraining) own.state = other.state;
    own.is_withdrawn = own.is_withdrawn || other.is_withdrawn;
    own.is_unconfirmed = own.is_unconfirmed || other.is_unconfirmed;
    own.cold_until = std::max(own.cold_until, other.cold_until);
  }
}

std::vector<rejected_entry> server_set::NoteRejected(
    std::vector<rejected_entry> rejected) {
  absl::flat_hash_map<std::string, entry_rejection> reasons;
  for (const rejected_entry& entry : rejected) {
    reasons[entry.name] = entry.reason;
  }
  std::erase_if(rejected, [this](const rejected_entry& entry) {
    const auto before = rejected_.find(entry.name);
    return before != rejected_.end() && before->second == entry.reason;
  });
  rejected_ = std::move(reasons);
  return rejected;
}

void server_set::NoteTakenAddresses() {
  absl::flat_hash_map<endpoint, int64_t> latest_start;
  for (const known_server& server : rows_) {
    const bool is_claim = server.gone_at == kNever && server.is_service_known &&
                          !server.is_duplicate;
    if (!is_claim) continue;
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
  const std::string* name = claims_.OwnerOf(cookie);
  if (name == nullptr) return kNoServer;
  const auto it = by_name_.find(*name);
  return it == by_name_.end() ? kNoServer : it->second;
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
