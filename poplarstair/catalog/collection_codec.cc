#include "poplarstair/catalog/collection_codec.h"

#include <algorithm>
#include <compare>
#include <optional>
#include <utility>

#include "poplarstair/core/codec.h"
#include "poplarstair/core/error.h"

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
  int64_t cold_time_us = 0;
  MSGPACK_DEFINE(name, cold_flows_per_second, max_flows, cold_time_us)
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
  uint64_t reports = 0;
  /// Position of its creation; 0 from instances that do not send it.
  store_epoch created_epoch = 0;
  store_revision created = 0;
  MSGPACK_DEFINE(name, id, service, address, failure_domain, state, slots,
                 cold_left_us, born_ms, reports, created_epoch, created)
};

struct former_fields {
  std::string name;
  store_epoch created_epoch = 0;
  store_revision created = 0;
  int64_t gone_for_us = 0;
  MSGPACK_DEFINE(name, created_epoch, created, gone_for_us)
};

struct unread_fields {
  std::string name;
  std::string problem;
  MSGPACK_DEFINE(name, problem)
};

struct object_fields {
  std::string name;
  store_revision revision = 0;
  store_epoch epoch = 0;
  MSGPACK_DEFINE(name, revision, epoch)
};

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
  /// Of `revision` and `since`; 0 from instances that do not send it.
  store_epoch epoch = 0;
  int64_t kept_for_us = 0;
  /// Servers whose entries went lately.
  std::vector<former_fields> former;
  MSGPACK_DEFINE(revision, since, content, version, idle_timeout_us, profiles,
                 routes, services, servers, withdrawn_domains, objects, removed,
                 what, vocabulary, unread, unread_count, epoch, kept_for_us,
                 former)
};

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
    fields.services.push_back(
        {s.name, s.cold_flows_per_second, s.max_flows, s.cold_time.count()});
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
    table.services.push_back({s.name, s.cold_flows_per_second, s.max_flows,
                              duration(s.cold_time_us)});
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
          server.born_ms,
          server.reports,
          server.created.epoch,
          server.created.revision};
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
  server.reports = fields.reports;
  server.created = {fields.created_epoch, fields.created};
  return server;
}

}  // namespace

server_entry EntryOf(const store_object& object, const server_entry& content,
                     store_epoch epoch) {
  server_entry entry = content;
  // A store that does not tell the creation tells a change after it.
  entry.created = {epoch,
                   object.created != 0 ? object.created : object.revision};
  return entry;
}

collection_export ListOf(collection what, store_position position,
                         const std::vector<store_object>& objects) {
  collection_export state;
  state.position = position;
  for (const store_object& object : objects) {
    state.objects[object.name] = {position.epoch, object.revision};
    if (const auto* server = std::get_if<server_entry>(&object.content)) {
      state.servers[object.name] = EntryOf(object, *server, position.epoch);
    } else if (const auto* table = std::get_if<route_table>(&object.content)) {
      state.routes = *table;
    }
  }
  if (what == collection::kWithdrawals) {
    for (const auto& [name, read] : state.objects) {
      state.withdrawn_domains.push_back(name);
    }
  }
  return state;
}

std::string EncodeCollection(time_point now, collection what,
                             const collection_export& state) {
  collection_fields fields;
  fields.revision = state.position.revision;
  fields.epoch = state.position.epoch;
  fields.since = state.since;
  fields.content = state.content;
  fields.what = NumberOf(what);
  fields.vocabulary = state.vocabulary;
  fields.kept_for_us = state.kept_for.count();
  if (what == collection::kRoutes) PackRoutes(state.routes, fields);
  for (const auto& [name, server] : state.servers) {
    fields.servers.push_back(PackServer(now, name, server));
  }
  fields.withdrawn_domains = state.withdrawn_domains;
  for (const auto& [name, read] : state.objects) {
    fields.objects.push_back({name, read.revision, read.epoch});
  }
  fields.removed.assign(state.removed.begin(), state.removed.end());
  for (const auto& [name, former] : state.former_servers) {
    fields.former.push_back({name, former.created.epoch,
                             former.created.revision,
                             (now - former.gone_at).count()});
  }
  return EncodeMessage(fields);
}

collection_export DecodeCollection(time_point now, collection what,
                                   std::string_view bytes) {
  const auto fields = DecodeMessage<collection_fields>(bytes);
  // An answer that arrived late, on a connection that was in use again.
  if (fields.what != 0 && fields.what != NumberOf(what)) {
    throw malformed_message("catalog", "another collection");
  }
  if (fields.since != 0 && what != collection::kServers) {
    throw malformed_message("catalog", "changes of a whole collection");
  }
  collection_export state;
  state.position = {fields.epoch, fields.revision};
  state.since = fields.since;
  state.content = fields.content;
  state.vocabulary = fields.vocabulary;
  state.kept_for = duration(fields.kept_for_us);
  if (what == collection::kRoutes) state.routes = UnpackRoutes(fields);
  for (const server_fields& s : fields.servers) {
    if (const auto server = UnpackServer(now, s)) {
      state.servers[s.name] = *server;
    }
  }
  state.withdrawn_domains = fields.withdrawn_domains;
  for (const object_fields& o : fields.objects) {
    state.objects[o.name] = {o.epoch, o.revision};
  }
  for (auto& [name, server] : state.servers) {
    const auto read = state.objects.find(name);
    if (server.created.revision == 0 && read != state.objects.end()) {
      server.created = read->second;
    }
  }
  state.removed.insert(fields.removed.begin(), fields.removed.end());
  for (const former_fields& f : fields.former) {
    state.former_servers[f.name] = {{f.created_epoch, f.created},
                                    now - duration(f.gone_for_us)};
  }
  return state;
}

}  // namespace poplarstair
