#include "poplarstair/daemon/entry_daemon_settings.h"

#include "poplarstair/config/toml_reader.h"

namespace poplarstair {

namespace {

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
                                               const std::string& file) {
  const toml::table table = ParseToml(text, file);
  std::vector<config_problem> problems;
  toml_reader root(table, "", problems);
  entry_daemon_settings settings;
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
  root.RejectUnknownKeys();
  if (!problems.empty()) throw config_error(std::move(problems));
  return settings;
}

}  // namespace poplarstair
