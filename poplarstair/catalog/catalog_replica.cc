#include "poplarstair/catalog/catalog_replica.h"

#include <algorithm>
#include <compare>
#include <map>
#include <optional>
#include <utility>

#include "poplarstair/core/codec.h"
#include "poplarstair/core/hash.h"

namespace poplarstair {

namespace {

// The fields on the wire between instances. Times are sent as what is left of
// them, since no two instances share a clock.

/// What many routes have in common; sent once.
struct route_profile_fields {
  std::vector<std::string> services;
  std::vector<uint32_t> weights;
  uint8_t kind = 0;
  int64_t timeout_us = 0;
  int64_t latency_target_us = 0;
  uint32_t priority = 0;
  MSGPACK_DEFINE(services, weights, kind, timeout_us, latency_target_us,
                 priority)

  friend auto operator<=>(const route_profile_fields&,
                          const route_profile_fields&) = default;
};

struct route_fields {
  std::string address;
  /// Index of the profile.
  uint32_t profile = 0;
  MSGPACK_DEFINE(address, profile)
};

struct limits_fields {
  std::string name;
  double cold_flows_per_second = 0;
  uint32_t max_flows = 0;
  MSGPACK_DEFINE(name, cold_flows_per_second, max_flows)
};

struct server_fields {
  std::string name;
  uint64_t id = 0;
  std::string service;
  std::string address;
  std::string failure_domain;
  uint8_t state = 0;
  uint32_t slots = 1;
  int64_t cold_left_us = 0;
  int64_t born_ms = 0;
  MSGPACK_DEFINE(name, id, service, address, failure_domain, state, slots,
                 cold_left_us, born_ms)
};

struct unread_fields {
  std::string name;
  std::string problem;
  MSGPACK_DEFINE(name, problem)
};

struct object_fields {
  std::string name;
  store_revision revision = 0;
  MSGPACK_DEFINE(name, revision)
};

/// Most removed servers that are remembered for other instances: some hours of
/// replacements at the largest size that is aimed for.
constexpr size_t kMostRemoved = 2048;

}  // namespace

/// One collection; the fields of the others stay empty.
struct collection_fields {
  store_revision revision = 0;
  /// 0: the whole collection; else what has changed after this revision.
  store_revision since = 0;
  /// Of the whole collection.
  content_digest content = 0;
  uint64_t version = 0;
  int64_t idle_timeout_us = 0;
  std::vector<route_profile_fields> profiles;
  std::vector<route_fields> routes;
  std::vector<limits_fields> services;
  std::vector<server_fields> servers;
  std::vector<std::string> withdrawn_domains;
  /// Objects, also those that name nothing to use.
  std::vector<object_fields> objects;
  /// Names of objects that are gone.
  std::vector<std::string> removed;
  /// The collection's number plus one; 0 from instances that do not send it.
  uint8_t what = 0;
  /// kVocabularyVersion of the sender; 0 from instances that do not send it.
  uint32_t vocabulary = 0;
  std::vector<unread_fields> unread;
  uint32_t unread_count = 0;
  MSGPACK_DEFINE(revision, since, content, version, idle_timeout_us, profiles,
                 routes, services, servers, withdrawn_domains, objects, removed,
                 what, vocabulary, unread, unread_count)
};

namespace {

uint8_t NumberOf(collection what) {
  return static_cast<uint8_t>(static_cast<uint8_t>(what) + 1);
}

/// Nothing for an enumerator that only later versions of the program have.
template <typename Enum>
std::optional<Enum> KnownEnum(uint8_t value) {
  if (value >= std::size(enum_names<Enum>::kNames)) return std::nullopt;
  return static_cast<Enum>(value);
}

route_profile_fields ProfileOf(const service_route& route) {
  route_profile_fields fields;
  for (const weighted_service& s : route.services) {
    fields.services.push_back(s.service);
    fields.weights.push_back(s.weight);
  }
  fields.kind = static_cast<uint8_t>(route.kind);
  fields.timeout_us = route.timeout.count();
  fields.latency_target_us = route.latency_target.count();
  fields.priority = route.priority;
  return fields;
}

void PackRoutes(const route_table& table, collection_fields& fields) {
  fields.version = table.version;
  fields.idle_timeout_us = table.idle_timeout.count();
  std::map<route_profile_fields, uint32_t> known;
  for (const service_route& route : table.routes) {
    const auto next = static_cast<uint32_t>(fields.profiles.size());
    const auto [it, is_new] = known.try_emplace(ProfileOf(route), next);
    if (is_new) fields.profiles.push_back(it->first);
    fields.routes.push_back({route.address.Pack(), it->second});
  }
  for (const service_limits& s : table.services) {
    fields.services.push_back({s.name, s.cold_flows_per_second, s.max_flows});
  }
  for (const unread_part& part : table.unread) {
    fields.unread.push_back({part.name, part.problem});
  }
  fields.unread_count = table.unread_count;
}

/// A kind of request that is not known here is noted in `table`.
service_route UnpackProfile(const route_profile_fields& fields,
                            route_table& table) {
  if (fields.services.size() != fields.weights.size()) {
    throw malformed_message("catalog", "services and weights of a route");
  }
  service_route route;
  for (size_t i = 0; i < fields.services.size(); ++i) {
    route.services.push_back({fields.services[i], fields.weights[i]});
  }
  const auto kind = KnownEnum<request_kind>(fields.kind);
  if (!kind) {
    table.AddUnread({"kind of request " + std::to_string(fields.kind),
                     "unknown: never repeated"});
  }
  route.kind = kind.value_or(request_kind::kNotIdempotent);
  route.timeout = duration(fields.timeout_us);
  route.latency_target = duration(fields.latency_target_us);
  route.priority = fields.priority;
  return route;
}

route_table UnpackRoutes(const collection_fields& fields) {
  route_table table;
  table.version = fields.version;
  table.idle_timeout = duration(fields.idle_timeout_us);
  for (const unread_fields& part : fields.unread) {
    table.AddUnread({part.name, part.problem});
  }
  table.unread_count = std::max(table.unread_count, fields.unread_count);
  std::vector<service_route> profiles;
  for (const route_profile_fields& p : fields.profiles) {
    profiles.push_back(UnpackProfile(p, table));
  }
  for (const route_fields& r : fields.routes) {
    if (r.profile >= profiles.size()) {
      throw malformed_message("catalog", "profile of a route");
    }
    table.routes.push_back(profiles[r.profile]);
    table.routes.back().address = endpoint::Unpack(r.address);
  }
  for (const limits_fields& s : fields.services) {
    table.services.push_back({s.name, s.cold_flows_per_second, s.max_flows});
  }
  return table;
}

server_fields PackServer(time_point now, const std::string& name,
                         const server_entry& server) {
  const duration cold_left =
      std::max(duration::zero(), server.cold_until - now);
  return {name,
          server.id.Value(),
          server.service,
          server.address.Pack(),
          server.failure_domain,
          static_cast<uint8_t>(server.state),
          server.slots,
          cold_left.count(),
          server.born_ms};
}

/// Nothing for a server in a state that is not known here: it gets no flows.
std::optional<server_entry> UnpackServer(time_point now,
                                         const server_fields& fields) {
  const auto state = KnownEnum<server_state>(fields.state);
  if (!state) return std::nullopt;
  server_entry server;
  server.id = backend_server_id(fields.id);
  server.service = fields.service;
  server.address = endpoint::Unpack(fields.address);
  server.failure_domain = fields.failure_domain;
  server.state = *state;
  server.slots = fields.slots;
  server.cold_until = now + duration(fields.cold_left_us);
  server.born_ms = fields.born_ms;
  return server;
}

}  // namespace

bool catalog_replica::IsComplete() const {
  return std::all_of(revisions_.begin(), revisions_.end(),
                     [](store_revision r) { return r != 0; });
}

bool catalog_replica::Replace(time_point /*now*/, collection what,
                              store_revision revision,
                              const std::vector<store_object>& objects) {
  // An older state than a peer has handed over; the watch will catch up.
  if (revision < Revision(what)) return false;
  if (what == collection::kServers) catalog_.servers.clear();
  std::vector<std::string> withdrawn;
  if (what == collection::kWithdrawals) {
    withdrawn = std::exchange(catalog_.withdrawn_domains, {});
  }
  const object_revisions before = ClearObjects(what);
  for (const store_object& object : objects) Apply(what, object, revision);
  returned_.Note(withdrawn, catalog_.withdrawn_domains, revision);
  NoteRemoved(what, before, revision);
  SetRevision(what, revision);
  needs_own_reading_[static_cast<size_t>(what)] = false;
  return true;
}

bool catalog_replica::Change(time_point /*now*/, collection what,
                             store_revision revision,
                             const std::vector<store_object>& objects) {
  if (revision <= Revision(what)) return false;
  const std::vector<std::string> withdrawn = catalog_.withdrawn_domains;
  for (const store_object& object : objects) Apply(what, object, revision);
  returned_.Note(withdrawn, catalog_.withdrawn_domains, revision);
  SetRevision(what, revision);
  return true;
}

bool catalog_replica::Raise(collection what, store_revision revision) {
  const bool is_whole = !needs_whole_[static_cast<size_t>(what)];
  if (Revision(what) == 0 || revision <= Revision(what) || !is_whole) {
    return false;
  }
  const size_t before = catalog_.unconfirmed_domains.size();
  SetRevision(what, revision);
  return catalog_.unconfirmed_domains.size() != before;
}

void catalog_replica::SetRevision(collection what, store_revision revision) {
  revisions_[static_cast<size_t>(what)] = revision;
  catalog_.unconfirmed_domains =
      returned_.Unconfirmed(Revision(collection::kServers));
}

void catalog_replica::SetObject(collection what, const std::string& name,
                                store_revision revision) {
  const auto [it, is_new] =
      objects_[static_cast<size_t>(what)].try_emplace(name, revision);
  content_digest& digest = digests_[static_cast<size_t>(what)];
  const uint64_t key = HashBytes(name);
  if (!is_new) digest ^= HashCombine(key, it->second);
  it->second = revision;
  digest ^= HashCombine(key, revision);
  if (what == collection::kServers) removed_servers_.erase(name);
}

void catalog_replica::DropObject(collection what, const std::string& name,
                                 store_revision revision) {
  auto& objects = objects_[static_cast<size_t>(what)];
  const auto it = objects.find(name);
  if (it == objects.end()) return;
  digests_[static_cast<size_t>(what)] ^=
      HashCombine(HashBytes(name), it->second);
  objects.erase(it);
  if (what != collection::kServers) return;
  removed_servers_[name] = revision;
  if (removed_servers_.size() <= kMostRemoved) return;
  removed_servers_.clear();
  changes_from_ = revision;
}

catalog_replica::object_revisions catalog_replica::ClearObjects(
    collection what) {
  digests_[static_cast<size_t>(what)] = 0;
  return std::exchange(objects_[static_cast<size_t>(what)], {});
}

void catalog_replica::NoteRemoved(collection what,
                                  const object_revisions& before,
                                  store_revision revision) {
  if (what != collection::kServers) return;
  if (changes_from_ == 0) changes_from_ = revision;
  for (const auto& [name, last] : before) {
    if (objects_[static_cast<size_t>(what)].contains(name)) continue;
    removed_servers_[name] = revision;
  }
}

void catalog_replica::Apply(collection what, const store_object& object,
                            store_revision revision) {
  if (object.is_deleted) {
    DropObject(what, object.name, revision);
    return Erase(what, object.name);
  }
  SetObject(what, object.name, object.revision);
  Take(what, object);
}

void catalog_replica::Take(collection what, const store_object& object) {
  if (const auto* bad = std::get_if<unreadable_object>(&object.content)) {
    log_(log_record("store_object_unreadable", log_level::kWarning)
             .With("collection", NameOf(what))
             .With("name", object.name)
             .With("problem", bad->problem));
    // What can't be read names no server, even where a readable entry stood.
    if (what == collection::kServers) catalog_.servers.erase(object.name);
    return;
  }
  switch (what) {
    case collection::kRoutes:
      if (const auto* routes = std::get_if<route_table>(&object.content)) {
        TakeRoutes(*routes);
      }
      return;
    case collection::kServers:
      if (const auto* server = std::get_if<server_entry>(&object.content)) {
        catalog_.servers[object.name] = *server;
      }
      return;
    case collection::kWithdrawals: {
      auto& domains = catalog_.withdrawn_domains;
      const auto at =
          std::lower_bound(domains.begin(), domains.end(), object.name);
      if (at == domains.end() || *at != object.name) {
        domains.insert(at, object.name);
        log_(log_record("domain_withdrawn").With("domain", object.name));
      }
      return;
    }
  }
}

void catalog_replica::Erase(collection what, const std::string& name) {
  if (what == collection::kServers) catalog_.servers.erase(name);
  if (what != collection::kWithdrawals) return;
  if (std::erase(catalog_.withdrawn_domains, name) > 0) {
    log_(log_record("domain_returned").With("domain", name));
  }
}

bool catalog_replica::TakeRoutes(const route_table& routes) {
  if (routes.version < catalog_.routes.version) {
    log_(log_record("routes_older", log_level::kWarning)
             .With("version", routes.version)
             .With("in_force", catalog_.routes.version));
    return false;
  }
  if (routes.version != catalog_.routes.version) {
    log_(log_record("routes_in_force")
             .With("version", routes.version)
             .With("before", catalog_.routes.version)
             .With("routes", routes.routes.size()));
  }
  const bool is_unread_new = routes.version != catalog_.routes.version ||
                             routes.unread != catalog_.routes.unread;
  catalog_.routes = routes;
  if (is_unread_new) LogUnread(routes);
  return true;
}

void catalog_replica::LogUnread(const route_table& routes) {
  for (const unread_part& part : routes.unread) {
    log_(log_record("routes_part_unread", log_level::kWarning)
             .With("version", routes.version)
             .With("part", part.name)
             .With("problem", part.problem)
             .With("parts", routes.unread_count));
  }
}

std::string catalog_replica::Export(time_point now, collection what,
                                    store_revision since) const {
  collection_fields fields;
  fields.revision = Revision(what);
  fields.content = Digest(what);
  fields.what = NumberOf(what);
  fields.vocabulary = kVocabularyVersion;
  // The other collections are small, or a single object.
  const bool knows_changes = what == collection::kServers && since != 0 &&
                             since >= changes_from_ && since <= fields.revision;
  if (knows_changes) fields.since = since;
  for (const auto& [name, revision] : objects_[static_cast<size_t>(what)]) {
    if (revision > fields.since) fields.objects.push_back({name, revision});
  }
  switch (what) {
    case collection::kRoutes:
      PackRoutes(catalog_.routes, fields);
      break;
    case collection::kServers:
      for (const object_fields& object : fields.objects) {
        const auto it = catalog_.servers.find(object.name);
        if (it == catalog_.servers.end()) continue;
        fields.servers.push_back(PackServer(now, it->first, it->second));
      }
      break;
    case collection::kWithdrawals:
      fields.withdrawn_domains = catalog_.withdrawn_domains;
      break;
  }
  if (fields.since != 0) {
    for (const auto& [name, revision] : removed_servers_) {
      if (revision > fields.since) fields.removed.push_back(name);
    }
  }
  return EncodeMessage(fields);
}

bool catalog_replica::ImportChanges(time_point now,
                                    const collection_fields& fields) {
  constexpr collection kWhat = collection::kServers;
  if (fields.since > Revision(kWhat)) return false;
  for (const std::string& name : fields.removed) {
    DropObject(kWhat, name, fields.revision);
    catalog_.servers.erase(name);
  }
  for (const object_fields& o : fields.objects) {
    SetObject(kWhat, o.name, o.revision);
    catalog_.servers.erase(o.name);
  }
  for (const server_fields& s : fields.servers) {
    if (const auto server = UnpackServer(now, s)) {
      catalog_.servers[s.name] = *server;
    }
  }
  if (Digest(kWhat) == fields.content) {
    SetRevision(kWhat, fields.revision);
    return true;
  }
  // What is held is no state that the other instance knows: its whole
  // collection replaces it. The revision stays, so that this is still due.
  needs_whole_[static_cast<size_t>(kWhat)] = true;
  log_(log_record("catalog_changes_do_not_fit", log_level::kWarning)
           .With("since", fields.since)
           .With("revision", fields.revision));
  return true;
}

bool catalog_replica::Import(time_point now, collection what,
                             std::string_view exported) {
  const auto fields = DecodeMessage<collection_fields>(exported);
  // An answer that arrived late, on a connection that was in use again.
  if (fields.what != 0 && fields.what != NumberOf(what)) {
    throw malformed_message("catalog", "another collection");
  }
  if (fields.revision <= Revision(what)) return false;
  if (fields.since != 0) {
    if (what != collection::kServers) {
      throw malformed_message("catalog", "changes of a whole collection");
    }
    return ImportChanges(now, fields);
  }
  switch (what) {
    case collection::kRoutes:
      if (!TakeRoutes(UnpackRoutes(fields))) return false;
      break;
    case collection::kServers: {
      std::map<std::string, server_entry> servers;
      for (const server_fields& s : fields.servers) {
        if (const auto server = UnpackServer(now, s)) servers[s.name] = *server;
      }
      catalog_.servers = std::move(servers);
      break;
    }
    case collection::kWithdrawals: {
      const std::vector<std::string> before =
          std::exchange(catalog_.withdrawn_domains, fields.withdrawn_domains);
      returned_.Note(before, catalog_.withdrawn_domains, fields.revision);
      break;
    }
  }
  const object_revisions before = ClearObjects(what);
  for (const object_fields& o : fields.objects) {
    SetObject(what, o.name, o.revision);
  }
  NoteRemoved(what, before, fields.revision);
  SetRevision(what, fields.revision);
  needs_whole_[static_cast<size_t>(what)] = false;
  needs_own_reading_[static_cast<size_t>(what)] =
      fields.vocabulary < kVocabularyVersion;
  return true;
}

}  // namespace poplarstair
