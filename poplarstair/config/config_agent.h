// Brings accepted configurations into force on one instance.
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
  /// The overlay that applies here.
  std::string site;
  /// Wait after a call that the platform did not answer.
  duration retry_after = std::chrono::milliseconds(500);
  /// How often an instance compares generations with a random peer.
  duration announce_interval = std::chrono::seconds(1);
  /// How often a watcher reads the head besides its watch, whose news may be
  /// lost or late.
  duration recheck_interval = std::chrono::seconds(2);
  /// Instances of each failure domain that watch the platform.
  size_t watchers_per_domain = 2;
  /// Peers that are told of a new generation at once.
  size_t fan_out = 3;
  /// An instance that has heard no peer for this long watches by itself.
  duration isolated_after = std::chrono::seconds(5);
  /// Peers that a starting instance asks, and how long it waits for them.
  size_t join_peers = 16;
  duration join_wait = std::chrono::seconds(1);
  /// How long a starting instance waits for the content of the highest
  /// generation that it heard of before it takes a lower one.
  duration join_give_up = std::chrono::seconds(30);
  /// After this a part is asked for elsewhere.
  duration part_timeout = std::chrono::milliseconds(300);
  /// Bytes a second, and at once, that are served to peers.
  double serve_rate = 8 << 10;
  double serve_burst = 64 << 10;
};

/// The content of one generation.
struct config_files {
  generation number = 0;
  std::string site;
  std::string base;
  std::string overlay;
};

/// Takes new generations from peers, and from the platform if it is one of its
/// failure domain's watchers. The generation in force never falls.
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

  /// 0 before the first configuration.
  generation InForce() const;
  /// True if it watches the platform.
  bool IsWatcher(time_point now) const;
  /// State as a JSON object, for operators.
  std::string StateJson() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_CONFIG_CONFIG_AGENT_H_
