#include "poplarstair/daemon/daemon_settings.h"

#include "poplarstair/config/toml_reader.h"
#include "poplarstair/core/file.h"

namespace poplarstair {

namespace {

using problem_list = std::vector<config_problem>;

/// Reads one table with `read`; a missing table is a problem if required.
template <typename Read>
void ReadTable(toml_reader& root, std::string_view name, bool required,
               problem_list& problems, Read read) {
  const toml::table* table = root.Table(name);
  if (table == nullptr) {
    if (required) {
      root.Report(config_fault::kMissingKey, name, "this table is required");
    }
    return;
  }
  toml_reader reader(*table, std::string(name), problems);
  read(reader);
  reader.RejectUnknownKeys();
}

void ReadSeeds(toml_reader& root, problem_list& problems,
               daemon_settings& settings) {
  const toml::table* seeds = root.Table("seeds");
  if (seeds == nullptr) return;
  for (const auto& [key, node] : *seeds) {
    const std::string name(key.str());
    toml_reader names(*seeds, "seeds", problems);
    const toml::table* entry = names.Table(name);
    if (entry == nullptr) continue;
    toml_reader reader(*entry, "seeds." + name, problems);
    instance_address seed;
    seed.id = IdFromName<instance_id>(name);
    seed.name = name;
    seed.failure_domain =
        IdFromName<failure_domain_id>(reader.RequiredString("failure_domain"));
    seed.peer_address = reader.RequiredEndpoint("peer_address");
    seed.hand_on_address = reader.RequiredEndpoint("hand_on_address");
    reader.RejectUnknownKeys();
    settings.seeds.push_back(std::move(seed));
  }
}

}  // namespace

instance_address daemon_settings::Address() const {
  return {IdFromName<instance_id>(name), name,
          IdFromName<failure_domain_id>(failure_domain), peers,
          forwarded_packets};
}

bool SameButForLog(const daemon_settings& a, const daemon_settings& b) {
  return a.name == b.name && a.failure_domain == b.failure_domain &&
         a.site == b.site && a.packets == b.packets &&
         a.forwarded_packets == b.forwarded_packets && a.peers == b.peers &&
         a.requests == b.requests && a.admin == b.admin &&
         a.platform == b.platform && a.seeds == b.seeds && a.stop == b.stop;
}

daemon_settings ParseDaemonSettings(const std::string& text,
                                    const std::string& file) {
  const toml::table table = ParseToml(text, file);
  problem_list problems;
  toml_reader root(table, "", problems);
  daemon_settings settings;
  ReadTable(root, "instance", true, problems, [&](toml_reader& reader) {
    settings.name = reader.RequiredString("name");
    settings.failure_domain = reader.RequiredString("failure_domain");
    settings.site = reader.RequiredString("site");
  });
  ReadTable(root, "listen", true, problems, [&](toml_reader& reader) {
    settings.packets = reader.RequiredEndpoint("packets");
    settings.forwarded_packets = reader.RequiredEndpoint("hand_on");
    settings.peers = reader.RequiredEndpoint("peers");
    settings.requests = reader.RequiredEndpoint("requests");
    settings.admin = reader.RequiredEndpoint("admin");
  });
  ReadTable(root, "platform", true, problems, [&](toml_reader& reader) {
    settings.platform = reader.RequiredEndpoint("address");
  });
  ReadTable(root, "log", false, problems, [&](toml_reader& reader) {
    settings.log.level = reader.Choice("level", log_level::kInfo);
    settings.log.file = reader.String("file", "");
  });
  ReadTable(root, "stop", false, problems, [&](toml_reader& reader) {
    using std::chrono::hours;
    const duration none = duration::zero();
    stop_settings& stop = settings.stop;
    stop.leave_time =
        reader.Duration("leave_time", stop.leave_time, none, hours(1));
    stop.limit = reader.Duration("limit", stop.limit, none, hours(1));
  });
  ReadSeeds(root, problems, settings);
  root.RejectUnknownKeys();
  if (!problems.empty()) throw config_error(std::move(problems));
  return settings;
}

daemon_settings ReadDaemonSettings(const std::string& file) {
  return ParseDaemonSettings(ReadFile(file), file);
}

}  // namespace poplarstair
