// Backend servers (targets) as PROTOCOL.md, "Flows", "Targets" and "Service
// discovery" describe them.
#ifndef REVIEW_STANDINS_2_TARGET_HPP_
#define REVIEW_STANDINS_2_TARGET_HPP_

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "packet.hpp"
#include "store.hpp"

namespace review {

/// Times between the transmissions of an unacknowledged packet.
inline double RepeatAfter(int sent_again) {
  return std::min(200.0 * (1 << std::min(sent_again, 3)), 1600.0);
}

struct target_settings {
  uint64_t id = 0;
  std::string service;
  std::string zone;
  address local;
  uint16_t client_port = 0;
  int slots = 3;
  /// Mean time of a request.
  double work_ms = 40;
  /// How long it is slow after a start, and how much slower.
  double cold_ms = 2000;
  double cold_factor = 1.6;
  double heartbeat_ms = 1200;
};

class target {
 public:
  struct hooks {
    /// A SYN that the target takes has arrived; `is_new` for the first one of
    /// its flow.
    std::function<void(const target&, const packet&, bool is_new)> syn;
    /// A flow is open: the target has the end of the handshake.
    std::function<void(const target&, const flow_key&)> opened;
    /// A packet for this target, other than a SYN, has arrived.
    std::function<void(const target&, const flow_key&, const packet&)> arrived;
    /// It has sent a reset.
    std::function<void(const target&, const flow_key&)> reset;
    std::function<void(const target&, const std::string& request)> ran;
    /// True if the network loses this packet, which the target is about to
    /// send.
    std::function<bool(const target&, const flow_key&, const packet&)> is_lost;
  };

  target(event_loop& loop, store& registry, const target_settings& settings,
         uint64_t seed, hooks actions)
      : loop_(loop),
        registry_(registry),
        settings_(settings),
        random_(seed),
        actions_(std::move(actions)) {
    packets_ = BindSocket(settings_.local, SOCK_DGRAM);
    if (packets_ < 0) CannotRun("bind target " + Text(settings_.local));
    loop_.OnReadable(packets_, [this] { Read(); });
    Start(false);
    Beat();
  }

  const target_settings& Settings() const { return settings_; }
  std::string Name() const {
    char text[32];
    std::snprintf(text, sizeof(text), "i-%010llx",
                  static_cast<unsigned long long>(settings_.id));
    return text;
  }
  bool IsAlive() const { return is_alive_; }
  bool IsCold() const { return loop_.Now() < cold_until_; }
  bool HoldsFlow(const flow_key& key) const {
    const auto it = flows_.find(key);
    return it != flows_.end() && it->second.is_open;
  }
  size_t Flows() const { return flows_.size(); }

  /// Starts, or starts anew under the same id, and registers.
  void Start(bool is_cold) {
    ++life_;
    is_alive_ = true;
    is_draining_ = false;
    timespec t{};
    clock_gettime(CLOCK_REALTIME, &t);
    born_ms_ = static_cast<int64_t>(t.tv_sec) * 1000 + t.tv_nsec / 1000000;
    cold_until_ = is_cold ? loop_.Now() + settings_.cold_ms : 0;
    health_ = BindSocket(settings_.local, SOCK_STREAM);
    if (health_ < 0) CannotRun("bind health " + Text(settings_.local));
    loop_.OnReadable(health_, [this] { AcceptHealth(); });
    Register();
  }
  /// The process ends without a word and forgets its flows; its machine goes
  /// on and answers packets with resets.
  void Crash() {
    is_alive_ = false;
    flows_.clear();
    running_ = 0;
    queue_.clear();
    for (const int fd : health_channels_) {
      loop_.Forget(fd);
      close(fd);
    }
    health_channels_.clear();
    loop_.Forget(health_);
    close(health_);
  }
  void Drain() {
    is_draining_ = true;
    Register();
  }
  /// Becomes as slow as after a start, and says so.
  void TurnCold() {
    cold_until_ = loop_.Now() + settings_.cold_ms;
    Register();
  }
  /// Writes the entry; false if the store does not answer.
  bool Register() {
    const int cold_left =
        static_cast<int>(std::max(cold_until_ - loop_.Now(), 0.0));
    return registry_.Put(
        "servers", Name(),
        "{\"service\":\"" + settings_.service + "\",\"address\":\"" +
            Text(settings_.local) + "\",\"zone\":\"" + settings_.zone +
            "\",\"version\":\"v1\",\"slots\":" +
            std::to_string(settings_.slots) + ",\"state\":\"" +
            (is_draining_ ? "draining" : "ready") +
            "\",\"cold_remaining_ms\":" + std::to_string(cold_left) +
            ",\"born\":" + std::to_string(born_ms_) + ",\"seq\":1}");
  }

 private:
  struct flow {
    uint32_t own_seq = 0;
    uint32_t expected = 0;
    uint32_t echo = 0;
    bool is_open = false;
    bool is_closing = false;
    /// The request under way asks to close the flow after its answer.
    bool is_last_request = false;
    bool has_sent_fin = false;
    /// What the client has not acknowledged yet.
    packet unacknowledged;
    bool has_unacknowledged = false;
    int sent_again = 0;
    uint64_t timer = 0;
    bool is_working = false;
  };
  struct job {
    uint64_t life = 0;
    flow_key key;
    std::string request;
  };

  /// Entries change with more than `seq` only when something else does.
  void Beat() {
    if (is_alive_) Register();
    loop_.After(settings_.heartbeat_ms, [this] { Beat(); });
  }

  void AcceptHealth() {
    const int fd =
        accept4(health_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    health_channels_.push_back(fd);
    loop_.OnReadable(fd, [this, fd] {
      char buffer[2048];
      const ssize_t got = read(fd, buffer, sizeof(buffer));
      if (got > 0) {
        static const std::string kOk =
            "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
        if (write(fd, kOk.data(), kOk.size()) > 0) return;
      }
      loop_.Forget(fd);
      close(fd);
      std::erase(health_channels_, fd);
    });
  }

  void Read() {
    char buffer[2048];
    for (;;) {
      const ssize_t got = recv(packets_, buffer, sizeof(buffer), 0);
      if (got < 0) return;
      if (got < 8) continue;
      uint64_t intended = 0;
      for (int i = 0; i < 8; ++i) {
        intended = intended << 8U | static_cast<uint8_t>(buffer[i]);
      }
      if (intended != 0 && intended != settings_.id) continue;
      const auto p = Decode(buffer + 8, static_cast<size_t>(got) - 8);
      if (!p || p->sum != SumOf(*p)) continue;
      OnPacket(*p);
    }
  }

  void OnPacket(const packet& p) {
    const flow_key key{p.source, p.destination};
    if (!is_alive_) return SendReset(key, p);
    if (p.Has(kSyn)) return OnSyn(key, p);
    actions_.arrived(*this, key, p);
    const auto it = flows_.find(key);
    // The flow opens at the target whose seq the client acknowledges.
    const bool is_held =
        it != flows_.end() &&
        (it->second.is_open || p.ack == it->second.own_seq + 1);
    if (!is_held) {
      if (!p.Has(kRst)) SendReset(key, p);
      return;
    }
    flow& f = it->second;
    f.echo = p.echo;
    if (!f.is_open) {
      f.is_open = true;
      f.own_seq += 1;
      StopRepeating(f);
      actions_.opened(*this, key);
    }
    if (p.Has(kRst)) return Close(key);
    if (f.has_unacknowledged &&
        p.ack == f.unacknowledged.seq + f.unacknowledged.data.size()) {
      StopRepeating(f);
      if (f.is_closing) SendFin(key, f);
    }
    if (!p.data.empty()) OnData(key, f, p);
    if (p.Has(kFin)) {
      packet reply = Reply(key, f, f.has_sent_fin ? kAck : kAck | kFin);
      if (f.has_sent_fin) reply.seq += 1;
      reply.ack = p.seq + static_cast<uint32_t>(p.data.size()) + 1;
      Send(key, reply);
      Close(key);
    }
  }

  void OnSyn(const flow_key& key, const packet& p) {
    const auto [it, is_new] = flows_.try_emplace(key);
    flow& f = it->second;
    actions_.syn(*this, p, is_new);
    if (!is_new) {
      if (!f.is_open) Send(key, f.unacknowledged);
      return;
    }
    f.own_seq = static_cast<uint32_t>(random_());
    f.expected = p.seq + 1;
    f.echo = p.echo;
    packet reply = Reply(key, f, kSyn | kAck);
    SendUntilAcknowledged(key, f, reply);
  }

  void OnData(const flow_key& key, flow& f, const packet& p) {
    if (p.seq != f.expected) {
      // Seen before: the answer, if there is one, is repeated by its timer.
      Send(key, Reply(key, f, kAck));
      return;
    }
    f.expected += static_cast<uint32_t>(p.data.size());
    f.is_working = true;
    f.is_last_request =
        p.data.find("\r\nConnection: close\r\n") != std::string::npos;
    const std::string header = "X-Poplarstair-Request-Id: ";
    const size_t at = p.data.find(header);
    const std::string request =
        at == std::string::npos
            ? ""
            : p.data.substr(at + header.size(),
                            p.data.find("\r\n", at) - at - header.size());
    Send(key, Reply(key, f, kAck));
    const size_t most_waiting = 12;
    if (running_ < settings_.slots) return Run({life_, key, request});
    if (queue_.size() < most_waiting)
      return queue_.push_back({life_, key, request});
    Respond(key,
            "HTTP/1.1 503 Service Unavailable\r\n"
            "X-Poplarstair-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
  }

  void Run(const job& started) {
    ++running_;
    actions_.ran(*this, started.request);
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    const double factor = IsCold() ? settings_.cold_factor : 1;
    loop_.After(settings_.work_ms * factor * spread(random_), [this, started] {
      if (started.life != life_ || !is_alive_) return;
      --running_;
      Respond(started.key,
              "HTTP/1.1 200 OK\r\nX-Poplarstair-Server-Stamp: " + Name() +
                  "\r\nX-Poplarstair-Request-Id: " + started.request +
                  "\r\nContent-Length: 5\r\n\r\nhello");
      if (queue_.empty()) return;
      const job next = queue_.front();
      queue_.erase(queue_.begin());
      Run(next);
    });
  }

  void Respond(const flow_key& key, const std::string& text) {
    const auto it = flows_.find(key);
    if (it == flows_.end()) return;
    flow& f = it->second;
    f.is_working = false;
    f.is_closing = is_draining_ || f.is_last_request;
    packet reply = Reply(key, f, kAck);
    reply.data = text;
    f.own_seq += static_cast<uint32_t>(text.size());
    SendUntilAcknowledged(key, f, reply);
  }

  void SendFin(const flow_key& key, flow& f) {
    packet fin = Reply(key, f, kAck | kFin);
    Send(key, fin);
    f.is_closing = false;
    f.has_sent_fin = true;
  }

  packet Reply(const flow_key& key, const flow& f, uint8_t flags) const {
    packet p;
    p.source = key.second;
    p.destination = key.first;
    p.flags = flags;
    p.echo = f.echo;
    p.seq = f.own_seq;
    p.ack = f.expected;
    return p;
  }

  void SendUntilAcknowledged(const flow_key& key, flow& f, const packet& p) {
    f.unacknowledged = p;
    f.has_unacknowledged = true;
    f.sent_again = 0;
    Send(key, p);
    RepeatLater(key, f);
  }

  void RepeatLater(const flow_key& key, flow& f) {
    f.timer = loop_.After(RepeatAfter(f.sent_again), [this, key, life = life_] {
      const auto it = flows_.find(key);
      if (life != life_ || it == flows_.end()) return;
      flow& late = it->second;
      constexpr int kMostRepeats = 8;
      if (++late.sent_again > kMostRepeats) return Close(key);
      Send(key, late.unacknowledged);
      RepeatLater(key, late);
    });
  }

  void StopRepeating(flow& f) {
    loop_.Cancel(f.timer);
    f.has_unacknowledged = false;
  }

  void Close(const flow_key& key) {
    const auto it = flows_.find(key);
    if (it == flows_.end()) return;
    loop_.Cancel(it->second.timer);
    flows_.erase(it);
  }

  void SendReset(const flow_key& key, const packet& p) {
    packet reset;
    reset.source = key.second;
    reset.destination = key.first;
    reset.flags = kRst;
    reset.seq = p.ack;
    actions_.reset(*this, key);
    Send(key, reset);
  }

  /// Packets for a client go to its address, at the platform's port.
  void Send(const flow_key& key, packet p) {
    p.sum = SumOf(p);
    if (actions_.is_lost && actions_.is_lost(*this, key, p)) return;
    SendTo(packets_, {key.first.ip, settings_.client_port}, Encode(p));
  }

  event_loop& loop_;
  store& registry_;
  const target_settings settings_;
  std::mt19937_64 random_;
  const hooks actions_;
  int packets_ = -1;
  int health_ = -1;
  std::vector<int> health_channels_;
  uint64_t life_ = 0;
  bool is_alive_ = false;
  bool is_draining_ = false;
  int64_t born_ms_ = 0;
  double cold_until_ = 0;
  std::map<flow_key, flow> flows_;
  int running_ = 0;
  std::vector<job> queue_;
};

}  // namespace review

#endif  // REVIEW_STANDINS_2_TARGET_HPP_
