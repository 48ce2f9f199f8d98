#include "poplarstair/testing/site_state.h"

#include <algorithm>
#include <cstdio>

namespace poplarstair {

namespace {

constexpr duration kWithinDomain = std::chrono::microseconds(200);
/// How soon whoever was cut off has to know what the others know.
constexpr duration kCatchUpBound = std::chrono::seconds(3);

}  // namespace

site_state::site_state(deployment site, const site_driver_settings& wanted)
    : settings(wanted),
      deployed(std::move(site)),
      random(wanted.seed),
      bus(queue, {kWithinDomain, deployed.between_domains}, wanted.seed),
      platform(queue),
      planted(wanted.planted, deployed.config) {
  for (const service_config& service : deployed.config.services) {
    for (const backend_server_config& server : service.backend_servers) {
      facts.servers[server.id] = {service.name + "/" + server.name,
                                  server.failure_domain,
                                  {service.id}};
      servers.emplace_back(server, service.id, wanted.seed);
    }
  }
  for (const daemon_settings& each : deployed.instances) {
    entry_instance instance;
    instance.settings = each;
    instance.id = each.Address().id;
    instance.domain = each.Address().failure_domain;
    instances.push_back(std::move(instance));
  }
}

void site_state::Input(size_t i, incarnation life,
                       const std::function<void(balancer&)>& todo) {
  entry_instance& instance = instances[i];
  if (!instance.process || instance.life != life) return;
  if (instance.is_paused) {
    instance.held.push_back(todo);
    return;
  }
  todo(*instance.process);
  const generation seen =
      planted.SeenGeneration(i, instance.process->ConfigInForce());
  if (seen == instance.in_force) return;
  instance.in_force = seen;
  history_event event;
  event.kind = history_kind::kConfigInForce;
  event.instance = instance.id;
  event.number = seen;
  Record(std::move(event));
}

std::optional<size_t> site_state::PickInstance() {
  std::vector<size_t> seen;
  for (size_t i = 0; i < instances.size(); ++i) {
    if (instances[i].fabric_sees_it) seen.push_back(i);
  }
  if (seen.empty()) return std::nullopt;
  return seen[RandomBelow(random, seen.size())];
}

bool site_state::IsIsolated(failure_domain_id domain) const {
  if (!cut_from_platform.contains(domain)) return false;
  return std::all_of(deployed.config.failure_domains.begin(),
                     deployed.config.failure_domains.end(),
                     [&](const failure_domain_config& other) {
                       return other.id == domain || bus.IsCut(other.id, domain);
                     });
}

bool site_state::CouldKnow(size_t i) const {
  const failure_domain_id domain = instances[i].domain;
  if (IsIsolated(domain)) return false;
  const auto ended = isolated_until.find(domain);
  return ended == isolated_until.end() ||
         queue.Now() - ended->second >= kCatchUpBound;
}

duration site_state::DelayBetween(failure_domain_id a,
                                  failure_domain_id b) const {
  return a == b ? kWithinDomain : deployed.between_domains;
}

void site_state::Record(history_event event) {
  event.when = queue.Now();
  if (settings.trace && event.kind != history_kind::kPacketDelivered &&
      event.kind != history_kind::kConfigChecked) {
    Trace(std::string(NameOf(event.kind)) + " number=" +
          std::to_string(event.number) + " request=" + event.request +
          " server=" + NameOfServer(event.server) +
          " result=" + std::string(NameOf(event.result)));
  }
  events.push_back(std::move(event));
}

history_event site_state::ServerEvent(history_kind kind, size_t s) const {
  history_event event;
  event.kind = kind;
  event.server = servers[s].Config().id;
  event.domain = servers[s].Config().failure_domain;
  return event;
}

void site_state::NoteServer(history_kind kind, size_t s) {
  Record(ServerEvent(kind, s));
}

void site_state::Trace(const std::string& line) const {
  if (!settings.trace) return;
  char stamp[32];
  std::snprintf(stamp, sizeof(stamp), "%10.6f ",
                ToSeconds(queue.Now().time_since_epoch()));
  settings.trace(stamp + line);
}

std::string site_state::NameOfServer(backend_server_id id) const {
  const auto found = facts.servers.find(id);
  return found == facts.servers.end() ? "" : found->second.name;
}

size_t site_state::InstanceIndex(const std::string& name) const {
  for (size_t i = 0; i < instances.size(); ++i) {
    if (instances[i].settings.name == name) return i;
  }
  return instances.size();
}

size_t site_state::ServerIndex(const std::string& name) const {
  for (size_t s = 0; s < servers.size(); ++s) {
    if (NameOfServer(servers[s].Config().id) == name) return s;
  }
  return servers.size();
}

}  // namespace poplarstair
