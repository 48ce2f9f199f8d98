#include "poplarstair/daemon/entry_daemon_settings.h"

#include "poplarstair/config/toml_reader.h"

namespace poplarstair {

namespace {

/// Time in which a change is in force: long enough for the calls that fetch it.
duration ReadTimeInForce(toml_reader& reader, std::string_view key,
                         duration fallback) {
  return reader.Duration(key, fallback, std::chrono::milliseconds(2500),
                         std::chrono::hours(1));
}

void ReadPromises(toml_reader& reader, service_promises& promises) {
  constexpr double kMostFlows = 1e6;
  promises.routes_in_force =
      ReadTimeInForce(reader, "routes_in_force", promises.routes_in_force);
  promises.leaving_servers_in_force = ReadTimeInForce(
      reader, "leaving_servers_in_force", promises.leaving_servers_in_force);
  promises.withdrawals_in_force = ReadTimeInForce(
      reader, "withdrawals_in_force", promises.withdrawals_in_force);
  promises.cold_flow_factor = reader.Number(
      "cold_flow_factor", promises.cold_flow_factor, 0, kMostFlows);
  promises.cold_flow_slack =
      reader.Number("cold_flow_slack", promises.cold_flow_slack, 1, kMostFlows);
  promises.longest_flow =
      reader.Duration("longest_flow", promises.longest_flow,
                      std::chrono::milliseconds(1), std::chrono::hours(24));
}

void ReadAdmission(toml_reader& reader, admission_settings& admission) {
  constexpr double kMostRequests = 1000;
  admission.is_enabled = reader.Bool("enabled", admission.is_enabled);
  admission.requests_per_slot = reader.Number(
      "requests_per_slot", admission.requests_per_slot, 1, kMostRequests);
}

/// Reads a table that has to be there.
template <typename Read>
void ReadTable(toml_reader& root, std::string_view name,
               std::vector<config_problem>& problems, Read read) {
  const toml::table* table = root.Table(name);
  if (table == nullptr) {
    root.Report(config_fault::kMissingKey, name, "this table is required");
    return;
  }
  toml_reader reader(*table, std::string(name), problems);
  read(reader);
  reader.RejectUnknownKeys();
}

}  // namespace

bool IsEntryDaemonSettings(const std::string& text, const std::string& file) {
  const toml::table table = ParseToml(text, file);
  return table["instance"]["steering"].value_or(std::string()) == "cookie";
}

entry_daemon_settings ParseEntryDaemonSettings(const std::string& text,
                                               const std::string& file,
                                               const platform_facts& platform) {
  const toml::table table = ParseToml(text, file);
  std::vector<config_problem> problems;
  toml_reader root(table, "", problems);
  entry_daemon_settings settings;
  settings.promises = platform.promises;
  ReadTable(root, "instance", problems, [&](toml_reader& reader) {
    reader.RequiredString("steering");
    settings.name = reader.RequiredString("name");
    settings.failure_domain = reader.RequiredString("failure_domain");
  });
  ReadTable(root, "listen", problems, [&](toml_reader& reader) {
    settings.packets = reader.RequiredEndpoint("packets");
    settings.ready = reader.RequiredEndpoint("ready");
    settings.control = reader.RequiredEndpoint("control");
    settings.digests = reader.RequiredEndpoint("digests");
    settings.metrics = reader.RequiredEndpoint("metrics");
  });
  ReadTable(root, "store", problems, [&](toml_reader& reader) {
    settings.store = reader.RequiredEndpoint("address");
    const duration interval = reader.Duration(
        "server_report_interval", platform.server_report_interval,
        std::chrono::milliseconds(1), std::chrono::hours(1));
    settings.silent_entry_time = 3 * interval;
  });
  ReadTable(root, "peers", problems, [&](toml_reader& reader) {
    settings.seeds = reader.Endpoints("seeds");
    settings.is_first_start = reader.Bool("first_start", false);
  });
  if (root.Table("stop") != nullptr) {
    ReadTable(root, "stop", problems, [&](toml_reader& reader) {
      settings.leave_time =
          reader.Duration("leave_time", settings.leave_time, duration::zero(),
                          std::chrono::hours(1));
    });
  }
  if (root.Table("promises") != nullptr) {
    ReadTable(root, "promises", problems, [&](toml_reader& reader) {
      ReadPromises(reader, settings.promises);
    });
  }
  if (root.Table("admission") != nullptr) {
    ReadTable(root, "admission", problems, [&](toml_reader& reader) {
      ReadAdmission(reader, settings.admission);
    });
  }
  root.RejectUnknownKeys();
  if (!problems.empty()) throw config_error(std::move(problems));
  return settings;
}

}  // namespace poplarstair
