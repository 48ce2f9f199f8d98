// Fuzzes configuration files, the head object and the list of instances.

#include <cstdint>
#include <string>

#include "poplarstair/balancer/instance_list.h"
#include "poplarstair/config/config_error.h"
#include "poplarstair/config/config_head.h"
#include "poplarstair/config/config_loader.h"
#include "poplarstair/daemon/daemon_settings.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace poplarstair;
  const std::string text(reinterpret_cast<const char*>(data), size);
  const size_t middle = text.find("\n===\n");
  const std::string base = text.substr(0, middle);
  const std::string overlay =
      middle == std::string::npos ? "format = 1\n" : text.substr(middle + 5);
  try {
    static_cast<void>(LoadConfig({"base", base}, {"overlay", overlay}, "site"));
  } catch (const config_error&) {
    // Refused, with its problems.
  }
  try {
    static_cast<void>(ParseDaemonSettings(text, "settings"));
  } catch (const config_error&) {
    // Likewise.
  }
  try {
    static_cast<void>(config_head::FromJson(text));
  } catch (const malformed_message&) {
    // Likewise.
  }
  try {
    static_cast<void>(InstancesFromJson(text));
  } catch (const error&) {
    // Malformed, or with an address that is none.
  }
  return 0;
}
