// The settings file of an entry instance that steers flows by cookies.
#ifndef POPLARSTAIR_DAEMON_ENTRY_DAEMON_SETTINGS_H_
#define POPLARSTAIR_DAEMON_ENTRY_DAEMON_SETTINGS_H_

#include <string>
#include <vector>

#include "poplarstair/core/endpoint.h"
#include "poplarstair/core/time.h"
#include "poplarstair/steering/service_admission.h"
#include "poplarstair/steering/service_promises.h"

namespace poplarstair {

/// What the platform states to a process, and the settings file may override.
struct platform_facts {
  service_promises promises;
  /// How often backend servers report to the store.
  duration server_report_interval = std::chrono::milliseconds(1200);
};

struct entry_daemon_settings {
  std::string name;
  std::string failure_domain;

  // Addresses that it listens on.
  /// Packets of clients' flows, from the fabric.
  endpoint packets;
  /// The fabric's question whether to send flows here.
  endpoint ready;
  /// State, metrics, and the catalog for other instances.
  endpoint control;
  /// Digests of other instances; all instances use the same port.
  endpoint digests;
  endpoint metrics;

  /// Holds routes, backend servers and withdrawals.
  endpoint store;
  /// Control addresses of some instances, for the first digests.
  std::vector<endpoint> seeds;
  /// True if the whole system starts for the first time: no instance has a
  /// catalog to hand over.
  bool is_first_start = false;
  /// How long packets are still forwarded after the fabric has been told. It
  /// asks twice a second and turns away after two refusals.
  duration leave_time = std::chrono::milliseconds(2500);
  service_promises promises;
  admission_settings admission;
  /// How long the store keeps the entry of a backend server that is silent:
  /// until three of its reports have not come.
  duration silent_entry_time{};

  friend bool operator==(const entry_daemon_settings&,
                         const entry_daemon_settings&) = default;
};

/// True if the text is a settings file of this kind.
bool IsEntryDaemonSettings(const std::string& text, const std::string& file);

/// `file` is used in messages. Throws config_error with all problems found.
entry_daemon_settings ParseEntryDaemonSettings(
    const std::string& text, const std::string& file,
    const platform_facts& platform = {});

}  // namespace poplarstair

#endif  // POPLARSTAIR_DAEMON_ENTRY_DAEMON_SETTINGS_H_
