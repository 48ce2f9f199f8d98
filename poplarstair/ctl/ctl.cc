#include "poplarstair/ctl/ctl.h"

#include <unistd.h>

#include <cstdio>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <thread>
#include <vector>

#include "poplarstair/balancer/instance_list.h"
#include "poplarstair/config/config_publisher.h"
#include "poplarstair/core/file.h"
#include "poplarstair/ctl/command_line.h"
#include "poplarstair/object_store/platform_http.h"

namespace poplarstair {

namespace {

constexpr duration kStateTimeout = std::chrono::seconds(1);
constexpr auto kPollInterval = std::chrono::milliseconds(100);

/// What one instance says of itself; nothing in force if it was not heard.
struct instance_report {
  std::string name;
  bool heard = false;
  generation in_force = 0;
  nlohmann::json state;
};

config_source ReadSource(const std::string& file) {
  return {file, ReadFile(file)};
}

platform_caller CallerTo(const ctl_options& options) {
  const endpoint platform = endpoint::Parse(options.platform);
  return [platform](const platform_request& request) {
    return CallPlatform(request, platform);
  };
}

std::string NewEditId() {
  std::random_device entropy;
  char text[33];
  std::snprintf(text, sizeof(text), "%08x%08x%08x%08x", entropy(), entropy(),
                entropy(), entropy());
  return text;
}

instance_report ReadReport(const std::string& name,
                           const std::string& admin_address) {
  instance_report report;
  report.name = name;
  http_call call;
  call.url = "http://" + admin_address + "/state";
  call.timeout = kStateTimeout;
  const std::optional<http_reply> reply = CallHttp(call);
  if (!reply || reply->status != 200) return report;
  report.state = nlohmann::json::parse(reply->body, nullptr, false);
  if (report.state.is_discarded()) return report;
  report.heard = true;
  report.in_force =
      report.state.at("configuration").value("generation", generation{0});
  return report;
}

std::vector<instance_report> ReadReports(const platform_caller& call_platform) {
  const platform_reply reply = call_platform(
      {0, platform_operation::kGet, std::string(kInstancesKey), 0, ""});
  if (reply.status != platform_status::kOk) {
    throw platform_unavailable("reading the list of instances");
  }
  std::vector<instance_report> reports;
  for (const auto& entry : nlohmann::json::parse(reply.body)) {
    reports.push_back(ReadReport(entry.at("name").get<std::string>(),
                                 entry.value("admin_address", std::string())));
  }
  return reports;
}

size_t CountInForce(const std::vector<instance_report>& reports,
                    generation wanted) {
  size_t count = 0;
  for (const instance_report& report : reports) {
    if (report.heard && report.in_force >= wanted) ++count;
  }
  return count;
}

void PrintMissing(const std::vector<instance_report>& reports,
                  generation wanted) {
  for (const instance_report& report : reports) {
    if (report.heard && report.in_force >= wanted) continue;
    std::printf("  %s: %s\n", report.name.c_str(),
                report.heard
                    ? ("generation " + std::to_string(report.in_force)).c_str()
                    : "not heard");
  }
}

}  // namespace

int RunCheck(const ctl_options& options) {
  const effective_config config =
      LoadConfig(ReadSource(options.base_file),
                 ReadSource(options.overlay_file), options.site);
  size_t servers = 0;
  for (const service_config& service : config.services) {
    servers += service.backend_servers.size();
  }
  std::printf("ok: %zu services, %zu backend servers, %zu failure domains\n",
              config.services.size(), servers, config.failure_domains.size());
  return kExitSuccess;
}

int RunApply(const ctl_options& options) {
  const platform_caller call_platform = CallerTo(options);
  const char* user = getlogin();
  const edit_request edit{options.site,
                          ReadSource(options.base_file),
                          ReadSource(options.overlay_file),
                          NewEditId(),
                          user == nullptr ? "unknown" : user,
                          options.based_on};
  const generation number = PublishEdit(edit, call_platform);
  std::printf("accepted: generation %llu, edit %s\n",
              static_cast<unsigned long long>(number), edit.edit_id.c_str());

  const auto start = std::chrono::steady_clock::now();
  std::vector<instance_report> reports = ReadReports(call_platform);
  while (CountInForce(reports, number) < reports.size() &&
         std::chrono::steady_clock::now() - start < options.wait) {
    std::this_thread::sleep_for(kPollInterval);
    reports = ReadReports(call_platform);
  }
  const size_t in_force = CountInForce(reports, number);
  std::printf("in force on %zu of %zu instances\n", in_force, reports.size());
  PrintMissing(reports, number);
  return in_force == reports.size() ? kExitSuccess : kExitFailure;
}

int RunStatus(const ctl_options& options) {
  const platform_caller call_platform = CallerTo(options);
  const config_head head = ReadHead(call_platform);
  const std::vector<instance_report> reports = ReadReports(call_platform);
  if (options.json) {
    nlohmann::json json = {{"generation", head.number},
                           {"instances", nlohmann::json::array()}};
    for (const instance_report& report : reports) {
      json["instances"].push_back({{"name", report.name},
                                   {"heard", report.heard},
                                   {"generation", report.in_force},
                                   {"state", report.state}});
    }
    std::printf("%s\n", json.dump(2).c_str());
    return kExitSuccess;
  }
  std::printf("accepted generation: %llu\n",
              static_cast<unsigned long long>(head.number));
  std::printf("%-20s %-10s %10s %10s\n", "INSTANCE", "HEARD", "GENERATION",
              "FLOWS");
  for (const instance_report& report : reports) {
    const uint64_t flows =
        report.heard ? report.state.at("flows").value("flows", 0) : 0;
    std::printf("%-20s %-10s %10llu %10llu\n", report.name.c_str(),
                report.heard ? "yes" : "no",
                static_cast<unsigned long long>(report.in_force),
                static_cast<unsigned long long>(flows));
  }
  return kExitSuccess;
}

}  // namespace poplarstair
