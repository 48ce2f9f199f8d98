// A backend server in virtual time: flows, slots, cold start; fails as told.
#ifndef POPLARSTAIR_TESTING_SERVER_FAKE_H_
#define POPLARSTAIR_TESTING_SERVER_FAKE_H_

#include <set>

#include "poplarstair/config/effective_config.h"
#include "poplarstair/core/random.h"

namespace poplarstair {

class server_fake {
 public:
  /// How it takes a request that arrives.
  enum class admission : uint8_t { kDown, kShed, kShedCold, kStarted };

  server_fake(backend_server_config config, service_id service, uint64_t seed)
      : config_(std::move(config)),
        service_(service),
        random_(seed, config_.id.Value()) {}

  const backend_server_config& Config() const { return config_; }
  service_id Service() const { return service_; }

  // Requests.
  admission Begin(time_point now);
  void End() { --running_; }
  /// Exponentially distributed, longer while cold.
  duration DrawServiceTime(time_point now);
  /// Changes when the process dies: what ran before is gone.
  uint64_t Life() const { return life_; }

  // Flows.
  void OpenFlow(uint64_t flow) { flows_.insert(flow); }
  void EndFlow(uint64_t flow) { flows_.erase(flow); }
  bool HasFlow(uint64_t flow) const { return flows_.contains(flow); }

  // Faults.
  void Crash();
  /// Starts again, cold.
  void Start(time_point now);
  void TurnCold(time_point now) { cold_until_ = now + kColdLength; }
  void SlowBy(duration extra) { extra_ = extra; }
  bool IsUp() const { return is_up_; }
  bool IsCold(time_point now) const { return now < cold_until_; }

  static constexpr duration kColdLength = std::chrono::seconds(10);
  /// Requests that it bears at the same time while cold.
  static constexpr uint32_t kColdSlots = 1;

 private:
  const backend_server_config config_;
  const service_id service_;
  random_source random_;
  std::set<uint64_t> flows_;
  uint32_t running_ = 0;
  uint64_t life_ = 1;
  bool is_up_ = true;
  time_point cold_until_{};
  duration extra_{};
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_TESTING_SERVER_FAKE_H_
