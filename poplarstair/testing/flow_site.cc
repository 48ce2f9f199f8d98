#include "poplarstair/testing/flow_site.h"

#include <algorithm>
#include <cmath>

namespace poplarstair {

namespace {

using namespace std::chrono_literals;

constexpr size_t kWheelSlots = 1 << 17;
constexpr duration kStep = 1ms;
constexpr duration kRetransmitAfter = 300ms;
constexpr int kMaxRetransmits = 30;
constexpr duration kPromptly = 3s;
constexpr uint32_t kNoInstance = 0xffff;

enum class packet_kind : uint8_t { kSyn, kData, kFin };

struct caller_flow {
  flow_key key;
  uint16_t service = 0;
  bool open = false;
  bool broken = false;
  bool over = false;
  bool idle = false;
  uint8_t retransmits = 0;
  uint8_t sent = 0;
  backend_server_id server;
  time_point opened_at{};
  time_point end_at = kNever;
};

struct packet_event {
  uint32_t flow = 0;
  uint16_t instance = kNoInstance;
  uint8_t hops = 0;
  packet_kind kind = packet_kind::kData;
};

struct server_fact {
  service_id service;
  uint32_t domain = 0;
  std::string name;
  time_point draining_since = kNever;
  time_point out_since = kNever;
  /// Flows that were opened before are given up.
  time_point given_up_before{};
};

struct fake_instance {
  instance_address address;
  uint32_t domain = 0;
  incarnation life = 0;
  bool running = false;
  bool config_held = false;
  std::unique_ptr<metric_registry> metrics;
  std::unique_ptr<flow_plane> plane;
  member_view view;
  uint64_t counted_bytes = 0;
  std::vector<double> bytes_per_second;
};

std::string Numbered(const char* prefix, uint32_t i) {
  return prefix + std::to_string(i);
}

}  // namespace

class flow_site::impl {
 public:
  explicit impl(const flow_site_settings& settings)
      : settings_(settings),
        random_(settings.seed, 1),
        bus_(queue_, BusSettings(settings), settings.seed + 1),
        wheel_(kWheelSlots) {
    BuildConfig();
    for (uint32_t i = 0; i < settings_.instances; ++i) AddInstance(i);
    for (uint32_t i = 0; i < settings_.instances; ++i) Start(i);
    queue_.Every(settings_.tick, settings_.tick, [this] { TickAll(); });
    queue_.Every(1s, 1s, [this] { CountTraffic(); });
  }

  void RunFor(duration length) {
    const time_point end = queue_.Now() + length;
    while (queue_.Now() < end) {
      queue_.RunUntil(queue_.Now() + kStep);
      OpenDue();
      auto& slot = wheel_[SlotOf(queue_.Now())];
      std::vector<packet_event> due;
      due.swap(slot);
      for (const packet_event& event : due) Send(event);
    }
  }

  void Apply(const edit& change) {
    auto next = std::make_shared<effective_config>(*config_);
    change(*next);
    next->number = config_->number + 1;
    config_ = next;
    NoteServers();
    for (uint32_t i = 0; i < instances_.size(); ++i) {
      const auto most = static_cast<uint64_t>(settings_.config_delay.count());
      const duration delay(
          static_cast<int64_t>(RandomBelow(random_, most + 1)));
      queue_.After(delay, [this, i, next] { GiveConfig(i, next); });
    }
  }

  void GiveConfig(uint32_t i, const effective_config_ptr& config) {
    fake_instance& instance = instances_[i];
    if (!instance.running || instance.config_held) return;
    // An older configuration never replaces a newer one.
    if (config->number < config_of_[i]) return;
    config_of_[i] = config->number;
    instance.plane->OnConfig(queue_.Now(), config);
  }

  void HoldConfig(uint32_t i) { instances_[i].config_held = true; }

  void ReleaseConfig(uint32_t i) {
    instances_[i].config_held = false;
    queue_.After(500ms, [this, i] { GiveConfig(i, config_); });
  }

  void Kill(uint32_t i) {
    fake_instance& instance = instances_[i];
    last_loss_ = queue_.Now();
    instance.running = false;
    bus_.Detach(instance.address.id);
    const incarnation life = instance.life;
    See(i, life, member_state::kSuspect, settings_.suspect_after);
    See(i, life, member_state::kDead, settings_.dead_after);
  }

  void Leave(uint32_t i) {
    const incarnation life = instances_[i].life;
    See(i, life, member_state::kLeaving, 100ms);
    SetSeen(i, i, life, member_state::kLeaving);
    queue_.After(settings_.leave_time, [this, i, life] {
      if (instances_[i].life == life && instances_[i].running) Kill(i);
    });
  }

  void Start(uint32_t i) {
    fake_instance& instance = instances_[i];
    ++instance.life;
    instance.running = true;
    instance.metrics = std::make_unique<metric_registry>();
    const random_source random(settings_.seed, 100 + i);
    instance.plane = std::make_unique<flow_plane>(
        settings_.flows, instance.address.id, random, *instance.metrics,
        flow_plane::hooks{[this](const peer_message& m) { bus_.Send(m); },
                          [](const log_record&) {}});
    bus_.Attach(instance.address.id, DomainId(instance.domain),
                [this, i](const peer_message& m) {
                  instances_[i].plane->OnMessage(queue_.Now(), m);
                });
    config_of_[i] = 0;
    // It knows the others from its seeds at once; they hear it a bit later.
    instance.view.members.clear();
    for (uint32_t other = 0; other < instances_.size(); ++other) {
      const fake_instance& peer = instances_[other];
      const auto state = peer.running && !IsCut(other, i) ? member_state::kAlive
                                                          : member_state::kDead;
      if (peer.life > 0 || other == i) {
        SetSeen(i, other, peer.life, state, false);
      }
    }
    instance.plane->OnMembers(queue_.Now(), instance.view);
    See(i, instance.life, member_state::kAlive, 200ms);
    queue_.After(300ms, [this, i] { GiveConfig(i, config_); });
  }

  void CutDomain(uint32_t domain) {
    for (uint32_t d = 0; d < settings_.domains; ++d) {
      if (d != domain) CutPair(d, domain, true);
    }
    held_domain_ = domain;
    for (uint32_t i = 0; i < instances_.size(); ++i) {
      if (instances_[i].domain == domain) HoldConfig(i);
    }
  }

  void CutPair(uint32_t a, uint32_t b, bool both) {
    CutOneWay(a, b);
    if (both) CutOneWay(b, a);
  }

  void CutOneWay(uint32_t from, uint32_t to) {
    bus_.CutOneWay(DomainId(from), DomainId(to));
    cut_.insert({from, to});
    ForPairs([&](uint32_t observer, uint32_t seen) {
      if (!IsCut(seen, observer)) return;
      SeeLater(observer, seen, member_state::kSuspect, settings_.suspect_after);
      SeeLater(observer, seen, member_state::kDead, settings_.dead_after);
    });
  }

  void Heal() {
    ForPairs([&](uint32_t observer, uint32_t seen) {
      if (!IsCut(seen, observer)) return;
      SeeLater(observer, seen, member_state::kAlive, 500ms);
    });
    bus_.Heal();
    cut_.clear();
    for (uint32_t i = 0; i < instances_.size(); ++i) {
      if (instances_[i].config_held) ReleaseConfig(i);
    }
  }

  uint32_t OpenIdle(uint32_t service) {
    const uint32_t flow = NewFlow(service);
    flows_[flow].idle = true;
    flows_[flow].end_at = kNever;
    Send({flow, kNoInstance, 0, packet_kind::kSyn});
    return flow;
  }

  void Speak(uint32_t flow) {
    Send({flow, kNoInstance, 0, packet_kind::kData});
  }

  std::string ServerOf(uint32_t flow) const {
    const caller_flow& f = flows_[flow];
    if (f.broken || !f.open) return "";
    return servers_.at(f.server).name;
  }

  std::map<std::string, uint64_t> FlowsPerServer() const {
    std::map<std::string, uint64_t> counts;
    for (const caller_flow& f : flows_) {
      if (f.open && !f.broken && !f.over) ++counts[servers_.at(f.server).name];
    }
    return counts;
  }

  flow_site_report Report() const {
    flow_site_report report = report_;
    std::vector<double> seconds;
    for (const fake_instance& instance : instances_) {
      const auto& series = instance.bytes_per_second;
      seconds.insert(seconds.end(), series.begin(), series.end());
      for (size_t i = 0; i + 10 <= series.size(); ++i) {
        double sum = 0;
        for (size_t j = i; j < i + 10; ++j) sum += series[j];
        report.largest_window = std::max(report.largest_window, sum / 10);
      }
    }
    if (seconds.empty()) return report;
    std::sort(seconds.begin(), seconds.end());
    double sum = 0;
    for (const double s : seconds) sum += s;
    report.mean_bytes = sum / static_cast<double>(seconds.size());
    report.p99_bytes = seconds[(seconds.size() - 1) * 99 / 100];
    report.largest_second = seconds.back();
    return report;
  }

  void ResetTraffic() {
    for (fake_instance& instance : instances_) {
      instance.bytes_per_second.clear();
    }
  }

 private:
  friend class flow_site;

  static message_bus_settings BusSettings(const flow_site_settings& settings) {
    message_bus_settings bus = settings.bus;
    bus.delay_between_domains = settings.delay_between_domains;
    return bus;
  }

  static failure_domain_id DomainId(uint32_t domain) {
    return IdFromName<failure_domain_id>(Numbered("domain-", domain));
  }

  void BuildConfig() {
    auto config = std::make_shared<effective_config>();
    config->number = 1;
    for (uint32_t d = 0; d < settings_.domains; ++d) {
      config->failure_domains.push_back(
          {DomainId(d), Numbered("domain-", d), true});
    }
    for (uint32_t s = 0; s < settings_.servers.size(); ++s) {
      service_config service;
      service.name = Numbered("service-", s);
      service.id = IdFromName<service_id>(service.name);
      service.addresses = {{ip_address::FromV4(0x0a0a0001 + s), 443}};
      for (uint32_t i = 0; i < settings_.servers[s]; ++i) {
        backend_server_config server;
        server.name = service.name + Numbered("-server-", i);
        server.id = IdFromName<backend_server_id>(server.name);
        server.failure_domain = DomainId(i % settings_.domains);
        server.address = {ip_address::FromV4(0x7f000000 + (s << 16) + i), 7001};
        service.backend_servers.push_back(server);
      }
      config->services.push_back(service);
    }
    config_ = config;
    NoteServers();
  }

  void NoteServers() {
    for (const service_config& service : config_->services) {
      for (const backend_server_config& server : service.backend_servers) {
        server_fact& fact = servers_[server.id];
        fact.service = service.id;
        fact.name = server.name;
        const bool drains = server.state == backend_server_state::kDraining;
        NoteSince(fact.draining_since, drains);
        NoteSince(fact.out_since, !MayReceive(*config_, server));
        if (fact.out_since != kNever) {
          fact.given_up_before = queue_.Now() + kPromptly;
        }
      }
    }
  }

  void NoteSince(time_point& since, bool holds) const {
    if (!holds) since = kNever;
    if (holds && since == kNever) since = queue_.Now();
  }

  void AddInstance(uint32_t i) {
    fake_instance instance;
    instance.domain = i % settings_.domains;
    instance.address.name = Numbered("instance-", i);
    instance.address.id = IdFromName<instance_id>(instance.address.name);
    instance.address.failure_domain = DomainId(instance.domain);
    instance.address.hand_on_address = {ip_address::FromV4(0x0b000000 + i), 1};
    instance_by_address_[instance.address.hand_on_address] = i;
    instances_.push_back(std::move(instance));
    config_of_.push_back(0);
  }

  bool IsCut(uint32_t from, uint32_t to) const {
    return cut_.contains({instances_[from].domain, instances_[to].domain});
  }

  template <typename Visitor>
  void ForPairs(Visitor visit) {
    for (uint32_t a = 0; a < instances_.size(); ++a) {
      for (uint32_t b = 0; b < instances_.size(); ++b) {
        if (a != b) visit(a, b);
      }
    }
  }

  void See(uint32_t seen, incarnation life, member_state state,
           duration delay) {
    for (uint32_t o = 0; o < instances_.size(); ++o) {
      if (o == seen || !instances_[o].running) continue;
      const duration spread(static_cast<int64_t>(RandomBelow(random_, 50'000)));
      queue_.After(delay + spread, [this, o, seen, life, state] {
        if (!IsCut(seen, o)) SetSeen(o, seen, life, state);
      });
    }
  }

  void SeeLater(uint32_t observer, uint32_t seen, member_state state,
                duration delay) {
    const incarnation life = instances_[seen].life;
    queue_.After(delay, [this, observer, seen, life, state] {
      const bool expects_cut = state != member_state::kAlive;
      if (IsCut(seen, observer) != expects_cut) return;
      if (!expects_cut && !instances_[seen].running) return;
      SetSeen(observer, seen, life, state);
    });
  }

  void SetSeen(uint32_t observer, uint32_t seen, incarnation life,
               member_state state, bool tell = true) {
    fake_instance& instance = instances_[observer];
    auto& members = instance.view.members;
    const instance_address& address = instances_[seen].address;
    auto it = std::lower_bound(
        members.begin(), members.end(), address.id,
        [](const member& m, instance_id id) { return m.address.id < id; });
    if (it == members.end() || it->address.id != address.id) {
      it = members.insert(it, {address, life, state});
    }
    if (life < it->life) return;
    // A dead life stays dead, unless the network heals.
    it->life = life;
    it->state = state;
    ++instance.view.version;
    if (tell && instance.running) {
      instance.plane->OnMembers(queue_.Now(), instance.view);
    }
  }

  void TickAll() {
    for (fake_instance& instance : instances_) {
      if (instance.running) instance.plane->OnTick(queue_.Now());
    }
  }

  void CountTraffic() {
    for (fake_instance& instance : instances_) {
      const uint64_t total = bus_.Sent(instance.address.id).bytes;
      instance.bytes_per_second.push_back(
          static_cast<double>(total - instance.counted_bytes));
      instance.counted_bytes = total;
    }
  }

  static size_t SlotOf(time_point t) {
    return static_cast<size_t>(t.time_since_epoch() / kStep) % kWheelSlots;
  }

  void Schedule(duration delay, const packet_event& event) {
    const duration most = (kWheelSlots - 1) * kStep;
    wheel_[SlotOf(queue_.Now() + std::clamp(delay, kStep, most))].push_back(
        event);
  }

  duration DrawExponential(duration mean) {
    const double unit = RandomUnit(random_);
    return duration(static_cast<int64_t>(-std::log(1 - unit) *
                                         static_cast<double>(mean.count())));
  }

  uint32_t NewFlow(uint32_t service) {
    const auto index = static_cast<uint32_t>(flows_.size());
    caller_flow flow;
    flow.key.client = {ip_address::FromV4(0x0c000000 + (index >> 14)),
                       static_cast<uint16_t>(1024 + (index & 0x3fff))};
    flow.key.service = config_->services[service].addresses.front();
    flow.service = static_cast<uint16_t>(service);
    flow.opened_at = queue_.Now();
    flows_.push_back(flow);
    return index;
  }

  void OpenDue() {
    if (stopped_) return;
    due_flows_ += settings_.new_flows_per_second * ToSeconds(kStep);
    for (; due_flows_ >= 1; due_flows_ -= 1) {
      const uint64_t servers = RandomBelow(random_, TotalServers());
      const uint32_t service = servers < settings_.servers[0] ? 0 : 1;
      const uint32_t flow = NewFlow(service);
      const double kind = RandomUnit(random_);
      duration mean = 800s;
      if (kind < settings_.short_share) {
        mean = 4s;
      } else if (kind < settings_.short_share + settings_.middle_share) {
        mean = 60s;
      }
      flows_[flow].end_at = queue_.Now() + 100ms + DrawExponential(mean);
      Send({flow, kNoInstance, 0, packet_kind::kSyn});
    }
  }

  uint64_t TotalServers() const {
    uint64_t total = 0;
    for (const uint32_t s : settings_.servers) total += s;
    return total;
  }

  uint32_t PickInstance() {
    for (;;) {
      const auto i =
          static_cast<uint32_t>(RandomBelow(random_, instances_.size()));
      if (instances_[i].running) return i;
    }
  }

  void Send(packet_event event) {
    caller_flow& flow = flows_[event.flow];
    if (flow.broken || flow.over) return;
    if (event.instance == kNoInstance) {
      event.instance = static_cast<uint16_t>(PickInstance());
      ++report_.packets;
    }
    fake_instance& instance = instances_[event.instance];
    if (!instance.running) return Lost(event);
    packet_info info;
    info.key = flow.key;
    info.opens_flow = event.kind == packet_kind::kSyn;
    info.ends_flow = event.kind == packet_kind::kFin;
    info.hops = event.hops;
    const packet_decision decision =
        instance.plane->OnPacket(queue_.Now(), info);
    switch (decision.verdict) {
      case packet_verdict::kDeliver:
        return Arrive(event, decision.server);
      case packet_verdict::kHandOn:
        return HandOn(event, decision.destination);
      case packet_verdict::kDrop:
        return Lost(event);
    }
  }

  void HandOn(packet_event event, const endpoint& destination) {
    ++report_.hops;
    const uint32_t to = instance_by_address_.at(destination);
    if (IsCut(event.instance, to)) return Lost(event);
    event.instance = static_cast<uint16_t>(to);
    ++event.hops;
    Schedule(kStep, event);
  }

  void Lost(packet_event event) {
    caller_flow& flow = flows_[event.flow];
    ++report_.dropped;
    const auto server = servers_.find(flow.server);
    if (server != servers_.end() && IsGivenUp(flow, server->second)) {
      return GiveUp(flow);
    }
    if (++flow.retransmits > kMaxRetransmits) {
      if (flow.open) return Break(flow);
      ++report_.failed_opens;
      flow.over = true;
      return;
    }
    Schedule(kRetransmitAfter, {event.flow, kNoInstance, 0, event.kind});
  }

  static bool IsGivenUp(const caller_flow& flow, const server_fact& server) {
    return flow.opened_at < server.given_up_before;
  }

  void GiveUp(caller_flow& flow) {
    ++report_.given_up;
    flow.over = true;
  }

  void Break(caller_flow& flow) {
    flow.broken = true;
    ++report_.broken;
    // What counts is how long it was known when an instance was lost.
    const time_point until = std::min(queue_.Now(), last_loss_);
    if (until - flow.opened_at > 10s) ++report_.broken_old;
  }

  void Arrive(const packet_event& event, backend_server_id id) {
    caller_flow& flow = flows_[event.flow];
    const server_fact& server = servers_.at(id);
    flow.retransmits = 0;
    if (server.service != config_->services[flow.service].id) {
      ++report_.wrong_service;
    }
    if (server.out_since != kNever &&
        queue_.Now() - server.out_since > kPromptly) {
      ++report_.late_packets;
    }
    if (!flow.open) {
      flow.open = true;
      flow.server = id;
      ++report_.opened;
      if (server.draining_since != kNever &&
          queue_.Now() - server.draining_since > kPromptly) {
        ++report_.late_new;
      }
    } else if (flow.server != id) {
      const server_fact& holder = servers_.at(flow.server);
      return IsGivenUp(flow, holder) ? GiveUp(flow) : Break(flow);
    }
    if (event.kind == packet_kind::kFin) {
      flow.over = true;
      return;
    }
    ScheduleNext(event.flow);
  }

  void ScheduleNext(uint32_t index) {
    caller_flow& flow = flows_[index];
    if (flow.idle) return;
    // The handshake and the request follow quickly, then pauses.
    duration gap = DrawExponential(settings_.mean_gap);
    if (flow.sent == 0) gap = 8ms;
    if (flow.sent == 1) gap = 40ms;
    flow.sent = static_cast<uint8_t>(std::min(flow.sent + 1, 2));
    const time_point next = queue_.Now() + gap;
    const bool ends = next >= flow.end_at;
    const duration delay = ends ? flow.end_at - queue_.Now() : gap;
    Schedule(delay, {index, kNoInstance, 0,
                     ends ? packet_kind::kFin : packet_kind::kData});
  }

  const flow_site_settings settings_;
  random_source random_;
  event_queue queue_;
  message_bus bus_;
  effective_config_ptr config_;
  std::vector<fake_instance> instances_;
  std::vector<generation> config_of_;
  std::map<endpoint, uint32_t> instance_by_address_;
  absl::flat_hash_map<backend_server_id, server_fact> servers_;
  std::set<std::pair<uint32_t, uint32_t>> cut_;
  uint32_t held_domain_ = 0;
  std::vector<caller_flow> flows_;
  std::vector<std::vector<packet_event>> wheel_;
  double due_flows_ = 0;
  bool stopped_ = false;
  time_point last_loss_ = kNever;
  flow_site_report report_;
};

flow_site::flow_site(const flow_site_settings& settings)
    : impl_(std::make_unique<impl>(settings)) {}
flow_site::~flow_site() = default;

void flow_site::RunFor(duration length) { impl_->RunFor(length); }
time_point flow_site::Now() const { return impl_->queue_.Now(); }
void flow_site::Apply(const edit& change) { impl_->Apply(change); }
void flow_site::HoldConfig(uint32_t i) { impl_->HoldConfig(i); }
void flow_site::ReleaseConfig(uint32_t i) { impl_->ReleaseConfig(i); }
void flow_site::Kill(uint32_t i) { impl_->Kill(i); }
void flow_site::Leave(uint32_t i) { impl_->Leave(i); }
void flow_site::Start(uint32_t i) { impl_->Start(i); }
void flow_site::CutDomain(uint32_t domain) { impl_->CutDomain(domain); }
void flow_site::CutOneWay(uint32_t from, uint32_t to) {
  impl_->CutOneWay(from, to);
}
void flow_site::Heal() { impl_->Heal(); }
message_bus& flow_site::Bus() { return impl_->bus_; }
uint32_t flow_site::OpenIdle(uint32_t s) { return impl_->OpenIdle(s); }
void flow_site::Speak(uint32_t flow) { impl_->Speak(flow); }
std::string flow_site::ServerOf(uint32_t flow) const {
  return impl_->ServerOf(flow);
}
std::map<std::string, uint64_t> flow_site::FlowsPerServer() const {
  return impl_->FlowsPerServer();
}
void flow_site::StopOpening() { impl_->stopped_ = true; }
flow_plane& flow_site::Plane(uint32_t i) { return *impl_->instances_[i].plane; }
const effective_config& flow_site::Config() const { return *impl_->config_; }
flow_site_report flow_site::Report() const { return impl_->Report(); }
void flow_site::ResetTraffic() { impl_->ResetTraffic(); }

}  // namespace poplarstair
