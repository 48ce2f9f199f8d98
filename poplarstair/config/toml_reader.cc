#include "poplarstair/config/toml_reader.h"

#include <algorithm>
#include <charconv>
#include <numeric>
#include <sstream>

namespace poplarstair {

namespace {

std::string ValueText(const toml::node& node) {
  std::ostringstream text;
  node.visit([&text](const auto& value) {
    if constexpr (toml::is_value<decltype(value)>) {
      text << value;
    } else {
      text << "(" << value.type() << ")";
    }
  });
  return text.str();
}

std::string FileOf(const toml::node& node) {
  const auto& path = node.source().path;
  return path ? *path : std::string("(text)");
}

/// Levenshtein distance.
size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), size_t{0});
  for (size_t i = 1; i <= a.size(); ++i) {
    size_t diagonal = row[0];
    row[0] = i;
    for (size_t j = 1; j <= b.size(); ++j) {
      const size_t replaced = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
    }
  }
  return row.back();
}

}  // namespace

toml::table ParseToml(std::string_view text, const std::string& file) {
  try {
    return toml::parse(text, file);
  } catch (const toml::parse_error& failure) {
    throw config_error(
        {{config_fault::kSyntax, file, failure.source().begin.line, "", "",
          std::string(failure.description())}});
  }
}

std::optional<duration> ParseDuration(std::string_view text) {
  int64_t count = 0;
  const char* end = text.data() + text.size();
  const auto [rest, status] = std::from_chars(text.data(), end, count);
  if (status != std::errc()) return std::nullopt;
  const std::string_view unit(rest, static_cast<size_t>(end - rest));
  constexpr int64_t kMostHours = 1'000'000;
  if (count < 0 || count > kMostHours) return std::nullopt;
  if (unit == "ms") return std::chrono::milliseconds(count);
  if (unit == "s") return std::chrono::seconds(count);
  if (unit == "m") return std::chrono::minutes(count);
  if (unit == "h") return std::chrono::hours(count);
  return std::nullopt;
}

std::string NearestName(std::string_view name,
                        const std::vector<std::string>& known) {
  std::string nearest;
  size_t shortest = std::max<size_t>(2, name.size() / 3) + 1;
  for (const std::string& candidate : known) {
    const size_t distance = EditDistance(name, candidate);
    if (distance < shortest) {
      shortest = distance;
      nearest = candidate;
    }
  }
  return nearest;
}

toml_reader::toml_reader(const toml::table& table, std::string path,
                         std::vector<config_problem>& problems)
    : table_(table), path_(std::move(path)), problems_(problems) {}

std::string toml_reader::PathOf(std::string_view key) const {
  return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
}

void toml_reader::ReportNode(config_fault fault, std::string_view key,
                             const toml::node& node, const std::string& hint) {
  problems_.push_back({fault, FileOf(node), node.source().begin.line,
                       PathOf(key), ValueText(node), hint});
}

void toml_reader::Report(config_fault fault, std::string_view key,
                         const std::string& hint) {
  const toml::node* node = table_.get(key);
  if (node != nullptr) {
    ReportNode(fault, key, *node, hint);
  } else {
    problems_.push_back({fault, FileOf(table_), table_.source().begin.line,
                         PathOf(key), "", hint});
  }
}

const toml::node* toml_reader::Find(std::string_view key) {
  known_keys_.emplace_back(key);
  return table_.get(key);
}

const toml::node* toml_reader::Require(std::string_view key) {
  const toml::node* node = Find(key);
  if (node == nullptr) Report(config_fault::kMissingKey, key, "is required");
  return node;
}

std::string toml_reader::String(std::string_view key,
                                const std::string& fallback) {
  const toml::node* node = Find(key);
  if (node == nullptr) return fallback;
  if (const auto value = node->value_exact<std::string>()) return *value;
  ReportNode(config_fault::kWrongType, key, *node, "must be a string");
  return fallback;
}

std::string toml_reader::RequiredString(std::string_view key) {
  if (Require(key) == nullptr) return "";
  std::string value = String(key, "");
  if (value.empty()) {
    Report(config_fault::kOutOfRange, key, "must not be empty");
  }
  return value;
}

bool toml_reader::Bool(std::string_view key, bool fallback) {
  const toml::node* node = Find(key);
  if (node == nullptr) return fallback;
  if (const auto value = node->value_exact<bool>()) return *value;
  ReportNode(config_fault::kWrongType, key, *node, "must be true or false");
  return fallback;
}

int64_t toml_reader::Integer(std::string_view key, int64_t fallback,
                             int64_t lowest, int64_t highest) {
  const toml::node* node = Find(key);
  if (node == nullptr) return fallback;
  const auto value = node->value_exact<int64_t>();
  if (!value) {
    ReportNode(config_fault::kWrongType, key, *node, "must be an integer");
    return fallback;
  }
  if (*value < lowest || *value > highest) {
    ReportNode(config_fault::kOutOfRange, key, *node,
               "must lie in " + std::to_string(lowest) + ".." +
                   std::to_string(highest));
    return fallback;
  }
  return *value;
}

double toml_reader::Number(std::string_view key, double fallback, double lowest,
                           double highest) {
  const toml::node* node = Find(key);
  if (node == nullptr) return fallback;
  const auto value = node->value<double>();
  if (!value || !node->is_number()) {
    ReportNode(config_fault::kWrongType, key, *node, "must be a number");
    return fallback;
  }
  if (!(*value >= lowest && *value <= highest)) {
    std::ostringstream hint;
    hint << "must lie in " << lowest << ".." << highest;
    ReportNode(config_fault::kOutOfRange, key, *node, hint.str());
    return fallback;
  }
  return *value;
}

duration toml_reader::Duration(std::string_view key, duration fallback,
                               duration lowest, duration highest) {
  if (table_.get(key) == nullptr) {
    known_keys_.emplace_back(key);
    return fallback;
  }
  const std::optional<duration> value = ParseDuration(String(key, ""));
  if (!value) {
    Report(config_fault::kWrongType, key,
           R"(must be a duration such as "250ms", "30s", "5m" or "1h")");
    return fallback;
  }
  if (*value < lowest || *value > highest) {
    Report(config_fault::kOutOfRange, key,
           "must lie in " + std::to_string(lowest.count() / 1000) + "ms.." +
               std::to_string(highest.count() / 1000) + "ms");
    return fallback;
  }
  return *value;
}

endpoint toml_reader::EndpointOf(std::string_view key, const toml::node& node) {
  try {
    return endpoint::Parse(node.value_or(std::string()));
  } catch (const invalid_address&) {
    ReportNode(config_fault::kWrongType, key, node,
               R"(must be an address and port such as "10.0.0.1:80")");
    return {};
  }
}

endpoint toml_reader::RequiredEndpoint(std::string_view key) {
  const toml::node* node = Require(key);
  return node == nullptr ? endpoint{} : EndpointOf(key, *node);
}

std::vector<endpoint> toml_reader::RequiredEndpoints(std::string_view key) {
  const toml::node* node = Require(key);
  if (node == nullptr) return {};
  if (node->is_array() && node->as_array()->empty()) {
    ReportNode(config_fault::kWrongType, key, *node,
               "must name at least one address and port");
    return {};
  }
  return Endpoints(key);
}

std::vector<endpoint> toml_reader::Endpoints(std::string_view key) {
  const toml::node* node = Find(key);
  if (node == nullptr) return {};
  const toml::array* items = node->as_array();
  if (items == nullptr) {
    ReportNode(config_fault::kWrongType, key, *node,
               "must be a list of addresses and ports");
    return {};
  }
  std::vector<endpoint> endpoints;
  for (const toml::node& item : *items) {
    endpoints.push_back(EndpointOf(key, item));
  }
  return endpoints;
}

const toml::table* toml_reader::Table(std::string_view key) {
  const toml::node* node = Find(key);
  if (node == nullptr) return nullptr;
  if (!node->is_table()) {
    ReportNode(config_fault::kWrongType, key, *node, "must be a table");
    return nullptr;
  }
  return node->as_table();
}

void toml_reader::RejectUnknownKeys() {
  for (const auto& [key, node] : table_) {
    const std::string_view name = key.str();
    if (std::find(known_keys_.begin(), known_keys_.end(), name) !=
        known_keys_.end()) {
      continue;
    }
    const std::string nearest = NearestName(name, known_keys_);
    ReportNode(config_fault::kUnknownKey, name, node,
               nearest.empty() ? "is not a known key"
                               : "did you mean \"" + nearest + "\"?");
  }
}

}  // namespace poplarstair
