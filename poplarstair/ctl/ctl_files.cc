#include <cerrno>
#include <cstdio>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>

#include "poplarstair/config/config_merge.h"
#include "poplarstair/config/config_publisher.h"
#include "poplarstair/core/file.h"
#include "poplarstair/core/flow_key.h"
#include "poplarstair/ctl/command_line.h"
#include "poplarstair/ctl/ctl.h"
#include "poplarstair/object_store/platform_http.h"

namespace poplarstair {

namespace {

platform_caller CallerTo(const ctl_options& options) {
  const endpoint platform = endpoint::Parse(options.platform);
  return [platform](const platform_request& request) {
    return CallPlatform(request, platform);
  };
}

config_source ReadSource(const std::string& file) {
  return {file, ReadFile(file)};
}

void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream file(path, std::ios::binary);
  file << text;
  if (!file.flush()) throw system_failure("write " + path, errno);
}

site_files ReadAccepted(const ctl_options& options) {
  site_files files = ReadFiles(options.site, CallerTo(options));
  if (files.number == 0) throw nothing_accepted(options.site);
  return files;
}

struct source_pair {
  config_source base;
  config_source overlay;
};

/// The files of the command line, or the accepted ones if it names none.
source_pair ChooseSources(const ctl_options& options) {
  if (!options.base_file.empty()) {
    return {ReadSource(options.base_file), ReadSource(options.overlay_file)};
  }
  const site_files accepted = ReadAccepted(options);
  return {{"base", accepted.base}, {"overlay", accepted.overlay}};
}

std::map<std::string, std::string> ValuesOf(const config_source& base,
                                            const config_source& overlay) {
  std::map<std::string, std::string> values;
  for (const config_value& value : RenderConfig(base, overlay)) {
    values[value.key] = value.value;
  }
  return values;
}

/// Values that differ: key, before, after; empty where there is none.
struct value_change {
  std::string key;
  std::string before;
  std::string after;
};

std::vector<value_change> Compare(
    const std::map<std::string, std::string>& before,
    const std::map<std::string, std::string>& after) {
  std::vector<value_change> changes;
  for (const auto& [key, value] : before) {
    const auto it = after.find(key);
    const std::string now = it == after.end() ? "" : it->second;
    if (now != value) changes.push_back({key, value, now});
  }
  for (const auto& [key, value] : after) {
    if (!before.contains(key)) changes.push_back({key, "", value});
  }
  return changes;
}

/// What the configuration alone says of a flow to `address`.
const service_config* FindOwner(const effective_config& config,
                                const endpoint& address,
                                transport_protocol protocol) {
  for (const service_config& service : config.services) {
    if (service.protocol != protocol) continue;
    for (const endpoint& own : service.addresses) {
      if (own == address) return &service;
    }
  }
  return nullptr;
}

std::string StandingOf(const effective_config& config,
                       const backend_server_config& server) {
  if (!MayReceive(config, server)) return "domain taken out";
  if (TakesNewWork(config, server)) return "takes new flows";
  return "keeps its flows only";
}

}  // namespace

int RunFetch(const ctl_options& options) {
  const site_files files = ReadAccepted(options);
  WriteFile(options.base_file, files.base);
  WriteFile(options.overlay_file, files.overlay);
  std::printf("generation %llu; apply with --based_on=%llu\n",
              static_cast<unsigned long long>(files.number),
              static_cast<unsigned long long>(files.number));
  return kExitSuccess;
}

int RunRender(const ctl_options& options) {
  const source_pair sources = ChooseSources(options);
  LoadConfig(sources.base, sources.overlay, options.site);
  const auto values = RenderConfig(sources.base, sources.overlay);
  if (options.json) {
    auto json = nlohmann::json::array();
    for (const config_value& value : values) {
      json.push_back({{"key", value.key},
                      {"value", value.value},
                      {"file", value.file},
                      {"line", value.line}});
    }
    std::printf("%s\n", json.dump(2).c_str());
    return kExitSuccess;
  }
  for (const config_value& value : values) {
    std::printf("%-60s %s  # %s:%u\n", (value.key + " =").c_str(),
                value.value.c_str(), value.file.c_str(), value.line);
  }
  return kExitSuccess;
}

int RunDiff(const ctl_options& options) {
  const site_files accepted = ReadAccepted(options);
  const auto before =
      ValuesOf({"base", accepted.base}, {"overlay", accepted.overlay});
  const auto after =
      ValuesOf(ReadSource(options.base_file), ReadSource(options.overlay_file));
  const std::vector<value_change> changes = Compare(before, after);
  if (options.json) {
    auto json = nlohmann::json::array();
    for (const value_change& change : changes) {
      json.push_back({{"key", change.key},
                      {"before", change.before},
                      {"after", change.after}});
    }
    std::printf("%s\n", json.dump(2).c_str());
    return kExitSuccess;
  }
  std::printf("against generation %llu: %zu values differ\n",
              static_cast<unsigned long long>(accepted.number), changes.size());
  for (const value_change& change : changes) {
    if (!change.before.empty()) {
      std::printf("- %s = %s\n", change.key.c_str(), change.before.c_str());
    }
    if (!change.after.empty()) {
      std::printf("+ %s = %s\n", change.key.c_str(), change.after.c_str());
    }
  }
  return kExitSuccess;
}

int RunHistory(const ctl_options& options) {
  const config_head head = ReadHead(CallerTo(options));
  if (options.json) {
    auto json = nlohmann::json::array();
    for (const config_edit& edit : head.history) {
      json.push_back({{"generation", edit.number},
                      {"edit_id", edit.edit_id},
                      {"author", edit.author},
                      {"subject", edit.subject}});
    }
    std::printf("%s\n", json.dump(2).c_str());
    return kExitSuccess;
  }
  std::printf("%10s  %-34s %-16s %s\n", "GENERATION", "EDIT", "AUTHOR",
              "SUBJECT");
  for (const config_edit& edit : head.history) {
    std::printf("%10llu  %-34s %-16s %s\n",
                static_cast<unsigned long long>(edit.number),
                edit.edit_id.c_str(), edit.author.c_str(),
                edit.subject.c_str());
  }
  return kExitSuccess;
}

int RunExplain(const ctl_options& options) {
  const source_pair sources = ChooseSources(options);
  const effective_config config =
      LoadConfig(sources.base, sources.overlay, options.site);
  const flow_key flow{endpoint::Parse(options.caller),
                      endpoint::Parse(options.address),
                      options.is_udp ? kProtocolUdp : kProtocolTcp};
  const auto protocol =
      options.is_udp ? transport_protocol::kUdp : transport_protocol::kTcp;
  const service_config* service = FindOwner(config, flow.service, protocol);
  if (service == nullptr) {
    std::printf("no service has %s address %s: packets are dropped\n",
                NameOf(protocol).data(), options.address.c_str());
    return kExitFailure;
  }
  nlohmann::json json = {{"service", service->name},
                         {"flow", HashFlow(flow)},
                         {"backend_servers", nlohmann::json::array()}};
  for (const backend_server_config& server : service->backend_servers) {
    json["backend_servers"].push_back(
        {{"name", server.name},
         {"weight", server.weight},
         {"standing", StandingOf(config, server)}});
  }
  if (options.json) {
    std::printf("%s\n", json.dump(2).c_str());
    return kExitSuccess;
  }
  std::printf(
      "service %s; which backend server holds the flow is up to the placement "
      "in force and to earlier flows:\n",
      service->name.c_str());
  for (const auto& server : json["backend_servers"]) {
    std::printf("  %-20s weight %-6g %s\n",
                server["name"].get<std::string>().c_str(),
                server["weight"].get<double>(),
                server["standing"].get<std::string>().c_str());
  }
  return kExitSuccess;
}

}  // namespace poplarstair
