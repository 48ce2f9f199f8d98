// Turns a base file and a site's overlay into the effective configuration.
#ifndef POPLARSTAIR_CONFIG_CONFIG_LOADER_H_
#define POPLARSTAIR_CONFIG_CONFIG_LOADER_H_

#include <string>

#include "poplarstair/config/effective_config.h"

namespace poplarstair {

/// The major version of the file format that this program reads.
inline constexpr int64_t kConfigFormat = 1;

/// A configuration file's text, with the file name that error messages show.
struct config_source {
  std::string file;
  std::string text;
};

/// Merges `overlay` over `base` and checks the result. Tables merge key by key,
/// and the overlay's value takes precedence. An entry of the overlay's list
/// `remove = ["services.a.backend_servers.b"]` deletes that key of the base.
/// Throws config_error with all problems found.
effective_config LoadConfig(const config_source& base,
                            const config_source& overlay,
                            const std::string& site);

}  // namespace poplarstair

#endif  // POPLARSTAIR_CONFIG_CONFIG_LOADER_H_
