#include "poplarstair/emulator/server_emulator.h"

#include <cmath>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "poplarstair/core/error.h"
#include "poplarstair/core/random.h"
#include "poplarstair/io/http2_session.h"
#include "poplarstair/io/http_server.h"
#include "poplarstair/io/socket.h"
#include "poplarstair/wire/encapsulation.h"
#include "poplarstair/wire/request_headers.h"

namespace poplarstair {

namespace {

/// State that all servers share: domains and servers taken out of use, and
/// counts of violations.
struct shared_state {
  /// Failure domains that are out, each with the end of its grace period.
  std::map<std::string, time_point> domains_out;
  /// Draining servers ("service/name"), each with the end of its grace period.
  std::map<std::string, time_point> draining;
  /// How often each request has run, by request id.
  std::map<std::string, int> runs;

  uint64_t packets_after_withdrawal = 0;
  uint64_t new_work_after_drain = 0;
  uint64_t packets_of_unknown_flows = 0;
  uint64_t requests_over_slots = 0;
};

bool IsPast(const std::map<std::string, time_point>& bounds,
            const std::string& name, time_point now) {
  const auto it = bounds.find(name);
  return it != bounds.end() && now > it->second;
}

/// One backend server.
class emulated_server {
 public:
  emulated_server(event_loop& loop, const service_config& service,
                  const backend_server_config& server,
                  const std::string& domain,
                  const server_emulator_settings& settings,
                  shared_state& shared)
      : loop_(loop),
        settings_(settings),
        shared_(shared),
        service_(service.name),
        name_(service.name + "/" + server.name),
        domain_(domain),
        slots_(server.slots),
        random_(settings.seed, server.id.Value()),
        packets_(BindUdp(server.address)),
        packet_watcher_(loop, packets_.Get(),
                        [this](io_watcher::readiness) { ReceivePackets(); }),
        listener_(ListenTcp(server.request_address)),
        listen_watcher_(loop, listener_.Get(),
                        [this](io_watcher::readiness) { Accept(); }) {
    packet_watcher_.WaitFor({true, false});
    listen_watcher_.WaitFor({true, false});
  }

  /// Records the current number of open flows for the report.
  void TakeSnapshot() { flows_at_snapshot_ = flows_.size(); }

  nlohmann::json Report() const {
    return {{"server", name_},
            {"service", service_},
            {"domain", domain_},
            {"flows_opened", flows_opened_},
            {"flows_open", flows_.size()},
            {"flows_at_snapshot", flows_at_snapshot_},
            {"requests", requests_run_},
            {"peak_running", peak_running_}};
  }

 private:
  void ReceivePackets() {
    for (const datagram& d : received_.Receive(packets_)) {
      try {
        OnPacket(ReadInnerPacket(d.bytes));
      } catch (const malformed_message&) {
        // Unrelated processes may send datagrams to the loopback address; the
        // server ignores them.
        continue;
      }
    }
  }

  void OnPacket(const inner_packet& packet) {
    const time_point now = loop_.Now();
    if (IsPast(shared_.domains_out, domain_, now)) {
      ++shared_.packets_after_withdrawal;
    }
    const bool opens = (packet.tcp_flags & kTcpSyn) != 0;
    if (opens) {
      if (IsPast(shared_.draining, name_, now)) ++shared_.new_work_after_drain;
      if (flows_.insert(packet.key).second) ++flows_opened_;
      return Answer(packet, kTcpSyn | kTcpAck);
    }
    if (!flows_.contains(packet.key)) {
      ++shared_.packets_of_unknown_flows;
      return Answer(packet, kTcpRst);
    }
    if ((packet.tcp_flags & kTcpFin) != 0) flows_.erase(packet.key);
    Answer(packet, kTcpAck);
  }

  /// Answers the client directly, with the service's address as the source.
  void Answer(const inner_packet& packet, uint8_t flags) {
    inner_packet reply;
    reply.key = {packet.key.service, packet.key.client, packet.key.protocol};
    reply.tcp_flags = flags;
    reply.sequence = packet.sequence;
    const std::string text = name_ + "@" + domain_;
    reply.payload.assign(text.begin(), text.end());
    const std::vector<uint8_t> bytes = BuildPacket(reply);
    const datagram d{{packet.key.client.address, settings_.client_port}, bytes};
    sent_.Send(packets_, {&d, 1});
  }

  void Accept() {
    for (unique_fd fd = AcceptTcp(listener_); fd.IsOpen();
         fd = AcceptTcp(listener_)) {
      const uint64_t id = ++last_connection_;
      http2_session::hooks actions;
      actions.request = [this, id](int32_t stream_id,
                                   const http2_message& message) {
        OnRequest(id, stream_id, message);
      };
      actions.cancelled = [](int32_t) {};
      actions.closed = [this, id] {
        loop_.Post([this, id] { connections_.erase(id); });
      };
      connections_[id] =
          http2_session::Server(loop_, std::move(fd), std::move(actions));
    }
  }

  void OnRequest(uint64_t connection, int32_t stream_id,
                 const http2_message& message) {
    if (IsPast(shared_.draining, name_, loop_.Now())) {
      ++shared_.new_work_after_drain;
    }
    if (running_.size() >= slots_) {
      ++shared_.requests_over_slots;
      return connections_.at(connection)->Refuse(stream_id);
    }
    const std::string request_id = message.Header(kRequestIdHeader);
    ++shared_.runs[request_id];
    ++requests_run_;
    const uint64_t run = ++last_run_;
    auto timer = std::make_unique<timer_watcher>(
        loop_, [this, connection, stream_id, request_id, run] {
          Finish(connection, stream_id, request_id);
          loop_.Post([this, run] { running_.erase(run); });
        });
    timer->StartOnce(DrawServiceTime());
    running_[run] = std::move(timer);
    peak_running_ = std::max(peak_running_, running_.size());
  }

  /// Draws an exponentially distributed processing time.
  duration DrawServiceTime() {
    const double factor = -std::log(1.0 - RandomUnit(random_));
    return std::chrono::duration_cast<duration>(settings_.service_time *
                                                factor);
  }

  void Finish(uint64_t connection, int32_t stream_id,
              const std::string& request_id) {
    const auto it = connections_.find(connection);
    if (it == connections_.end()) return;
    it->second->Respond(stream_id, {{{":status", "200"}},
                                    request_id + " " + name_ + "@" + domain_});
  }

  event_loop& loop_;
  const server_emulator_settings settings_;
  shared_state& shared_;
  const std::string service_;
  const std::string name_;
  const std::string domain_;
  const uint32_t slots_;
  random_source random_;

  // Flows.
  unique_fd packets_;
  io_watcher packet_watcher_;
  udp_batch received_;
  udp_batch sent_;
  std::set<flow_key> flows_;
  uint64_t flows_opened_ = 0;
  size_t flows_at_snapshot_ = 0;

  // Requests.
  unique_fd listener_;
  io_watcher listen_watcher_;
  std::map<uint64_t, std::unique_ptr<http2_session>> connections_;
  std::map<uint64_t, std::unique_ptr<timer_watcher>> running_;
  uint64_t last_connection_ = 0;
  uint64_t last_run_ = 0;
  uint64_t requests_run_ = 0;
  size_t peak_running_ = 0;
};

}  // namespace

class server_emulator::impl {
 public:
  impl(event_loop& loop, effective_config_ptr config,
       const server_emulator_settings& settings)
      : loop_(loop),
        config_(std::move(config)),
        control_(
            loop, settings.control,
            [this](const http_request& request, const http_responder& respond) {
              respond(Control(request));
            }) {
    for (const service_config& service : config_->services) {
      for (const backend_server_config& server : service.backend_servers) {
        const auto* domain = config_->FindDomain(server.failure_domain);
        servers_.push_back(std::make_unique<emulated_server>(
            loop, service, server, domain->name, settings, shared_));
      }
    }
  }

 private:
  http_response Control(const http_request& request) {
    const time_point bound = loop_.Now() + kWithdrawalBound;
    if (request.path == "/domain_out") {
      shared_.domains_out[request.query.at("name")] = bound;
    } else if (request.path == "/domain_in") {
      shared_.domains_out.erase(request.query.at("name"));
    } else if (request.path == "/drain") {
      shared_.draining[request.query.at("server")] = bound;
    } else if (request.path == "/snapshot") {
      for (const auto& server : servers_) server->TakeSnapshot();
    } else if (request.path == "/report") {
      return {200, {{"content-type", "application/json"}}, Report()};
    } else {
      return {
          404, {}, "known: domain_out, domain_in, drain, snapshot, report\n"};
    }
    return {200, {}, "ok\n"};
  }

  std::string Report() const {
    uint64_t run_twice = 0;
    for (const auto& [id, count] : shared_.runs) run_twice += count > 1 ? 1 : 0;
    nlohmann::json report = {
        {"packets_after_withdrawal", shared_.packets_after_withdrawal},
        {"new_work_after_drain", shared_.new_work_after_drain},
        {"packets_of_unknown_flows", shared_.packets_of_unknown_flows},
        {"requests_over_slots", shared_.requests_over_slots},
        {"requests_run_twice", run_twice},
        {"servers", nlohmann::json::array()}};
    for (const auto& server : servers_) {
      report["servers"].push_back(server->Report());
    }
    return report.dump();
  }

  event_loop& loop_;
  const effective_config_ptr config_;
  shared_state shared_;
  std::vector<std::unique_ptr<emulated_server>> servers_;
  http_server control_;
};

server_emulator::server_emulator(event_loop& loop, effective_config_ptr config,
                                 const server_emulator_settings& settings)
    : impl_(std::make_unique<impl>(loop, std::move(config), settings)) {}
server_emulator::~server_emulator() = default;

}  // namespace poplarstair
