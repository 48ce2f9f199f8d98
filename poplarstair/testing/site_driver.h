// Runs a whole site of balancers in virtual time, with fakes around them.
#ifndef POPLARSTAIR_TESTING_SITE_DRIVER_H_
#define POPLARSTAIR_TESTING_SITE_DRIVER_H_

#include <string>

#include "poplarstair/testing/packet_path.h"
#include "poplarstair/testing/request_path.h"
#include "poplarstair/testing/site_operator.h"
#include "poplarstair/testing/site_state.h"

namespace poplarstair {

/// Carries messages, keeps time and goes wrong as told. Same seed, same run.
class site_driver {
 public:
  site_driver(deployment site, const site_driver_settings& settings);

  /// Starts feeds, uploads a second and requests a second for each service.
  void StartLoad(uint32_t feeds, uint32_t uploads, uint32_t requests);

  // Instances, by name.
  bool IsInstance(const std::string& name) const;
  void KillInstance(const std::string& name);
  void StartInstance(const std::string& name) {
    Start(site_.InstanceIndex(name));
  }
  /// A graceful stop, then a new life.
  void RestartInstance(const std::string& name) {
    Restart(site_.InstanceIndex(name));
  }
  void PauseInstance(const std::string& name);
  void ResumeInstance(const std::string& name) {
    Resume(site_.InstanceIndex(name));
  }

  // Backend servers, by "service/server".
  void CrashServer(const std::string& name);
  void StartServer(const std::string& name);
  void TurnServerCold(const std::string& name);
  void SlowServer(const std::string& name, duration extra);
  /// The instance's connections to the server carry nothing any more, until
  /// it gives them up.
  void SilenceConnections(const std::string& instance,
                          const std::string& server);

  // The network between failure domains; `to` may be "platform".
  void Cut(const std::string& from, const std::string& to, bool one_way);
  void Heal();

  // The other parts, for faults of their own.
  site_operator& Operator() { return operator_; }
  event_queue& Queue() { return site_.queue; }
  message_bus& Bus() { return site_.bus; }
  platform_fake& Platform() { return site_.platform; }
  request_callers& Callers() { return requests_.Callers(); }

  const history& Events() const { return site_.events; }
  const site_facts& Facts() const { return site_.facts; }

 private:
  void Start(size_t i);
  void End(size_t i);
  void Restart(size_t i);
  void EndWhenIdle(size_t i, incarnation life);
  void Resume(size_t i);
  void UpdateFabric(size_t i);
  void WriteInstanceList();
  void Tick();
  balancer::hooks HooksOf(size_t i, incarnation life);
  void CallPlatform(size_t i, incarnation life,
                    const platform_request& request);
  void Note(history_kind kind, size_t i);
  void OnLog(size_t i, const log_record& line) const;

  site_state site_;
  packet_path packets_;
  request_path requests_;
  site_operator operator_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_TESTING_SITE_DRIVER_H_
