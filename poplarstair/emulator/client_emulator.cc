#include "poplarstair/emulator/client_emulator.h"

#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "poplarstair/core/error.h"
#include "poplarstair/core/random.h"
#include "poplarstair/emulator/request_load.h"
#include "poplarstair/io/http_server.h"
#include "poplarstair/io/socket.h"
#include "poplarstair/wire/encapsulation.h"

namespace poplarstair {

namespace {

constexpr duration kTick = std::chrono::milliseconds(10);
constexpr duration kRetransmitAfter = std::chrono::milliseconds(200);
/// A flow counts as broken when a packet stays unanswered after this many
/// retransmissions.
constexpr int kMaxRetransmits = 10;
constexpr uint16_t kFirstClientPort = 1024;

enum class flow_kind : uint8_t { kFeed, kUpload };

/// A flow as its client sees it.
struct client_flow {
  flow_key key;
  std::string service;
  flow_kind kind = flow_kind::kFeed;
  bool is_open = false;
  uint32_t sequence = 0;
  bool awaits_answer = false;
  int retransmits = 0;
  time_point next_send;
  time_point end_at = kNever;
  /// "service/server@domain", as the server reports it in its first answer;
  /// empty until then.
  std::string server;
};

std::string ServiceName(const std::string& server) {
  return server.substr(0, server.find('/'));
}

std::string DomainName(const std::string& server) {
  const size_t at = server.find('@');
  return at == std::string::npos ? "" : server.substr(at + 1);
}

}  // namespace

class client_emulator::impl {
 public:
  impl(event_loop& loop, effective_config_ptr config,
       const client_emulator_settings& settings)
      : loop_(loop),
        config_(std::move(config)),
        settings_(settings),
        random_(settings.seed),
        socket_(BindUdp(settings.local)),
        watcher_(loop, socket_.Get(),
                 [this](io_watcher::readiness) { ReceiveAnswers(); }),
        tick_timer_(loop, [this] { OnTick(); }),
        requests_(loop, *config_, settings),
        control_(
            loop, settings.control,
            [this](const http_request& request, const http_responder& respond) {
              respond(Control(request));
            }) {
    watcher_.WaitFor({true, false});
    tick_timer_.StartRepeating(kTick);
    for (const service_config& service : config_->services) {
      for (uint32_t i = 0; i < settings_.feeds; ++i) {
        Open(service, flow_kind::kFeed);
      }
      for (uint32_t i = 0; i < settings_.uploads; ++i) {
        Open(service, flow_kind::kUpload);
      }
    }
  }

 private:
  void Open(const service_config& service, flow_kind kind) {
    client_flow flow;
    flow.key.client = {settings_.local.address, NextPort()};
    flow.key.service = service.addresses.front();
    flow.service = service.name;
    flow.kind = kind;
    // Spread over one second to avoid a burst of new flows.
    flow.next_send =
        loop_.Now() + RandomBelow(random_, 1000) * std::chrono::milliseconds(1);
    if (kind == flow_kind::kUpload) {
      flow.end_at = flow.next_send + settings_.upload_length;
    }
    flows_[flow.key.client.port] = std::move(flow);
  }

  uint16_t NextPort() {
    do {
      if (++last_port_ < kFirstClientPort) last_port_ = kFirstClientPort;
    } while (flows_.contains(last_port_));
    return last_port_;
  }

  void OnTick() {
    const time_point now = loop_.Now();
    std::vector<uint16_t> finished;
    for (auto& [port, flow] : flows_) {
      if (now >= flow.next_send && !Advance(now, flow)) {
        finished.push_back(port);
      }
    }
    for (const uint16_t port : finished) Replace(port);
  }

  /// Sends the packet that is due; returns false when the flow has ended.
  bool Advance(time_point now, client_flow& flow) {
    if (flow.awaits_answer) {
      if (++flow.retransmits > kMaxRetransmits) {
        CountEnd(flow, "silent");
        return false;
      }
    } else if (flow.is_open && now >= flow.end_at) {
      Send(flow, kTcpFin | kTcpAck);
      ++completed_;
      return false;
    } else {
      ++flow.sequence;
      flow.awaits_answer = true;
    }
    Send(flow, flow.is_open ? kTcpAck : kTcpSyn);
    flow.next_send = now + kRetransmitAfter;
    return true;
  }

  void Send(const client_flow& flow, int flags) {
    const std::vector<uint8_t> bytes =
        BuildPacket({flow.key, static_cast<uint8_t>(flags), flow.sequence, {}});
    const datagram d{settings_.fabric, bytes};
    sent_.Send(socket_, {&d, 1});
  }

  void ReceiveAnswers() {
    for (const datagram& d : received_.Receive(socket_)) {
      try {
        OnAnswer(ReadInnerPacket(d.bytes));
      } catch (const malformed_message&) {
        ++malformed_answers_;
      }
    }
  }

  void OnAnswer(const inner_packet& packet) {
    const uint16_t port = packet.key.service.port;
    const auto it = flows_.find(port);
    if (it == flows_.end()) return;
    client_flow& flow = it->second;
    const std::string server(packet.payload.begin(), packet.payload.end());
    if (ServiceName(server) != flow.service) ++wrong_service_;
    if ((packet.tcp_flags & kTcpRst) != 0) {
      CountEnd(flow, "reset by " + server);
      return Replace(port);
    }
    if (packet.sequence != flow.sequence || !flow.awaits_answer) return;
    if (!flow.is_open) {
      flow.is_open = true;
      flow.server = server;
      ++opened_;
    }
    flow.awaits_answer = false;
    flow.retransmits = 0;
    flow.next_send = loop_.Now() + (flow.kind == flow_kind::kFeed
                                        ? settings_.feed_interval
                                        : settings_.upload_interval);
  }

  void CountEnd(const client_flow& flow, const std::string& how) {
    if (domains_out_.contains(DomainName(flow.server))) {
      ++given_up_;
    } else if (!flow.is_open) {
      ++failed_opens_;
    } else {
      ++broken_;
      if (first_broken_.empty()) {
        first_broken_ = flow.service + " flow at " + flow.server + " " + how;
      }
    }
  }

  void Replace(uint16_t port) {
    const client_flow old = std::move(flows_.at(port));
    flows_.erase(port);
    if (!stopping_) Open(*config_->FindServiceByName(old.service), old.kind);
  }

  http_response Control(const http_request& request) {
    if (request.path == "/domain_out") {
      domains_out_.insert(request.query.at("name"));
      requests_.BeginDomainOutage();
    } else if (request.path == "/domain_in") {
      // Flows that end in the domain later still count as given up.
      requests_.EndDomainOutage();
    } else if (request.path == "/stop") {
      stopping_ = true;
      requests_.Stop();
    } else if (request.path == "/report") {
      return {200, {{"content-type", "application/json"}}, Report()};
    } else {
      return {404, {}, "known: domain_out, domain_in, stop, report\n"};
    }
    return {200, {}, "ok\n"};
  }

  std::string Report() const {
    uint64_t open = 0;
    for (const auto& [port, flow] : flows_) open += flow.is_open ? 1 : 0;
    nlohmann::json report = {{"flows_opened", opened_},
                             {"flows_open", open},
                             {"flows_completed", completed_},
                             {"flows_broken", broken_},
                             {"first_broken", first_broken_},
                             {"flows_given_up", given_up_},
                             {"failed_opens", failed_opens_},
                             {"wrong_service", wrong_service_},
                             {"malformed_answers", malformed_answers_}};
    requests_.AddTo(report);
    return report.dump();
  }

  event_loop& loop_;
  const effective_config_ptr config_;
  const client_emulator_settings settings_;
  random_source random_;
  unique_fd socket_;
  io_watcher watcher_;
  udp_batch received_;
  udp_batch sent_;
  timer_watcher tick_timer_;
  std::map<uint16_t, client_flow> flows_;
  uint16_t last_port_ = 0;
  std::set<std::string> domains_out_;
  bool stopping_ = false;

  // How flows ended, and errors in the servers' answers.
  uint64_t opened_ = 0;
  uint64_t completed_ = 0;
  uint64_t broken_ = 0;
  uint64_t given_up_ = 0;
  uint64_t failed_opens_ = 0;
  uint64_t wrong_service_ = 0;
  uint64_t malformed_answers_ = 0;
  std::string first_broken_;

  request_load requests_;
  http_server control_;
};

client_emulator::client_emulator(event_loop& loop, effective_config_ptr config,
                                 const client_emulator_settings& settings)
    : impl_(std::make_unique<impl>(loop, std::move(config), settings)) {}
client_emulator::~client_emulator() = default;

}  // namespace poplarstair
