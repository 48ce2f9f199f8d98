// Clients and the platform's routers (PROTOCOL.md, "Ingress" and "Flows").
#ifndef REVIEW_STANDINS_2_CLIENT_HPP_
#define REVIEW_STANDINS_2_CLIENT_HPP_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "packet.hpp"
#include "target.hpp"

namespace review {

/// One route as clients use it.
struct client_route {
  address service;
  std::string method;
  double deadline_ms = 1200;
};

struct request_counts {
  int asked = 0;
  int served = 0;
  int failed = 0;
};

/// The users behind one address. A user either keeps a flow for many requests,
/// with pauses, or opens a flow for each request.
class client {
 public:
  struct hooks {
    /// The address of the instance that gets a packet of the flow.
    std::function<address(const flow_key&)> route;
    /// The first packet of a new flow.
    std::function<void(const flow_key&)> opening;
    std::function<void(const flow_key&, const std::string& request)> sent;
    std::function<void(const flow_key&, const std::string& request,
                       const std::string& outcome)>
        ended;
    /// A reset has ended the flow; `is_open` if it was open at the client.
    std::function<void(const flow_key&, const packet&, bool is_open)> reset;
    /// A packet whose sum is wrong and that is no reset of the system.
    std::function<void(const packet&)> forged;
  };

  client(event_loop& loop, const address& local, uint64_t seed, hooks actions)
      : loop_(loop),
        local_(local),
        random_(seed),
        actions_(std::move(actions)) {
    socket_ = BindSocket(local, SOCK_DGRAM);
    if (socket_ < 0) CannotRun("bind client " + Text(local));
    loop_.OnReadable(socket_, [this] { Read(); });
    last_port_ = static_cast<uint16_t>(1024 + random_() % 20000);
  }

  /// A user who keeps a flow for `requests_per_flow`; when it ends, the next
  /// one has a new port.
  void AddUser(const client_route& route, double least_pause_ms,
               double most_pause_ms, int requests_per_flow) {
    Open({route, true, least_pause_ms, most_pause_ms, requests_per_flow});
  }
  /// A user who opens a flow for each request, from the same port as long as
  /// each is served; a further try has a new port.
  void AddUserOfOnePort(const client_route& route, double least_pause_ms,
                        double most_pause_ms) {
    habit user{route, true, least_pause_ms, most_pause_ms, 1};
    user.keeps_port = true;
    Open(user);
  }
  /// One request on a flow of its own.
  void Ask(const client_route& route) { Open({route, false, 0, 0, 1}); }

  const request_counts& Counts() const { return counts_; }
  /// Pauses of all users end; they ask no more.
  void Stop() { is_stopped_ = true; }

 private:
  struct habit {
    client_route route;
    bool keeps_flow = false;
    double least_pause_ms = 0;
    double most_pause_ms = 0;
    int requests_per_flow = 1;
    bool keeps_port = false;
    /// The port of the last flow, if that is to be used again; else 0.
    uint16_t port = 0;
  };
  struct flow {
    habit user;
    flow_key key;
    bool is_open = false;
    int syns = 0;
    uint32_t seq = 0;
    uint32_t ack = 0;
    uint32_t echo = 0;
    int requests = 0;
    /// The request under way.
    std::string request;
    packet sent;
    int sent_again = 0;
    double deadline = 0;
    uint64_t timer = 0;
  };

  void Open(const habit& user) {
    if (is_stopped_) return;
    const uint16_t port = user.port != 0 ? user.port : ++last_port_;
    if (last_port_ > 60000) last_port_ = 1024;
    flow& f = flows_[port];
    f = {};
    f.user = user;
    f.key = {{local_.ip, port}, user.route.service};
    f.seq = static_cast<uint32_t>(random_());
    f.request = NewRequest();
    f.deadline = loop_.Now() + user.route.deadline_ms;
    ++counts_.asked;
    actions_.opening(f.key);
    actions_.sent(f.key, f.request);
    SendSyn(port);
  }

  std::string NewRequest() {
    char text[32];
    std::snprintf(text, sizeof(text), "%016llx",
                  static_cast<unsigned long long>(random_()));
    return text;
  }

  /// Copies after 200 and 600 ms; `ack` counts them.
  void SendSyn(uint16_t port) {
    flow& f = flows_.at(port);
    packet syn = NewPacket(f, kSyn);
    syn.echo = 0;
    syn.ack = static_cast<uint32_t>(f.syns);
    Send(f, syn);
    const double wait[] = {200, 400, 800};
    f.timer = loop_.After(wait[f.syns++], [this, port] {
      if (flows_.at(port).syns < 3) return SendSyn(port);
      End(port, "never opened");
    });
  }

  void SendRequest(uint16_t port) {
    flow& f = flows_.at(port);
    f.sent = NewPacket(f, kAck);
    f.sent.data =
        f.user.route.method +
        " / HTTP/1.1\r\nHost: x\r\nX-Poplarstair-Request-Id: " + f.request +
        (f.user.keeps_port ? "\r\nConnection: close" : "") + "\r\n\r\n";
    f.seq += static_cast<uint32_t>(f.sent.data.size());
    f.sent_again = 0;
    Send(f, f.sent);
    RepeatLater(port);
  }

  void RepeatLater(uint16_t port) {
    flow& f = flows_.at(port);
    const double left = f.deadline - loop_.Now();
    const double wait = RepeatAfter(f.sent_again);
    if (left <= wait) {
      f.timer = loop_.After(std::max(left, 0.0),
                            [this, port] { End(port, "deadline"); });
      return;
    }
    f.timer = loop_.After(wait, [this, port] {
      flow& late = flows_.at(port);
      ++late.sent_again;
      late.sent.echo = late.echo;
      late.sent.ack = late.ack;
      Send(late, late.sent);
      RepeatLater(port);
    });
  }

  packet NewPacket(const flow& f, uint8_t flags) const {
    packet p;
    p.source = f.key.first;
    p.destination = f.key.second;
    p.flags = flags;
    p.echo = f.echo;
    p.seq = f.seq;
    p.ack = f.ack;
    return p;
  }

  void Send(const flow& f, packet p) {
    p.sum = SumOf(p);
    SendTo(socket_, actions_.route(f.key), Encode(p));
  }

  void Read() {
    char buffer[2048];
    for (;;) {
      const ssize_t got = recv(socket_, buffer, sizeof(buffer), 0);
      if (got < 0) return;
      const auto p = Decode(buffer, static_cast<size_t>(got));
      if (!p) continue;
      const bool is_systems_reset = p->Has(kRst) && p->sum == 0;
      if (!is_systems_reset && p->sum != SumOf(*p)) {
        actions_.forged(*p);
        continue;
      }
      OnPacket(*p);
    }
  }

  void OnPacket(const packet& p) {
    const uint16_t port = p.destination.port;
    const auto it = flows_.find(port);
    if (it == flows_.end() || p.source != it->second.key.second) return;
    flow& f = it->second;
    if (p.Has(kRst)) {
      constexpr int32_t kResetWindow = 76800;
      const auto distance = static_cast<int32_t>(p.seq - f.ack);
      if (f.is_open && std::abs(distance) > kResetWindow) return;
      actions_.reset(f.key, p, f.is_open);
      return End(port, "reset");
    }
    // The last echo received on the flow goes into its packets.
    f.echo = p.echo;
    if (p.Has(kSyn)) {
      if (f.is_open) return;
      loop_.Cancel(f.timer);
      f.is_open = true;
      f.seq += 1;
      f.ack = p.seq + 1;
      return SendRequest(port);
    }
    if (!p.data.empty()) {
      if (p.seq != f.ack) return Send(f, NewPacket(f, kAck));
      f.ack += static_cast<uint32_t>(p.data.size());
      OnAnswer(port, f, p);
      if (!flows_.contains(port)) return;
    }
    if (p.Has(kFin)) {
      f.ack += 1;
      Send(f, NewPacket(f, kAck | kFin));
      const habit user = f.user;
      const bool was_asking = !f.request.empty();
      if (was_asking) return End(port, "closed");
      loop_.Cancel(f.timer);
      flows_.erase(port);
      if (user.keeps_port) {
        std::uniform_real_distribution<double> pause(user.least_pause_ms,
                                                     user.most_pause_ms);
        loop_.After(pause(random_), [this, user] { Open(user); });
      } else if (user.keeps_flow) {
        Open(user);
      }
    }
  }

  void OnAnswer(uint16_t port, flow& f, const packet& p) {
    if (f.request.empty()) return Send(f, NewPacket(f, kAck));
    loop_.Cancel(f.timer);
    const bool is_served = p.data.find(" 200 ") != std::string::npos;
    ++(is_served ? counts_.served : counts_.failed);
    const bool is_own = p.data.find(f.request) != std::string::npos;
    actions_.ended(
        f.key, f.request,
        is_served ? (is_own ? "served" : "foreign answer") : "not executed");
    f.request.clear();
    std::uniform_real_distribution<double> pause(f.user.least_pause_ms,
                                                 f.user.most_pause_ms);
    if (f.user.keeps_port) {
      // The target closes first, as the request asks for; the port is free as
      // soon as the flow is closed.
      f.user.port = is_served ? port : 0;
      return Send(f, NewPacket(f, kAck));
    }
    if (++f.requests >= f.user.requests_per_flow) {
      Send(f, NewPacket(f, kAck | kFin));
      const habit user = f.user;
      flows_.erase(port);
      if (user.keeps_flow) {
        loop_.After(pause(random_), [this, user] { Open(user); });
      }
      return;
    }
    Send(f, NewPacket(f, kAck));
    f.timer = loop_.After(pause(random_), [this, port] {
      flow& idle = flows_.at(port);
      if (is_stopped_) return;
      idle.request = NewRequest();
      idle.deadline = loop_.Now() + idle.user.route.deadline_ms;
      ++counts_.asked;
      actions_.sent(idle.key, idle.request);
      SendRequest(port);
    });
  }

  /// The flow has ended without the answer. The user goes on with a new one.
  void End(uint16_t port, const std::string& outcome) {
    flow& f = flows_.at(port);
    loop_.Cancel(f.timer);
    if (!f.request.empty()) {
      ++counts_.failed;
      actions_.ended(f.key, f.request, outcome);
    }
    habit user = f.user;
    user.port = 0;
    flows_.erase(port);
    if (user.keeps_flow) {
      loop_.After(200, [this, user] { Open(user); });
    }
  }

  event_loop& loop_;
  const address local_;
  std::mt19937_64 random_;
  const hooks actions_;
  int socket_ = -1;
  uint16_t last_port_ = 1024;
  std::map<uint16_t, flow> flows_;
  request_counts counts_;
  bool is_stopped_ = false;
};

}  // namespace review

#endif  // REVIEW_STANDINS_2_CLIENT_HPP_
