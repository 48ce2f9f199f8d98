#include "poplarstair/steering/server_set.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <tuple>

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

/// Order of two entries with one id, the same at every instance.
bool Precedes(bool is_service_known, std::string_view name,
              bool is_other_service_known, std::string_view other) {
  return std::tuple(!is_service_known, name.size(), name) <
         std::tuple(!is_other_service_known, other.size(), other);
}

}  // namespace

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

bool server_set::MayDescribe(const description& candidate) const {
  const server_row row = FindId(candidate.entry->id);
  if (row == kNoServer) return true;
  const known_server& server = rows_[row];
  if (!candidate.is_service_known) {
    return candidate.name == server.entry_name &&
           candidate.entry->service == server.service;
  }
  return candidate.name == server.entry_name ||
         Precedes(candidate.is_service_known, candidate.name,
                  server.is_service_known, server.entry_name);
}

std::vector<server_set::description> server_set::SelectEntries(
    const catalog& current, std::vector<rejected_entry>& rejected) const {
  const auto services = ServicesOf(current.routes);
  absl::flat_hash_map<backend_server_id, size_t> chosen;
  std::vector<description> selected;
  const auto reject = [&rejected](const description& d, entry_rejection why) {
    rejected.push_back({std::string(d.name), d.entry->service, why});
  };
  for (const auto& [name, entry] : current.servers) {
    description candidate{name, &entry, services.contains(entry.service)};
    if (!MayDescribe(candidate)) {
      reject(candidate, candidate.is_service_known
                            ? entry_rejection::kDuplicateId
                            : entry_rejection::kUnknownService);
      continue;
    }
    const auto [it, is_first] = chosen.try_emplace(entry.id, selected.size());
    if (is_first) {
      selected.push_back(candidate);
      continue;
    }
    description& other = selected[it->second];
    if (Precedes(candidate.is_service_known, name, other.is_service_known,
                 other.name)) {
      std::swap(candidate, other);
    }
    reject(candidate, entry_rejection::kDuplicateId);
  }
  for (const description& d : selected) {
    if (!d.is_service_known) reject(d, entry_rejection::kUnknownService);
  }
  return selected;
}

server_changes server_set::Update(time_point now, const catalog& current) {
  server_changes changes;
  std::vector<rejected_entry> rejected;
  std::vector<bool> is_listed(rows_.size(), false);
  const auto& withdrawn = current.withdrawn_domains;
  for (const description& d : SelectEntries(current, rejected)) {
    const server_entry& entry = *d.entry;
    const server_row row = RowOf(entry.id);
    is_listed.resize(rows_.size(), false);
    is_listed[row] = true;
    known_server& server = rows_[row];
    if (server.born_ms != 0 && server.born_ms != entry.born_ms) {
      changes.restarted.push_back(row);
    }
    if (server.service != entry.service) {
      std::erase(by_service_[server.service], row);
      by_service_[entry.service].push_back(row);
      server.service = entry.service;
    }
    server.entry_name = d.name;
    server.is_service_known = d.is_service_known;
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
  changes.rejected = NoteRejected(std::move(rejected));
  return changes;
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
    if (server.gone_at != kNever || !server.is_service_known) continue;
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
