// Reads TOML tables key by key and collects all problems in them.
#ifndef POPLARSTAIR_CONFIG_TOML_READER_H_
#define POPLARSTAIR_CONFIG_TOML_READER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// The parser's own assertions fail on malformed input such as "[[["; without
// them it reports a syntax error.
#define TOML_ASSERT(expression) static_cast<void>(0)
#include <toml++/toml.h>

#include "poplarstair/config/config_error.h"
#include "poplarstair/core/endpoint.h"
#include "poplarstair/core/time.h"

namespace poplarstair {

/// Parses `text`; `file` is used in messages. Throws config_error.
toml::table ParseToml(std::string_view text, const std::string& file);

/// Parses a duration such as "250ms", "30s", "5m" or "1h". Returns nothing for
/// other text.
std::optional<duration> ParseDuration(std::string_view text);

/// Returns the entry of `known` with the smallest edit distance to the mistyped
/// `name`, or an empty string if none is similar.
std::string NearestName(std::string_view name,
                        const std::vector<std::string>& known);

/// Reads one table. Keys that were never read count as unknown keys.
class toml_reader {
 public:
  /// `path` is the table's dotted path; problems are appended to `problems`.
  toml_reader(const toml::table& table, std::string path,
              std::vector<config_problem>& problems);

  // Each returns the value of `key`, or the fallback (empty for a required
  // value) if the key is absent or its value is invalid. Problems are reported.
  std::string String(std::string_view key, const std::string& fallback);
  std::string RequiredString(std::string_view key);
  bool Bool(std::string_view key, bool fallback);
  int64_t Integer(std::string_view key, int64_t fallback, int64_t lowest,
                  int64_t highest);
  double Number(std::string_view key, double fallback, double lowest,
                double highest);
  duration Duration(std::string_view key, duration fallback, duration lowest,
                    duration highest);
  endpoint RequiredEndpoint(std::string_view key);
  std::vector<endpoint> RequiredEndpoints(std::string_view key);
  /// The list may be absent or empty.
  std::vector<endpoint> Endpoints(std::string_view key);
  template <typename Enum>
  Enum Choice(std::string_view key, Enum fallback);

  /// Returns the table under `key`, or null if it is absent or not a table.
  const toml::table* Table(std::string_view key);

  /// Reports each key that was never read, with the most similar known key.
  void RejectUnknownKeys();

  /// Reports a problem with the value of `key`.
  void Report(config_fault fault, std::string_view key,
              const std::string& hint);

  const std::string& Path() const { return path_; }

 private:
  const toml::node* Find(std::string_view key);
  const toml::node* Require(std::string_view key);
  std::string PathOf(std::string_view key) const;
  void ReportNode(config_fault fault, std::string_view key,
                  const toml::node& node, const std::string& hint);
  endpoint EndpointOf(std::string_view key, const toml::node& node);

  const toml::table& table_;
  std::string path_;
  std::vector<config_problem>& problems_;
  std::vector<std::string> known_keys_;
};

template <typename Enum>
Enum toml_reader::Choice(std::string_view key, Enum fallback) {
  const std::string name = String(key, std::string(NameOf(fallback)));
  const std::optional<Enum> value = ValueOf<Enum>(name);
  if (value) return *value;
  std::string hint = "use one of:";
  for (const std::string_view known : enum_names<Enum>::kNames) {
    hint += " " + std::string(known);
  }
  Report(config_fault::kOutOfRange, key, hint);
  return fallback;
}

}  // namespace poplarstair

#endif  // POPLARSTAIR_CONFIG_TOML_READER_H_
