#include "poplarstair/testing/deployment.h"

#include <algorithm>
#include <filesystem>

#include "poplarstair/core/file.h"

namespace poplarstair {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

config_source ReadSource(const std::string& file) {
  return {file, ReadFile(file)};
}

}  // namespace

deployment ReadDeployment(const std::string& folder, const std::string& site) {
  const std::string root = folder + "/" + site;
  deployment d;
  d.site = site;
  d.base = ReadSource(root + "/base.toml");
  d.overlay = ReadSource(root + "/overlay.toml");
  d.config = LoadConfig(d.base, d.overlay, site);
  std::vector<std::string> files;
  for (const auto& entry :
       std::filesystem::directory_iterator(root + "/instances")) {
    files.push_back(entry.path().string());
  }
  std::sort(files.begin(), files.end());
  for (const std::string& file : files) {
    d.instances.push_back(ReadDaemonSettings(file));
  }
  const bool is_north = site == "mu-north";
  d.between_domains = is_north ? microseconds(1000) : microseconds(1500);
  d.to_callers = is_north ? milliseconds(3) : milliseconds(1);
  return d;
}

}  // namespace poplarstair
