// The settings file of one daemon.
#ifndef POPLARSTAIR_DAEMON_DAEMON_SETTINGS_H_
#define POPLARSTAIR_DAEMON_DAEMON_SETTINGS_H_

#include <string>
#include <vector>

#include "poplarstair/core/endpoint.h"
#include "poplarstair/core/log_record.h"
#include "poplarstair/core/time.h"
#include "poplarstair/membership/member.h"

namespace poplarstair {

struct log_settings {
  log_level level = log_level::kInfo;
  /// Empty for standard output.
  std::string file;
};

struct stop_settings {
  /// How long packets are still forwarded after the others have been told.
  duration leave_time = std::chrono::seconds(3);
  /// After this long, a stop no longer waits for requests under way.
  duration limit = std::chrono::seconds(30);

  friend bool operator==(const stop_settings&, const stop_settings&) = default;
};

struct daemon_settings {
  std::string name;
  std::string failure_domain;
  std::string site;

  // Addresses that it listens on.
  endpoint packets;
  endpoint forwarded_packets;
  endpoint peers;
  endpoint requests;
  endpoint admin;

  endpoint platform;
  /// Instances to ask before the platform has answered.
  std::vector<instance_address> seeds;
  log_settings log;
  stop_settings stop;

  instance_address Address() const;
};

/// True if nothing differs but what a running daemon can take over.
bool SameButForLog(const daemon_settings& a, const daemon_settings& b);

/// Reads settings from `text`; `file` is used in messages. Throws
/// config_error with all problems found.
daemon_settings ParseDaemonSettings(const std::string& text,
                                    const std::string& file);

/// Throws system_failure or config_error.
daemon_settings ReadDaemonSettings(const std::string& file);

}  // namespace poplarstair

#endif  // POPLARSTAIR_DAEMON_DAEMON_SETTINGS_H_
