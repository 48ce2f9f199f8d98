#include "poplarstair/config/config_loader.h"

#include <algorithm>
#include <map>

#include "poplarstair/config/config_merge.h"
#include "poplarstair/config/toml_reader.h"

namespace poplarstair {

namespace {

using problem_list = std::vector<config_problem>;

constexpr int64_t kMaxFlows = 16'000'000;
constexpr int64_t kMaxQueuedRequests = 1'000'000;
constexpr int64_t kMaxSlots = 10'000;
constexpr int64_t kMaxConnections = 10'000'000;
constexpr double kMaxWeight = 1000.0;

std::vector<failure_domain_config> ReadDomains(toml_reader& root,
                                               problem_list& problems) {
  std::vector<failure_domain_config> domains;
  const toml::table* table = root.Table("failure_domains");
  if (table == nullptr) return domains;
  for (const auto& [key, node] : *table) {
    const std::string name(key.str());
    toml_reader names(*table, "failure_domains", problems);
    const toml::table* entry = names.Table(name);
    if (entry == nullptr) continue;
    toml_reader reader(*entry, "failure_domains." + name, problems);
    failure_domain_config domain;
    domain.id = IdFromName<failure_domain_id>(name);
    domain.name = name;
    domain.in_service = reader.Bool("in_service", true);
    reader.RejectUnknownKeys();
    domains.push_back(std::move(domain));
  }
  return domains;
}

backend_server_config ReadServer(
    toml_reader& reader, const std::string& service, const std::string& name,
    const std::vector<failure_domain_config>& domains) {
  backend_server_config server;
  server.id = IdFromName<backend_server_id>(service + "/" + name);
  server.name = name;
  server.address = reader.RequiredEndpoint("address");
  server.request_address = reader.RequiredEndpoint("request_address");
  server.weight = reader.Number("weight", 1.0, 0.0, kMaxWeight);
  server.slots =
      static_cast<uint32_t>(reader.Integer("slots", 1, 1, kMaxSlots));
  server.connections = static_cast<uint32_t>(
      reader.Integer("connections", 1, 1, kMaxConnections));
  server.state = reader.Choice("state", backend_server_state::kActive);

  const std::string domain = reader.RequiredString("failure_domain");
  server.failure_domain = IdFromName<failure_domain_id>(domain);
  std::vector<std::string> known;
  known.reserve(domains.size());
  for (const failure_domain_config& d : domains) known.push_back(d.name);
  if (!domain.empty() &&
      std::find(known.begin(), known.end(), domain) == known.end()) {
    const std::string nearest = NearestName(domain, known);
    reader.Report(config_fault::kUnknownName, "failure_domain",
                  nearest.empty() ? "no failure domain has this name"
                                  : "did you mean \"" + nearest + "\"?");
  }
  reader.RejectUnknownKeys();
  return server;
}

service_config ReadService(toml_reader& reader, const std::string& name,
                           const std::vector<failure_domain_config>& domains,
                           problem_list& problems) {
  service_config service;
  service.id = IdFromName<service_id>(name);
  service.name = name;
  service.protocol = reader.Choice("protocol", transport_protocol::kTcp);
  service.addresses = reader.RequiredEndpoints("addresses");
  const toml::table* servers = reader.Table("backend_servers");
  reader.RejectUnknownKeys();
  if (servers == nullptr || servers->empty()) {
    reader.Report(config_fault::kNothingUsable, "backend_servers",
                  "a service needs at least one backend server");
    return service;
  }
  for (const auto& [key, node] : *servers) {
    const std::string server_name(key.str());
    toml_reader names(*servers, reader.Path() + ".backend_servers", problems);
    const toml::table* entry = names.Table(server_name);
    if (entry == nullptr) continue;
    toml_reader server_reader(
        *entry, reader.Path() + ".backend_servers." + server_name, problems);
    service.backend_servers.push_back(
        ReadServer(server_reader, name, server_name, domains));
  }
  const bool any_weight = std::any_of(
      service.backend_servers.begin(), service.backend_servers.end(),
      [](const auto& server) { return server.weight > 0; });
  if (!any_weight) {
    reader.Report(config_fault::kNothingUsable, "backend_servers",
                  "every backend server has weight 0");
  }
  return service;
}

std::vector<service_config> ReadServices(
    toml_reader& root, const std::vector<failure_domain_config>& domains,
    problem_list& problems) {
  std::vector<service_config> services;
  const toml::table* table = root.Table("services");
  if (table == nullptr) return services;
  for (const auto& [key, node] : *table) {
    const std::string name(key.str());
    toml_reader names(*table, "services", problems);
    const toml::table* entry = names.Table(name);
    if (entry == nullptr) continue;
    toml_reader reader(*entry, "services." + name, problems);
    services.push_back(ReadService(reader, name, domains, problems));
  }
  return services;
}

limits_config ReadLimits(toml_reader& root, problem_list& problems) {
  limits_config limits;
  const toml::table* table = root.Table("limits");
  if (table == nullptr) return limits;
  using std::chrono::hours;
  using std::chrono::milliseconds;
  toml_reader reader(*table, "limits", problems);
  limits.max_flows = static_cast<uint32_t>(
      reader.Integer("max_flows", limits.max_flows, 1, kMaxFlows));
  limits.flow_idle_timeout =
      reader.Duration("flow_idle_timeout", limits.flow_idle_timeout,
                      std::chrono::seconds(1), hours(48));
  limits.max_queued_requests = static_cast<uint32_t>(
      reader.Integer("max_queued_requests", limits.max_queued_requests, 0,
                     kMaxQueuedRequests));
  limits.default_deadline = reader.Duration(
      "default_deadline", limits.default_deadline, milliseconds(1), hours(1));
  limits.slow_start = reader.Duration("slow_start", limits.slow_start,
                                      milliseconds(0), hours(1));
  reader.RejectUnknownKeys();
  return limits;
}

/// Reports each address that more than one service or backend server uses.
void CheckAddresses(const toml::table& root,
                    const std::vector<service_config>& services,
                    problem_list& problems) {
  std::map<endpoint, std::string> owners;
  const auto claim = [&](const endpoint& address, const std::string& owner,
                         const toml::node* node) {
    const auto [it, is_new] = owners.emplace(address, owner);
    if (is_new || it->second == owner || node == nullptr) return;
    const auto& source = node->source();
    problems.push_back({config_fault::kDuplicate,
                        source.path ? *source.path : std::string("(text)"),
                        source.begin.line, owner, address.ToString(),
                        "already used by " + it->second});
  };
  for (const service_config& service : services) {
    const std::string path = "services." + service.name;
    const toml::table& table = *root["services"][service.name].as_table();
    const toml::array* addresses = table["addresses"].as_array();
    for (size_t i = 0; i < service.addresses.size(); ++i) {
      claim(service.addresses[i], path, addresses->get(i));
    }
    for (const backend_server_config& server : service.backend_servers) {
      const std::string server_path = path + ".backend_servers." + server.name;
      const toml::node* node =
          table["backend_servers"][server.name]["address"].node();
      claim(server.address, server_path, node);
    }
  }
}

void CheckFormat(toml_reader& root) {
  constexpr int64_t kAnyFormat = 1'000'000;
  const int64_t format = root.Integer("format", 0, 0, kAnyFormat);
  if (format != kConfigFormat) {
    root.Report(config_fault::kUnsupportedFormat, "format",
                "this program reads format " + std::to_string(kConfigFormat));
  }
}

}  // namespace

effective_config LoadConfig(const config_source& base,
                            const config_source& overlay,
                            const std::string& site) {
  problem_list problems;
  const toml::table merged = MergeSources(base, overlay, problems);

  toml_reader root(merged, "", problems);
  effective_config config;
  config.site = site;
  CheckFormat(root);
  config.failure_domains = ReadDomains(root, problems);
  config.services = ReadServices(root, config.failure_domains, problems);
  config.limits = ReadLimits(root, problems);
  root.RejectUnknownKeys();
  CheckAddresses(merged, config.services, problems);
  if (!problems.empty()) throw config_error(std::move(problems));
  return config;
}

}  // namespace poplarstair
