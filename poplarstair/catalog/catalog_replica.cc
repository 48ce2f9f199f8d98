#include "poplarstair/catalog/catalog_replica.h"

#include <algorithm>

#include "poplarstair/core/codec.h"

namespace poplarstair {

namespace {

// The fields on the wire between instances. Times are sent as what is left of
// them, since no two instances share a clock.

struct route_fields {
  std::string address;
  std::vector<std::string> services;
  std::vector<uint32_t> weights;
  uint8_t kind = 0;
  int64_t timeout_us = 0;
  int64_t latency_target_us = 0;
  uint32_t priority = 0;
  MSGPACK_DEFINE(address, services, weights, kind, timeout_us,
                 latency_target_us, priority)
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

/// One collection; the fields of the others stay empty.
struct collection_fields {
  store_revision revision = 0;
  uint64_t version = 0;
  int64_t idle_timeout_us = 0;
  std::vector<route_fields> routes;
  std::vector<limits_fields> services;
  std::vector<server_fields> servers;
  std::vector<std::string> withdrawn_domains;
  MSGPACK_DEFINE(revision, version, idle_timeout_us, routes, services, servers,
                 withdrawn_domains)
};

template <typename Enum>
Enum CheckedEnum(uint8_t value) {
  if (value >= std::size(enum_names<Enum>::kNames)) {
    throw malformed_message("catalog", "unknown enumerator");
  }
  return static_cast<Enum>(value);
}

route_fields PackRoute(const service_route& route) {
  route_fields fields;
  fields.address = route.address.Pack();
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

service_route UnpackRoute(const route_fields& fields) {
  if (fields.services.size() != fields.weights.size()) {
    throw malformed_message("catalog", "services and weights of a route");
  }
  service_route route;
  route.address = endpoint::Unpack(fields.address);
  for (size_t i = 0; i < fields.services.size(); ++i) {
    route.services.push_back({fields.services[i], fields.weights[i]});
  }
  route.kind = CheckedEnum<request_kind>(fields.kind);
  route.timeout = duration(fields.timeout_us);
  route.latency_target = duration(fields.latency_target_us);
  route.priority = fields.priority;
  return route;
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

server_entry UnpackServer(time_point now, const server_fields& fields) {
  server_entry server;
  server.id = backend_server_id(fields.id);
  server.service = fields.service;
  server.address = endpoint::Unpack(fields.address);
  server.failure_domain = fields.failure_domain;
  server.state = CheckedEnum<server_state>(fields.state);
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
  if (what == collection::kWithdrawals) catalog_.withdrawn_domains.clear();
  for (const store_object& object : objects) Apply(what, object);
  SetRevision(what, revision);
  return true;
}

bool catalog_replica::Change(time_point /*now*/, collection what,
                             store_revision revision,
                             const std::vector<store_object>& objects) {
  if (revision <= Revision(what)) return false;
  for (const store_object& object : objects) Apply(what, object);
  SetRevision(what, revision);
  return true;
}

void catalog_replica::Apply(collection what, const store_object& object) {
  if (object.is_deleted) return Erase(what, object.name);
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
  catalog_.routes = routes;
  return true;
}

std::string catalog_replica::Export(time_point now, collection what) const {
  collection_fields fields;
  fields.revision = Revision(what);
  switch (what) {
    case collection::kRoutes:
      fields.version = catalog_.routes.version;
      fields.idle_timeout_us = catalog_.routes.idle_timeout.count();
      for (const service_route& route : catalog_.routes.routes) {
        fields.routes.push_back(PackRoute(route));
      }
      for (const service_limits& s : catalog_.routes.services) {
        fields.services.push_back(
            {s.name, s.cold_flows_per_second, s.max_flows});
      }
      break;
    case collection::kServers:
      for (const auto& [name, server] : catalog_.servers) {
        fields.servers.push_back(PackServer(now, name, server));
      }
      break;
    case collection::kWithdrawals:
      fields.withdrawn_domains = catalog_.withdrawn_domains;
      break;
  }
  return EncodeMessage(fields);
}

bool catalog_replica::Import(time_point now, collection what,
                             std::string_view exported) {
  const auto fields = DecodeMessage<collection_fields>(exported);
  if (fields.revision <= Revision(what)) return false;
  switch (what) {
    case collection::kRoutes: {
      route_table routes;
      routes.version = fields.version;
      routes.idle_timeout = duration(fields.idle_timeout_us);
      for (const route_fields& r : fields.routes) {
        routes.routes.push_back(UnpackRoute(r));
      }
      for (const limits_fields& s : fields.services) {
        routes.services.push_back(
            {s.name, s.cold_flows_per_second, s.max_flows});
      }
      if (!TakeRoutes(routes)) return false;
      break;
    }
    case collection::kServers: {
      std::map<std::string, server_entry> servers;
      for (const server_fields& s : fields.servers) {
        servers[s.name] = UnpackServer(now, s);
      }
      catalog_.servers = std::move(servers);
      break;
    }
    case collection::kWithdrawals:
      catalog_.withdrawn_domains = fields.withdrawn_domains;
      break;
  }
  SetRevision(what, fields.revision);
  return true;
}

}  // namespace poplarstair
