// A site in virtual time: instances, fake servers and callers that resend.
#ifndef POPLARSTAIR_PERFORMANCE_TEST_REQUEST_SITE_H_
#define POPLARSTAIR_PERFORMANCE_TEST_REQUEST_SITE_H_

#include <cmath>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include "performance_test/fake_server.h"
#include "performance_test/round_robin_plane.h"
#include "poplarstair/requests/request_plane.h"
#include "poplarstair/testing/event_queue.h"
#include "poplarstair/testing/message_bus.h"

namespace poplarstair {

struct site_settings {
  std::string name;
  uint32_t slots = 2;
  /// One way, between failure domains and to callers.
  duration between_domains = std::chrono::milliseconds(1);
  duration to_callers = std::chrono::milliseconds(3);
  /// Offered work as a share of all slots.
  double load = 0.9;
  /// How long callers send, after the site has started up.
  duration length = std::chrono::seconds(8);
  uint64_t seed = 1;
  /// Callers send again through another instance when this long without an
  /// answer; zero: only when their connection ends.
  duration resend_after{};
  /// Share of the calls that their callers cancel.
  double cancelled_share = 0;
};

constexpr size_t kInstances = 7;
constexpr size_t kDomains = 3;
constexpr duration kServiceTime = std::chrono::milliseconds(50);
constexpr duration kDeadline = std::chrono::seconds(2);
constexpr duration kSlowStart = std::chrono::seconds(2);
constexpr duration kWarmUp = std::chrono::seconds(2);
/// Silence after which a connection counts as lost, as in the adapter.
constexpr duration kSilence = std::chrono::milliseconds(400);

struct site_measures {
  uint64_t offered = 0;
  uint64_t answered = 0;
  uint64_t refused = 0;
  uint64_t unknown = 0;
  uint64_t run_twice = 0;
  uint64_t false_not_run = 0;
  uint64_t wrong_answers = 0;
  uint64_t cut_by_stop = 0;
  uint64_t slot_overruns = 0;
  uint64_t cold_overruns = 0;
  uint64_t messages = 0;
  uint64_t message_bytes = 0;
  std::vector<duration> refusal_times;
  /// Answers by the second in which they came.
  std::map<int64_t, uint64_t> answered_in_second;

  uint64_t Violations() const {
    return run_twice + false_not_run + wrong_answers + cut_by_stop +
           slot_overruns + cold_overruns;
  }
  /// Refusals of requests that have waited for a slot first.
  uint64_t RefusedLate() const {
    return static_cast<uint64_t>(
        std::count_if(refusal_times.begin(), refusal_times.end(),
                      [](duration d) { return d > kServiceTime; }));
  }
  duration RefusalP99() const {
    if (refusal_times.empty()) return duration::zero();
    std::vector<duration> sorted = refusal_times;
    std::sort(sorted.begin(), sorted.end());
    return sorted[sorted.size() * 99 / 100];
  }
};

inline failure_domain_id DomainId(size_t index) {
  return IdFromName<failure_domain_id>("domain-" + std::to_string(index));
}

/// Two services, 14 and 4 servers, spread over the domains.
inline effective_config MakeConfig(uint32_t slots) {
  effective_config config;
  config.number = 1;
  config.limits.default_deadline = kDeadline;
  config.limits.slow_start = kSlowStart;
  for (size_t d = 0; d < kDomains; ++d) {
    config.failure_domains.push_back(
        {DomainId(d), "domain-" + std::to_string(d), true});
  }
  for (const auto& [name, count] : {std::pair{"large", 14}, {"small", 4}}) {
    service_config service;
    service.id = IdFromName<service_id>(name);
    service.name = name;
    for (int i = 0; i < count; ++i) {
      backend_server_config server;
      server.name = std::string(name) + "-" + std::to_string(i);
      server.id = IdFromName<backend_server_id>(server.name);
      server.failure_domain = DomainId(static_cast<size_t>(i) % kDomains);
      server.slots = slots;
      service.backend_servers.push_back(server);
    }
    config.services.push_back(service);
  }
  return config;
}

template <typename Plane>
class request_site {
 public:
  explicit request_site(const site_settings& settings)
      : settings_(settings),
        random_(settings.seed, 77),
        bus_(queue_,
             {std::chrono::microseconds(200), settings.between_domains, 0, 0,
              std::chrono::microseconds(300)},
             settings.seed),
        config_(MakeConfig(settings.slots)) {
    for (const service_config& service : config_.services) {
      for (const backend_server_config& server : service.backend_servers) {
        servers_[server.id] = std::make_unique<fake_server>(
            queue_, ledger_, server, kServiceTime, settings.seed);
        domain_of_[server.id] = server.failure_domain;
      }
    }
    for (size_t i = 0; i < kInstances; ++i) {
      instances_[i].id = IdFromName<instance_id>("entry-" + std::to_string(i));
      instances_[i].domain = DomainId(i % kDomains);
    }
    for (size_t i = 0; i < kInstances; ++i) Start(i);
    queue_.Every(kHeartbeat, {}, [this] { Heartbeat(); });
  }

  // For the fault scripts.
  event_queue& Queue() { return queue_; }
  message_bus& Bus() { return bus_; }
  random_source& Random() { return random_; }
  fake_server& Server(const std::string& name) {
    return *servers_.at(IdFromName<backend_server_id>(name));
  }

  void Kill(size_t i) {
    instances_[i].plane.reset();
    ++instances_[i].life;
    bus_.Detach(instances_[i].id);
    // Its callers see their connections end.
    for (auto& [id, c] : calls_) {
      if (c.instance == i && !c.ended) Later(id);
    }
  }

  void Start(size_t i) {
    instance& self = instances_[i];
    ++self.life;
    self.plane = MakePlane(i);
    bus_.Attach(self.id, self.domain, [this, i](const peer_message& m) {
      Deliver(i, [m](Plane& p, time_point now) { p.OnMessage(now, m); });
    });
    self.plane->OnConfig(queue_.Now(),
                         std::make_shared<effective_config>(config_));
    queue_.After(duration(static_cast<int64_t>(i) * 700),
                 [this, i, life = self.life] { Tick(i, life); });
    Heartbeat();
  }

  void Pause(size_t i, duration length) {
    instances_[i].paused_until = queue_.Now() + length;
  }

  /// Stops gracefully, and counts what is cut when it exits.
  void Stop(size_t i) {
    instance& self = instances_[i];
    self.stopping = true;
    self.plane->BeginStop(queue_.Now());
    Heartbeat();
    AwaitIdle(i, queue_.Now() + 2 * kDeadline);
  }

  void CutDomain(size_t d) {
    cut_domain_ = d;
    for (size_t other = 0; other < kDomains; ++other) {
      if (other == d) continue;
      bus_.CutOneWay(DomainId(d), DomainId(other));
      bus_.CutOneWay(DomainId(other), DomainId(d));
    }
  }

  void CutOneWay(size_t from, size_t to) {
    bus_.CutOneWay(DomainId(from), DomainId(to));
  }

  void StartDomainCold(size_t d, duration length) {
    for (const auto& [id, domain] : domain_of_) {
      if (domain == DomainId(d)) servers_.at(id)->StartCold(length);
    }
  }

  void Heal() {
    cut_domain_ = kDomains;
    bus_.Heal();
  }

  void TakeDomain(size_t d, bool in_service) {
    ++config_.number;
    config_.failure_domains[d].in_service = in_service;
    PublishConfig();
  }

  void SetDraining(const std::string& name) {
    ++config_.number;
    for (service_config& service : config_.services) {
      for (backend_server_config& server : service.backend_servers) {
        if (server.name == name) {
          server.state = backend_server_state::kDraining;
        }
      }
    }
    PublishConfig();
  }

  /// Attempts from instance `i` on old connections to `server` go silent.
  void Silence(size_t i, const std::string& server) {
    silent_[{i, IdFromName<backend_server_id>(server)}] =
        queue_.Now() + kSilence;
  }

  site_measures Run() {
    queue_.RunFor(kWarmUp);
    bus_.ResetTraffic();
    const time_point end = queue_.Now() + settings_.length;
    ScheduleArrival(end);
    queue_.RunUntil(end + 3 * kDeadline);
    return Measure();
  }

  /// The fewest answers in any whole second from `from` to `to`.
  uint64_t FewestAnswers(duration from, duration to) const {
    const auto second = [](duration d) {
      return ToMicroseconds(time_point{} + kWarmUp + d) / 1'000'000;
    };
    uint64_t fewest = UINT64_MAX;
    for (int64_t s = second(from); s < second(to); ++s) {
      const auto it = measures_.answered_in_second.find(s);
      const bool none = it == measures_.answered_in_second.end();
      fewest = std::min(fewest, none ? 0 : it->second);
    }
    return fewest;
  }

  /// Answers that one queue over all servers would give to the same callers.
  double IdealAnswers() const {
    const double capacity =
        Capacity(settings_.slots * 18.0) * ToSeconds(settings_.length);
    return std::min(static_cast<double>(measures_.offered), capacity);
  }

  static double Capacity(double slots) {
    return slots / ToSeconds(kServiceTime);
  }

  /// Requests that all servers can answer within one deadline. So many may wait
  /// when an overload begins; of the others it is known that they can't be
  /// served.
  double WaitingPlaces() const {
    return Capacity(settings_.slots * 18.0) * ToSeconds(kDeadline);
  }

 private:
  static constexpr duration kHeartbeat = std::chrono::milliseconds(100);
  static constexpr duration kTick = std::chrono::milliseconds(5);
  static constexpr duration kSuspectAfter = std::chrono::milliseconds(400);
  static constexpr duration kDeadAfter = std::chrono::milliseconds(1000);

  struct instance {
    instance_id id;
    failure_domain_id domain;
    incarnation life = 0;
    time_point paused_until{};
    bool stopping = false;
    bool refusing_connections = false;
    std::unique_ptr<Plane> plane;
    metric_registry metrics;
    std::map<size_t, time_point> last_heard;
    uint64_t views = 0;
  };

  /// One copy of a request at one instance.
  struct caller_copy {
    request wanted;
    size_t instance = 0;
    time_point first_sent;
    time_point sent;
    int resends = 0;
    bool ended = false;
    bool resent = false;
  };

  /// "Not run", as a caller got it.
  struct refusal {
    time_point when;
    size_t instance = 0;
  };

  /// What the caller was told of a request, over all copies.
  struct told {
    bool repeatable = false;
    bool answered = false;
    time_point last_sent;
    std::vector<refusal> not_run;
  };

  using work = std::function<void(Plane&, time_point)>;

  std::unique_ptr<Plane> MakePlane(size_t i) {
    const incarnation life = instances_[i].life;
    request_plane::hooks actions;
    actions.send = [this, i, life](const peer_message& m) {
      if (instances_[i].life == life) bus_.Send(m);
    };
    actions.log = [](const log_record&) {};
    actions.start_attempt = [this, i, life](const attempt& a) {
      StartAttempt(i, life, a);
    };
    actions.cancel_attempt = [this, i, life](attempt_id id) {
      // The adapter ends the stream at once; the server may go on.
      queue_.After(duration(1), [this, i, life, id] {
        if (instances_[i].life != life) return;
        Deliver(i, [id](Plane& p, time_point now) {
          p.OnAttemptEnd(now, {id, attempt_result::kLost, 0, ""});
        });
      });
    };
    actions.end_call = [this, i, life](call_id id, const answer& result) {
      queue_.After(settings_.to_callers, [this, i, life, id, result] {
        if (instances_[i].life == life) EndCall(id, result);
      });
    };
    if constexpr (std::is_same_v<Plane, round_robin_plane>) {
      return std::make_unique<Plane>(std::move(actions));
    } else {
      return std::make_unique<Plane>(request_plane_settings{}, instances_[i].id,
                                     random_source(settings_.seed, i + 100),
                                     instances_[i].metrics, std::move(actions));
    }
  }

  /// Hands an event to an instance: now, when it goes on, or never.
  void Deliver(size_t i, work todo) {
    instance& self = instances_[i];
    if (!self.plane) return;
    if (queue_.Now() < self.paused_until) {
      queue_.At(self.paused_until,
                [this, i, life = self.life, todo = std::move(todo)]() mutable {
                  if (instances_[i].life == life) Deliver(i, std::move(todo));
                });
      return;
    }
    todo(*self.plane, queue_.Now());
  }

  void Tick(size_t i, incarnation life) {
    if (instances_[i].life != life || !instances_[i].plane) return;
    Deliver(i, [](Plane& p, time_point now) { p.OnTick(now); });
    const time_point next =
        std::max(queue_.Now(), instances_[i].paused_until) + kTick;
    queue_.At(next, [this, i, life] { Tick(i, life); });
  }

  void PublishConfig() {
    const auto config = std::make_shared<effective_config>(config_);
    for (size_t i = 0; i < kInstances; ++i) {
      const duration delay(static_cast<int64_t>(RandomBelow(random_, 500'000)));
      queue_.After(delay, [this, i, config] {
        Deliver(
            i, [config](Plane& p, time_point now) { p.OnConfig(now, config); });
      });
    }
  }

  bool Reaches(const failure_domain_id& a, const failure_domain_id& b) const {
    if (cut_domain_ == kDomains || a == b) return true;
    const failure_domain_id cut = DomainId(cut_domain_);
    return a != cut && b != cut;
  }

  /// Stands for the membership: who has heard whom lately.
  void Heartbeat() {
    const time_point now = queue_.Now();
    for (instance& from : instances_) {
      if (!from.plane || now < from.paused_until) continue;
      for (size_t to = 0; to < kInstances; ++to) {
        if (!Reaches(from.domain, instances_[to].domain)) continue;
        instances_[to].last_heard[IndexOf(from.id)] = now;
      }
    }
    for (size_t i = 0; i < kInstances; ++i) {
      if (!instances_[i].plane || now < instances_[i].paused_until) continue;
      const member_view view = ViewOf(i);
      Deliver(i, [&view](Plane& p, time_point t) { p.OnMembers(t, view); });
    }
  }

  size_t IndexOf(instance_id id) const {
    size_t index = 0;
    while (instances_[index].id != id) ++index;
    return index;
  }

  member_view ViewOf(size_t observer) {
    member_view view;
    view.version = ++instances_[observer].views;
    for (size_t i = 0; i < kInstances; ++i) {
      const instance& seen = instances_[i];
      member m;
      m.address.id = seen.id;
      m.address.failure_domain = seen.domain;
      m.life = seen.life;
      const duration silent = queue_.Now() - instances_[observer].last_heard[i];
      if (seen.stopping) m.state = member_state::kLeaving;
      if (silent >= kSuspectAfter) m.state = member_state::kSuspect;
      if (silent >= kDeadAfter) m.state = member_state::kDead;
      view.members.push_back(m);
    }
    std::sort(view.members.begin(), view.members.end(),
              [](const member& a, const member& b) {
                return a.address.id < b.address.id;
              });
    return view;
  }

  void AwaitIdle(size_t i, time_point latest) {
    instance& self = instances_[i];
    if (!self.plane) return;
    if (!self.plane->IsIdle() && queue_.Now() < latest) {
      queue_.After(kTick, [this, i, latest] { AwaitIdle(i, latest); });
      return;
    }
    // New callers find nobody. What was on its way is still taken, and answers
    // under way still leave.
    if (!self.refusing_connections) {
      self.refusing_connections = true;
      queue_.After(2 * settings_.to_callers,
                   [this, i, latest] { AwaitIdle(i, latest); });
      return;
    }
    queue_.After(2 * settings_.to_callers, [this, i] {
      for (const auto& [id, c] : calls_) {
        if (c.instance == i && !c.ended) ++measures_.cut_by_stop;
      }
      Kill(i);
    });
  }

  void StartAttempt(size_t i, incarnation life, const attempt& a) {
    const failure_domain_id there = domain_of_.at(a.server);
    const bool near = there == instances_[i].domain;
    const duration delay =
        near ? std::chrono::microseconds(200) : settings_.between_domains;
    const auto end = [this, i, life, a](attempt_result result,
                                        std::string body) {
      if (instances_[i].life != life) return;
      const int status = result == attempt_result::kComplete ? 200 : 0;
      Deliver(i, [e = attempt_end{a.id, result, status, std::move(body)}](
                     Plane& p, time_point now) { p.OnAttemptEnd(now, e); });
    };
    const bool cut = !Reaches(instances_[i].domain, there);
    if (cut || IsSilent(i, a.server)) {
      queue_.After(kSilence, [end] { end(attempt_result::kLost, ""); });
      return;
    }
    queue_.After(delay, [this, i, a, there, delay, end] {
      servers_.at(a.server)->OnAttempt(
          a, i,
          [this, i, there, delay, end](attempt_result result,
                                       const std::string& body) {
            const bool lost = !Reaches(instances_[i].domain, there);
            queue_.After(lost ? kSilence : delay, [lost, end, result, body] {
              end(lost ? attempt_result::kLost : result, lost ? "" : body);
            });
          });
    });
  }

  bool IsSilent(size_t i, backend_server_id server) const {
    const auto it = silent_.find({i, server});
    return it != silent_.end() && queue_.Now() < it->second;
  }

  // Callers.
  void ScheduleArrival(time_point end) {
    const double rate = Capacity(settings_.slots * 18.0) * settings_.load;
    const double gap = -std::log(1.0 - RandomUnit(random_)) / rate;
    queue_.After(std::chrono::duration_cast<duration>(
                     std::chrono::duration<double>(gap)),
                 [this, end] {
                   if (queue_.Now() >= end) return;
                   NewRequest();
                   ScheduleArrival(end);
                 });
  }

  void NewRequest() {
    ++measures_.offered;
    caller_copy copy;
    copy.wanted.id = "r" + std::to_string(measures_.offered);
    copy.wanted.service = IdFromName<service_id>(
        RandomBelow(random_, 18) < 14 ? "large" : "small");
    copy.wanted.may_be_repeated = RandomBelow(random_, 10) < 3;
    const uint64_t kind = RandomBelow(random_, 5);
    copy.wanted.priority = kind == 0   ? request_class::kCritical
                           : kind == 4 ? request_class::kBulk
                                       : request_class::kNormal;
    copy.first_sent = queue_.Now();
    told_[copy.wanted.id].repeatable = copy.wanted.may_be_repeated;
    SendCopy(std::move(copy));
  }

  void SendCopy(caller_copy copy) {
    size_t to = RandomBelow(random_, kInstances);
    while (!instances_[to].plane || instances_[to].refusing_connections) {
      to = (to + 1) % kInstances;
    }
    copy.instance = to;
    copy.sent = queue_.Now();
    told_[copy.wanted.id].last_sent = copy.sent;
    const call_id id(++last_call_);
    calls_[id] = copy;
    const duration left = kDeadline - (copy.sent - copy.first_sent);
    queue_.After(
        settings_.to_callers,
        [this, to, id, left, life = instances_[to].life, wanted = copy.wanted] {
          if (instances_[to].life != life) return;
          Deliver(to, [id, left, wanted](Plane& p, time_point now) mutable {
            wanted.deadline = now + left;
            p.OnCall(now, id, std::move(wanted));
          });
        });
    if (RandomUnit(random_) < settings_.cancelled_share) {
      const auto delay = static_cast<int64_t>(RandomBelow(random_, 80'000));
      queue_.After(duration{delay}, [this, id] { Cancel(id); });
    }
    if (settings_.resend_after > duration::zero()) {
      queue_.After(settings_.resend_after, [this, id] { Resend(id); });
    }
  }

  /// The caller gives up.
  void Cancel(call_id id) {
    caller_copy& copy = calls_.at(id);
    if (copy.ended) return;
    copy.ended = true;
    queue_.After(settings_.to_callers, [this, id, i = copy.instance,
                                        life = instances_[copy.instance].life] {
      if (instances_[i].life != life) return;
      Deliver(i, [id](Plane& p, time_point now) { p.OnCallerGone(now, id); });
    });
  }

  /// The connection of a call has ended.
  void Later(call_id id) {
    queue_.After(settings_.to_callers, [this, id] { Resend(id); });
  }

  void Resend(call_id id) {
    constexpr int kMaxResends = 2;
    caller_copy& old = calls_.at(id);
    const duration spent = queue_.Now() - old.first_sent;
    if (old.ended || old.resent || told_[old.wanted.id].answered ||
        old.resends >= kMaxResends || spent >= kDeadline) {
      return;
    }
    old.resent = true;
    caller_copy copy = old;
    copy.resent = false;
    ++copy.resends;
    SendCopy(std::move(copy));
  }

  void EndCall(call_id id, const answer& result) {
    const time_point now = queue_.Now();
    caller_copy& copy = calls_.at(id);
    if (copy.ended) return;
    copy.ended = true;
    told& caller = told_[copy.wanted.id];
    switch (result.result) {
      case outcome::kAnswered:
        if (result.body != AnswerOf(copy.wanted.id)) ++measures_.wrong_answers;
        if (!caller.answered &&
            now <= copy.first_sent + kDeadline + 2 * settings_.to_callers) {
          ++measures_.answered;
          ++measures_.answered_in_second[ToMicroseconds(now) / 1'000'000];
        }
        caller.answered = true;
        return;
      case outcome::kNotRun:
        ++measures_.refused;
        NoteRefusalTime(now - copy.sent, result.reason);
        caller.not_run.push_back({now, copy.instance});
        return;
      case outcome::kOutcomeUnknown:
      case outcome::kFailed:
        ++measures_.unknown;
        NoteRefusalTime(now - copy.sent, result.reason);
        return;
    }
  }

  /// Also for copies of requests of which others may have run.
  void NoteRefusalTime(duration time, refusal_reason reason) {
    if (reason == refusal_reason::kDeadlineTooNear ||
        reason == refusal_reason::kQueueFull) {
      measures_.refusal_times.push_back(time);
    }
  }

  /// A copy of a request that may be repeated speaks for its instance only.
  static bool IsFalse(const told& caller, const refusal& r,
                      const std::vector<run_ledger::run>& runs) {
    return std::any_of(runs.begin(), runs.end(), [&](const auto& run) {
      if (caller.repeatable) {
        return run.instance == r.instance && run.began <= r.when;
      }
      return run.began <= r.when || caller.last_sent <= r.when;
    });
  }

  site_measures Measure() {
    for (const auto& [id, caller] : told_) {
      const auto it = ledger_.runs.find(id);
      if (it == ledger_.runs.end()) continue;
      if (!caller.repeatable && it->second.size() > 1) ++measures_.run_twice;
      for (const refusal& r : caller.not_run) {
        if (IsFalse(caller, r, it->second)) {
          ++measures_.false_not_run;
          break;
        }
      }
    }
    measures_.slot_overruns = ledger_.slot_overruns;
    measures_.cold_overruns = ledger_.cold_overruns;
    for (const instance& i : instances_) {
      measures_.messages += bus_.Sent(i.id).messages;
      measures_.message_bytes += bus_.Sent(i.id).bytes;
    }
    return measures_;
  }

  const site_settings settings_;
  random_source random_;
  event_queue queue_;
  message_bus bus_;
  effective_config config_;
  run_ledger ledger_;
  std::map<backend_server_id, std::unique_ptr<fake_server>> servers_;
  std::map<backend_server_id, failure_domain_id> domain_of_;
  std::vector<instance> instances_{kInstances};
  std::map<std::pair<size_t, backend_server_id>, time_point> silent_;
  size_t cut_domain_ = kDomains;
  std::map<call_id, caller_copy> calls_;
  std::map<std::string, told> told_;
  uint64_t last_call_ = 0;
  site_measures measures_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_PERFORMANCE_TEST_REQUEST_SITE_H_
