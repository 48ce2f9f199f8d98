// One of the sample sites, with the delays of its network.
#ifndef POPLARSTAIR_TESTING_DEPLOYMENT_H_
#define POPLARSTAIR_TESTING_DEPLOYMENT_H_

#include <string>
#include <vector>

#include "poplarstair/config/config_loader.h"
#include "poplarstair/daemon/daemon_settings.h"

namespace poplarstair {

struct deployment {
  std::string site;
  config_source base;
  config_source overlay;
  effective_config config;
  std::vector<daemon_settings> instances;
  // One way.
  duration between_domains{};
  duration to_callers{};
};

/// Reads `folder`/`site`. Throws system_failure or config_error.
deployment ReadDeployment(const std::string& folder, const std::string& site);

}  // namespace poplarstair

#endif  // POPLARSTAIR_TESTING_DEPLOYMENT_H_
