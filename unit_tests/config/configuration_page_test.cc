// Checks docs/CONFIGURATION.md against the loader.
#include <criterion/criterion.h>

#include <map>
#include <regex>
#include <sstream>
#include <string>
#include <vector>

#include "poplarstair/config/config_error.h"
#include "poplarstair/config/config_loader.h"
#include "poplarstair/core/file.h"

using namespace poplarstair;

namespace {

struct documented_key {
  std::string kind;
  std::string range;
  std::string fallback;
};

std::string Trimmed(const std::string& text) {
  const size_t first = text.find_first_not_of(" `");
  if (first == std::string::npos) return "";
  return text.substr(first, text.find_last_not_of(" `") - first + 1);
}

/// Reads the page's table of keys, by key.
std::map<std::string, documented_key> ReadPage() {
  std::istringstream page(
      ReadFile(std::string(SOURCE_FOLDER) + "/docs/CONFIGURATION.md"));
  std::map<std::string, documented_key> keys;
  for (std::string line; std::getline(page, line);) {
    std::vector<std::string> cells;
    std::istringstream row(line);
    for (std::string cell; std::getline(row, cell, '|');) {
      cells.push_back(Trimmed(cell));
    }
    if (cells.size() != 6 || cells[1] == "key" || cells[1] == "---") continue;
    keys[cells[1]] = {cells[2], cells[4], cells[5]};
  }
  return keys;
}

using value_map = std::map<std::string, std::string>;

/// Returns a minimal base with `key` set to `value`, or without `key` if
/// `value` is empty.
std::string BaseWith(const std::string& key, const std::string& value) {
  const std::string server = "services.s.backend_servers.b.";
  value_map values = {
      {"format", "1"},
      {"failure_domains.d.in_service", "true"},
      {"services.s.addresses", "[\"10.0.0.1:443\"]"},
      {server + "failure_domain", "\"d\""},
      {server + "address", "\"127.0.0.1:7001\""},
      {server + "request_address", "\"127.0.0.1:7002\""},
      // Keeps the service usable when b's weight is 0.
      {"services.s.backend_servers.c.failure_domain", "\"d\""},
      {"services.s.backend_servers.c.address", "\"127.0.0.2:7001\""},
      {"services.s.backend_servers.c.request_address", "\"127.0.0.2:7002\""}};
  if (value.empty()) {
    values.erase(key);
    // The failure domain must exist even without its only key.
    if (key.starts_with("failure_domains.")) values["failure_domains.d"] = "{}";
  } else {
    values[key] = value;
  }
  std::string text;
  for (const auto& [name, written] : values) {
    text.append(name).append(" = ").append(written).append("\n");
  }
  return text;
}

bool IsAccepted(const std::string& key, const std::string& value) {
  try {
    LoadConfig({"base", BaseWith(key, value)}, {"overlay", ""}, "site");
    return true;
  } catch (const config_error&) {
    return false;
  }
}

std::string Concrete(const std::string& key) {
  std::string made =
      std::regex_replace(key, std::regex("^services.NAME"), "services.s");
  made = std::regex_replace(made, std::regex("backend_servers.NAME"),
                            "backend_servers.b");
  return std::regex_replace(made, std::regex("domains.NAME"), "domains.d");
}

std::string Written(const documented_key& key, const std::string& value) {
  const bool is_text = key.kind == "duration" || key.kind == "string";
  return is_text ? "\"" + value + "\"" : value;
}

/// Returns the bound `value` moved by `step`, in the same unit.
std::string Beyond(const std::string& value, int step) {
  size_t digits = 0;
  const int64_t number = std::stoll(value, &digits);
  return std::to_string(number + step) + value.substr(digits);
}

/// Returns the defaults that the loader applies to a minimal base, by key.
value_map Defaults() {
  const effective_config config =
      LoadConfig({"base", BaseWith("", "")}, {"overlay", ""}, "site");
  const service_config& service = config.services.front();
  const backend_server_config& server = service.backend_servers.front();
  const limits_config& limits = config.limits;
  const auto seconds = [](duration d) {
    return std::to_string(
        std::chrono::duration_cast<std::chrono::seconds>(d).count());
  };
  const std::string prefix = "services.NAME.backend_servers.NAME.";
  return {{"services.NAME.protocol", std::string(NameOf(service.protocol))},
          {prefix + "weight", std::to_string(static_cast<int>(server.weight))},
          {prefix + "slots", std::to_string(server.slots)},
          {prefix + "connections", std::to_string(server.connections)},
          {prefix + "state", std::string(NameOf(server.state))},
          {"limits.max_flows", std::to_string(limits.max_flows)},
          {"limits.flow_idle_timeout",
           std::to_string(std::stoi(seconds(limits.flow_idle_timeout)) / 3600) +
               "h"},
          {"limits.max_queued_requests",
           std::to_string(limits.max_queued_requests)},
          {"limits.default_deadline", seconds(limits.default_deadline) + "s"},
          {"limits.slow_start", seconds(limits.slow_start) + "s"},
          {"failure_domains.NAME.in_service",
           failure_domain_config().in_service ? "true" : "false"}};
}

}  // namespace

Test(configuration_page, documents_exactly_the_keys_that_the_loader_reads) {
  const auto page = ReadPage();
  // A key is required on the page exactly if the loader rejects a base without
  // it.
  for (const auto& [key, entry] : page) {
    if (key == "remove") continue;
    const bool required = entry.fallback == "required";
    cr_expect_eq(IsAccepted(Concrete(key), ""), !required, "%s", key.c_str());
    if (entry.kind == "integer" && key != "format") {
      cr_expect(!IsAccepted(Concrete(key), "\"text\""), "%s", key.c_str());
    }
  }
  size_t read_by_loader = 0;
  const std::string source = ReadFile(std::string(SOURCE_FOLDER) +
                                      "/poplarstair/config/config_loader.cc");
  const std::regex call(
      "\\.(String|RequiredString|Bool|Integer|Number|Duration|Choice|"
      "RequiredEndpoints?)\\(\\s*\"(\\w+)\"");
  for (std::sregex_iterator it(source.begin(), source.end(), call), end;
       it != end; ++it) {
    const std::string name = (*it)[2];
    bool is_documented = false;
    for (const auto& [key, entry] : page) {
      is_documented |= key == name || key.ends_with("." + name);
    }
    cr_expect(is_documented, "%s is not on the page", name.c_str());
    ++read_by_loader;
  }
  // The key "remove" is read by config_merge.cc, not by the loader.
  cr_expect_eq(read_by_loader + 1, page.size());
}

Test(configuration_page, documented_ranges_match_the_loader) {
  const std::regex bounds("(.+)\\.\\.(.+)");
  int checked = 0;
  for (const auto& [key, entry] : ReadPage()) {
    std::smatch match;
    if (!std::regex_match(entry.range, match, bounds)) continue;
    const std::string name = Concrete(key);
    const std::string lowest = match[1];
    const std::string highest = match[2];
    cr_expect(IsAccepted(name, Written(entry, lowest)), "%s", key.c_str());
    cr_expect(IsAccepted(name, Written(entry, highest)), "%s", key.c_str());
    cr_expect(!IsAccepted(name, Written(entry, Beyond(lowest, -1))), "%s",
              key.c_str());
    cr_expect(!IsAccepted(name, Written(entry, Beyond(highest, 1))), "%s",
              key.c_str());
    ++checked;
  }
  cr_expect_eq(checked, 8);
}

Test(configuration_page, documented_defaults_match_the_loader) {
  const auto page = ReadPage();
  for (const auto& [key, value] : Defaults()) {
    cr_expect_eq(page.at(key).fallback, value, "%s", key.c_str());
  }
}
