#include "poplarstair/testing/site_driver.h"

#include <nlohmann/json.hpp>

#include "poplarstair/balancer/instance_list.h"

namespace poplarstair {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// How late the fabric and the platform's list see a change.
constexpr duration kFabricLag = milliseconds(500);
constexpr duration kListLag = seconds(5);
/// A graceful stop goes on for at least this, for packets on the way.
constexpr duration kShortestStop = seconds(2);
constexpr duration kDownTime = seconds(1);
constexpr duration kCheckInterval = milliseconds(500);

}  // namespace

site_driver::site_driver(deployment site, const site_driver_settings& settings)
    : site_(std::move(site), settings),
      packets_(site_),
      requests_(site_),
      operator_(site_) {
  WriteInstanceList();
  for (size_t i = 0; i < site_.instances.size(); ++i) Start(i);
  site_.queue.Every(balancer::kTickInterval, duration::zero(),
                    [this] { Tick(); });
  site_.queue.Every(kCheckInterval, kCheckInterval,
                    [this] { operator_.CheckConfig(); });
}

void site_driver::StartLoad(uint32_t feeds, uint32_t uploads,
                            uint32_t requests) {
  packets_.Start(feeds, uploads);
  requests_.Callers().Start(requests);
}

bool site_driver::IsInstance(const std::string& name) const {
  return site_.InstanceIndex(name) < site_.instances.size();
}

void site_driver::KillInstance(const std::string& name) {
  site_.Fault();
  End(site_.InstanceIndex(name));
}

void site_driver::PauseInstance(const std::string& name) {
  site_.Fault();
  site_.instances[site_.InstanceIndex(name)].is_paused = true;
}

void site_driver::CrashServer(const std::string& name) {
  const size_t s = site_.ServerIndex(name);
  site_.Fault();
  site_.servers[s].Crash();
  site_.NoteServer(history_kind::kServerCrashed, s);
}

void site_driver::StartServer(const std::string& name) {
  const size_t s = site_.ServerIndex(name);
  site_.servers[s].Start(site_.queue.Now());
  site_.NoteServer(history_kind::kServerCold, s);
}

void site_driver::TurnServerCold(const std::string& name) {
  const size_t s = site_.ServerIndex(name);
  site_.servers[s].TurnCold(site_.queue.Now());
  site_.NoteServer(history_kind::kServerCold, s);
}

void site_driver::SlowServer(const std::string& name, duration extra) {
  site_.servers[site_.ServerIndex(name)].SlowBy(extra);
}

void site_driver::SilenceConnections(const std::string& instance,
                                     const std::string& server) {
  const size_t s = site_.ServerIndex(server);
  site_.Fault();
  site_.instances[site_.InstanceIndex(instance)].silent.insert(
      site_.servers[s].Config().id);
}

void site_driver::Start(size_t i) {
  entry_instance& instance = site_.instances[i];
  if (instance.process) return;
  ++instance.life;
  instance.is_paused = instance.is_stopping = false;
  instance.held.clear();
  instance.in_force = 0;
  instance.reachable_since = site_.queue.Now();
  balancer_settings wanted;
  wanted.self = instance.settings.Address();
  wanted.life = instance.life;
  wanted.random_seed = HashCombine(site_.settings.seed, instance.life);
  wanted.seeds = instance.settings.seeds;
  wanted.config.site = site_.deployed.site;
  wanted.flows.strategy = site_.settings.strategy;
  instance.process =
      std::make_unique<balancer>(wanted, HooksOf(i, instance.life));
  site_.bus.Attach(
      instance.id, instance.domain,
      [this, i, life = instance.life](const peer_message& message) {
        if (site_.planted.IsDeaf(i, message.channel)) return;
        site_.Input(i, life, [this, message](balancer& b) {
          b.OnMessage(site_.queue.Now(), message);
        });
      });
  site_.Trace("instance_started " + instance.settings.name);
  site_.queue.After(kFabricLag, [this, i] { UpdateFabric(i); });
  site_.queue.After(kListLag, [this] { WriteInstanceList(); });
}

void site_driver::End(size_t i) {
  entry_instance& instance = site_.instances[i];
  if (!instance.process) return;
  instance.process.reset();
  site_.bus.Detach(instance.id);
  Note(history_kind::kInstanceGone, i);
  for (const auto& [call, since] : std::exchange(instance.calls, {})) {
    site_.queue.After(site_.deployed.to_callers, [this, call = call] {
      requests_.Callers().OnConnectionLost(call);
    });
  }
  site_.queue.After(kFabricLag, [this, i] { UpdateFabric(i); });
  site_.queue.After(kListLag, [this] { WriteInstanceList(); });
}

void site_driver::Restart(size_t i) {
  entry_instance& instance = site_.instances[i];
  if (!instance.process || instance.is_stopping) return;
  instance.is_stopping = true;
  instance.stop_began = site_.queue.Now();
  Note(history_kind::kInstanceStopping, i);
  site_.Input(i, instance.life,
              [this](balancer& b) { b.BeginStop(site_.queue.Now()); });
  site_.queue.After(kFabricLag, [this, i] { UpdateFabric(i); });
  site_.queue.After(kListLag, [this] { WriteInstanceList(); });
  EndWhenIdle(i, instance.life);
}

void site_driver::EndWhenIdle(size_t i, incarnation life) {
  site_.queue.After(milliseconds(10), [this, i, life] {
    entry_instance& instance = site_.instances[i];
    if (!instance.process || instance.life != life) return;
    const bool is_late =
        site_.queue.Now() - instance.stop_began >= kShortestStop;
    const bool is_done = is_late && instance.process->IsIdle();
    if (!is_done && !site_.planted.StopsAtOnce()) return EndWhenIdle(i, life);
    End(i);
    site_.queue.After(kDownTime, [this, i] { Start(i); });
  });
}

void site_driver::Resume(size_t i) {
  entry_instance& instance = site_.instances[i];
  instance.is_paused = false;
  instance.reachable_since = site_.queue.Now();
  for (const auto& work : std::exchange(instance.held, {})) {
    site_.Input(i, instance.life, work);
  }
}

void site_driver::UpdateFabric(size_t i) {
  const entry_instance& instance = site_.instances[i];
  site_.instances[i].fabric_sees_it = instance.process && !instance.is_stopping;
}

void site_driver::WriteInstanceList() {
  nlohmann::json list = nlohmann::json::array();
  for (const entry_instance& instance : site_.instances) {
    if (instance.life > 0 && !instance.process) continue;
    const daemon_settings& s = instance.settings;
    list.push_back({{"name", s.name},
                    {"failure_domain", s.failure_domain},
                    {"peer_address", s.peers.ToString()},
                    {"hand_on_address", s.forwarded_packets.ToString()},
                    {"state", instance.is_stopping ? "leaving" : "live"}});
  }
  site_.platform.Write(std::string(kInstancesKey), list.dump());
}

void site_driver::Tick() {
  for (size_t i = 0; i < site_.instances.size(); ++i) {
    if (site_.instances[i].is_paused) continue;
    site_.Input(i, site_.instances[i].life,
                [this](balancer& b) { b.OnTick(site_.queue.Now()); });
  }
}

balancer::hooks site_driver::HooksOf(size_t i, incarnation life) {
  balancer::hooks actions;
  actions.send = [this](const peer_message& message) {
    site_.bus.Send(message);
  };
  actions.call_platform = [this, i, life](const platform_request& request) {
    CallPlatform(i, life, request);
  };
  actions.log = [this, i](const log_record& line) { OnLog(i, line); };
  actions.start_attempt = [this, i, life](const attempt& a) {
    requests_.StartAttempt(i, life, a);
  };
  actions.cancel_attempt = [this, i, life](attempt_id id) {
    requests_.CancelAttempt(i, life, id);
  };
  actions.end_call = [this, i](call_id call, const answer& result) {
    requests_.EndCall(i, call, result);
  };
  return actions;
}

void site_driver::CallPlatform(size_t i, incarnation life,
                               const platform_request& request) {
  const failure_domain_id domain = site_.instances[i].domain;
  site_.platform.Call(
      request,
      [this, domain] { return !site_.cut_from_platform.contains(domain); },
      [this, i, life](const platform_reply& reply) {
        if (site_.planted.IsDeaf(i, message_channel::kConfiguration)) return;
        site_.Input(i, life, [this, reply](balancer& b) {
          b.OnPlatformReply(site_.queue.Now(), reply);
        });
      });
}

void site_driver::Cut(const std::string& from, const std::string& to,
                      bool one_way) {
  const auto a = IdFromName<failure_domain_id>(from);
  const auto b = IdFromName<failure_domain_id>(to);
  site_.Fault();
  if (to == "platform") {
    site_.cut_from_platform.insert(a);
    return;
  }
  site_.bus.CutOneWay(a, b);
  if (!one_way) site_.bus.CutOneWay(b, a);
}

void site_driver::Heal() {
  for (const failure_domain_config& domain :
       site_.deployed.config.failure_domains) {
    if (!site_.IsIsolated(domain.id)) continue;
    site_.isolated_until[domain.id] = site_.queue.Now();
    for (entry_instance& instance : site_.instances) {
      if (instance.domain == domain.id) {
        instance.reachable_since = site_.queue.Now();
      }
    }
  }
  site_.bus.Heal();
  site_.cut_from_platform.clear();
}

void site_driver::Note(history_kind kind, size_t i) {
  site_.Trace(std::string(NameOf(kind)) + " " +
              site_.instances[i].settings.name);
  history_event event;
  event.kind = kind;
  event.instance = site_.instances[i].id;
  site_.Record(std::move(event));
}

void site_driver::OnLog(size_t i, const log_record& line) const {
  if (!site_.settings.trace || line.Level() == log_level::kDebug) return;
  site_.Trace(site_.instances[i].settings.name + " " + line.ToLine());
}

}  // namespace poplarstair
