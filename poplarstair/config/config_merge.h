// Merges an overlay over a base. Every value keeps its source file and line.
#ifndef POPLARSTAIR_CONFIG_CONFIG_MERGE_H_
#define POPLARSTAIR_CONFIG_CONFIG_MERGE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "poplarstair/config/config_loader.h"
#include "poplarstair/config/toml_reader.h"

namespace poplarstair {

/// Returns the merged table. Invalid entries of `remove` are added to
/// `problems`. Throws config_error for a file that cannot be parsed.
toml::table MergeSources(const config_source& base,
                         const config_source& overlay,
                         std::vector<config_problem>& problems);

/// One value of the effective configuration, with its source file and line.
struct config_value {
  /// Dotted path.
  std::string key;
  std::string value;
  std::string file;
  uint32_t line = 0;
};

/// Returns every value that the files set, sorted by key. Throws config_error.
std::vector<config_value> RenderConfig(const config_source& base,
                                       const config_source& overlay);

}  // namespace poplarstair

#endif  // POPLARSTAIR_CONFIG_CONFIG_MERGE_H_
