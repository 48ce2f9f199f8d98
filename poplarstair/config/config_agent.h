// Fetches accepted configurations and puts them into force on one instance.
#ifndef POPLARSTAIR_CONFIG_CONFIG_AGENT_H_
#define POPLARSTAIR_CONFIG_CONFIG_AGENT_H_

#include <functional>
#include <memory>
#include <string>

#include "poplarstair/config/effective_config.h"
#include "poplarstair/core/log_record.h"
#include "poplarstair/core/peer_message.h"
#include "poplarstair/core/random.h"
#include "poplarstair/core/time.h"
#include "poplarstair/membership/member.h"
#include "poplarstair/object_store/platform_message.h"

namespace poplarstair {

struct config_agent_settings {
  /// The site whose overlay applies to this instance.
  std::string site;
  /// Wait before the next watch, unless the last one brought a new generation
  /// or ended without a change.
  duration retry_after = std::chrono::milliseconds(500);
  /// Interval at which an instance compares generations with a random peer.
  duration announce_interval = std::chrono::seconds(1);
  /// Interval at which a watcher also reads the head, because the reply to its
  /// watch may be lost or late.
  duration recheck_interval = std::chrono::seconds(2);
  /// Number of instances in each failure domain that watch the platform.
  size_t watchers_per_domain = 2;
  /// Number of peers to which a new generation is announced at once.
  size_t fan_out = 3;
  /// An instance that has received nothing from peers for this long watches the
  /// platform itself.
  duration isolated_after = std::chrono::seconds(5);
  /// Number of peers that a starting instance asks for their generation, and
  /// how long it waits for their replies.
  size_t join_peers = 16;
  duration join_wait = std::chrono::seconds(1);
  /// How long a starting instance waits for the content of the highest
  /// generation announced to it before it accepts a lower one.
  duration join_give_up = std::chrono::seconds(30);
  /// After this time a missing part is requested from another source.
  duration part_timeout = std::chrono::milliseconds(300);
  /// Token bucket that limits what is sent to peers: bytes per second, and the
  /// largest burst in bytes.
  double serve_rate = 8 << 10;
  double serve_burst = 64 << 10;
};

/// The configuration files of one generation.
struct config_files {
  generation number = 0;
  std::string site;
  std::string base;
  std::string overlay;
};

/// Takes new generations from peers, and from the platform if this instance is
/// a watcher of its failure domain. The generation in force never decreases.
/// Deterministic: it reads no clock and does no I/O.
class config_agent {
 public:
  struct hooks {
    send_hook send;
    platform_hook call_platform;
    log_hook log;
    /// Called with each configuration that comes into force.
    std::function<void(time_point, effective_config_ptr)> in_force;
    /// Checks and merges files, throwing config_error; LoadConfig when unset.
    std::function<effective_config_ptr(const config_files&)> load = {};
  };

  config_agent(const config_agent_settings& settings, instance_id self,
               random_source random, hooks actions);
  ~config_agent();

  // Events.
  void OnPlatformReply(time_point now, const platform_reply& reply);
  void OnMessage(time_point now, const peer_message& message);
  void OnMembers(time_point now, const member_view& view);
  /// To be called at least every 100 ms.
  void OnTick(time_point now);

  /// The generation in force; 0 before the first configuration.
  generation InForce() const;
  /// True if this instance watches the platform.
  bool IsWatcher(time_point now) const;
  /// Returns the state as a JSON object, for operators.
  std::string StateJson() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_CONFIG_CONFIG_AGENT_H_
