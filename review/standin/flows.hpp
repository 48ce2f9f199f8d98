// Both ends of a flow, as PROTOCOL.md tells them: packets, targets, clients.
#ifndef REVIEW_STANDIN_FLOWS_HPP_
#define REVIEW_STANDIN_FLOWS_HPP_

#include <algorithm>
#include <cstring>
#include <optional>

#include "review/standin/net.hpp"

namespace standin {

constexpr uint8_t kAck = 1, kFin = 2, kSyn = 4, kRst = 16, kBounced = 64;
constexpr size_t kHeaderBytes = 32;

struct packet {
  address source;
  address destination;
  uint8_t flags = 0;
  uint32_t sum = 0;
  uint32_t echo = 0;
  uint32_t seq = 0;
  uint32_t ack = 0;
  std::string data;
  bool Has(uint8_t flag) const { return (flags & flag) != 0; }
};

inline void Append(std::string& bytes, uint64_t value, int width) {
  for (int i = width - 1; i >= 0; --i) {
    bytes.push_back(static_cast<char>(value >> (8 * i)));
  }
}
inline uint64_t Load(const std::string& bytes, size_t offset, int width) {
  uint64_t value = 0;
  for (int i = 0; i < width; ++i) {
    value = value << 8 | static_cast<uint8_t>(bytes[offset + i]);
  }
  return value;
}

/// The ends' keyed sum: over everything but itself, echo, pad and BOUNCED.
inline uint32_t SumOf(std::string bytes) {
  bytes[12] = static_cast<char>(bytes[12] & ~kBounced);
  std::fill(bytes.begin() + 13, bytes.begin() + 22, '\0');
  uint64_t hash = 0xcbf29ce484222325;
  for (const char c : "key of both ends" + bytes) {
    hash = (hash ^ static_cast<uint8_t>(c)) * 0x100000001b3;
  }
  const auto sum = static_cast<uint32_t>(hash ^ hash >> 32);
  return sum == 0 ? 1 : sum;
}

inline std::string Encode(const packet& p) {
  std::string bytes;
  Append(bytes, p.source.port, 2);
  Append(bytes, p.destination.ip, 4);
  Append(bytes, p.destination.port, 2);
  Append(bytes, p.source.ip, 4);
  Append(bytes, p.flags, 1);
  Append(bytes, 0, 1);
  Append(bytes, 0, 4);
  Append(bytes, p.echo, 4);
  Append(bytes, p.seq, 4);
  Append(bytes, p.ack, 4);
  Append(bytes, p.data.size(), 2);
  bytes += p.data;
  std::string sum;
  Append(sum, SumOf(bytes), 4);
  return bytes.replace(14, 4, sum);
}

/// Nothing unless the bytes are a packet that an end has signed, or an
/// unsigned reset.
inline std::optional<packet> Decode(const std::string& bytes) {
  if (bytes.size() < kHeaderBytes) return std::nullopt;
  packet p;
  p.source = {static_cast<uint32_t>(Load(bytes, 8, 4)),
              static_cast<uint16_t>(Load(bytes, 0, 2))};
  p.destination = {static_cast<uint32_t>(Load(bytes, 2, 4)),
                   static_cast<uint16_t>(Load(bytes, 6, 2))};
  p.flags = static_cast<uint8_t>(bytes[12]);
  p.sum = static_cast<uint32_t>(Load(bytes, 14, 4));
  p.echo = static_cast<uint32_t>(Load(bytes, 18, 4));
  p.seq = static_cast<uint32_t>(Load(bytes, 22, 4));
  p.ack = static_cast<uint32_t>(Load(bytes, 26, 4));
  p.data = bytes.substr(kHeaderBytes);
  if (p.data.size() != Load(bytes, 30, 2)) return std::nullopt;
  const bool is_unsigned_reset = p.Has(kRst) && p.sum == 0;
  if (!is_unsigned_reset && p.sum != SumOf(bytes)) return std::nullopt;
  return p;
}

inline void SendDatagram(int fd, const address& to, const std::string& bytes) {
  const sockaddr_in s = to.Native();
  sendto(fd, bytes.data(), bytes.size(), 0,
         reinterpret_cast<const sockaddr*>(&s), sizeof(s));
}

/// Seconds until the retransmission after `sent` transmissions.
inline double RetransmitAfter(int sent) {
  return std::min(0.2 * (1 << std::min(sent - 1, 3)), 1.6);
}

/// One lifetime of a target.
class target {
 public:
  struct hooks {
    std::function<void(const std::string& line)> record;
    /// An opening packet has been taken.
    std::function<void(const packet&)> opened;
    /// False loses the packet on the way to the client.
    std::function<bool(const packet&)> delivers;
    /// False loses the packet on the way here.
    std::function<bool(const packet&)> arrives;
    /// A packet has arrived that is meant for another target.
    std::function<void(const packet&)> astray;
  };

  target(event_loop& loop, std::string id, const address& local,
         uint16_t client_port, double work_s, hooks actions)
      : loop_(loop),
        id_(std::move(id)),
        local_(local),
        client_port_(client_port),
        work_s_(work_s),
        actions_(std::move(actions)),
        health_(loop, local,
                [](const std::string&, const http_server::responder& respond) {
                  respond(200, "{}");
                }) {
    number_ = std::stoull(id_.substr(id_.rfind('-') + 1), nullptr, 16);
    socket_ = BindSocket(local, SOCK_DGRAM);
    if (socket_ >= 0) {
      loop_.Watch(socket_, POLLIN, [this](short) { ReadAll(); });
    }
  }
  bool IsBound() const { return socket_ >= 0 && health_.IsOpen(); }
  const std::string& Id() const { return id_; }
  const address& Local() const { return local_; }
  /// The process ends; its flows are gone.
  void Exit() {
    if (socket_ < 0) return;
    loop_.Forget(socket_);
    close(socket_);
    socket_ = -1;
    health_.ShutDown();
    flows_.clear();
    actions_.record("target " + id_ + " exits");
  }

 private:
  struct flow {
    uint64_t serial = 0;
    uint32_t own = 0;     // First sequence number of its own.
    uint32_t next = 0;    // Next own byte.
    uint32_t wanted = 0;  // Next byte of the client.
    uint32_t echo = 0;
    bool is_open = false;
    std::string input;
    std::string unacknowledged;
  };
  using key = std::pair<address, address>;

  void ReadAll() {
    char buffer[2048];
    for (;;) {
      const ssize_t n = recv(socket_, buffer, sizeof(buffer), 0);
      if (n < 0) return;
      const std::string bytes(buffer, static_cast<size_t>(n));
      if (bytes.size() < 8) continue;
      const uint64_t wanted = Load(bytes, 0, 8);
      const auto p = Decode(bytes.substr(8));
      if (!p) continue;
      if (wanted != 0 && wanted != number_) {
        actions_.astray(*p);
      } else if (actions_.arrives(*p)) {
        Take(*p);
      }
      if (socket_ < 0) return;
    }
  }

  void Take(const packet& p) {
    const key k(p.source, p.destination);
    const auto it = flows_.find(k);
    if (p.Has(kSyn)) return TakeSyn(k, p);
    if (it == flows_.end()) return Reset(p);
    flow& f = it->second;
    if (p.Has(kRst)) {
      flows_.erase(it);
      return;
    }
    if (!f.is_open) {
      // The client's next packet opens the flow at the target whose sequence
      // number it acknowledges. Here that is not this one: the flow is not
      // held here.
      if (p.ack != f.own + 1) return Reset(p);
      f.is_open = true;
      actions_.record("target " + id_ + " opens flow " + p.source.Text());
    }
    f.echo = p.echo;
    if (!f.unacknowledged.empty() && p.ack == f.next) f.unacknowledged.clear();
    if (!p.data.empty()) TakeData(k, f, p);
  }

  void TakeSyn(const key& k, const packet& p) {
    flow& f = flows_[k];
    if (f.is_open) return;
    if (f.serial == 0) {
      f.serial = ++last_serial_;
      f.own = static_cast<uint32_t>(number_ * 2654435761U + last_serial_ * 97);
      f.next = f.own + 1;
      f.wanted = p.seq + 1;
      f.echo = p.echo;
      actions_.opened(p);
      AnswerSyn(k, f.serial, 1);
      return;
    }
    f.echo = p.echo;
    Send(k, f, kSyn | kAck, f.own, "");
  }

  void AnswerSyn(const key& k, uint64_t serial, int sent) {
    constexpr int kMostRetransmissions = 8;
    const auto it = flows_.find(k);
    if (it == flows_.end() || it->second.serial != serial) return;
    flow& f = it->second;
    if (f.is_open) return;
    if (sent > 1 + kMostRetransmissions) {
      flows_.erase(it);
      return;
    }
    Send(k, f, kSyn | kAck, f.own, "");
    loop_.After(RetransmitAfter(sent),
                [this, k, serial, sent] { AnswerSyn(k, serial, sent + 1); });
  }

  void TakeData(const key& k, flow& f, const packet& p) {
    if (p.seq == f.wanted) {
      f.wanted += static_cast<uint32_t>(p.data.size());
      f.input += p.data;
    }
    Send(k, f, kAck, f.next, "");
    const size_t end = f.input.find("\r\n\r\n");
    if (end == std::string::npos) return;
    const std::string head = f.input.substr(0, end);
    f.input.erase(0, end + 4);
    const size_t at = head.find("X-Poplarstair-Request-Id: ");
    const std::string request = head.substr(at + 26);
    actions_.record("target " + id_ + " runs request " + request);
    loop_.After(work_s_, [this, k, serial = f.serial, request] {
      const auto it = flows_.find(k);
      if (it == flows_.end() || it->second.serial != serial) return;
      flow& open = it->second;
      const std::string body = "done " + request;
      open.unacknowledged =
          "HTTP/1.1 200 OK\r\nX-Poplarstair-Server-Stamp: " + id_ +
          "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
          body;
      open.next += static_cast<uint32_t>(open.unacknowledged.size());
      Answer(k, serial, open.next, 1);
    });
  }

  void Answer(const key& k, uint64_t serial, uint32_t end, int sent) {
    constexpr int kMostRetransmissions = 8;
    const auto it = flows_.find(k);
    if (it == flows_.end() || it->second.serial != serial) return;
    flow& f = it->second;
    if (f.unacknowledged.empty() || f.next != end) return;
    if (sent > 1 + kMostRetransmissions) return;
    const auto size = static_cast<uint32_t>(f.unacknowledged.size());
    Send(k, f, kAck, f.next - size, f.unacknowledged);
    loop_.After(RetransmitAfter(sent), [this, k, serial, end, sent] {
      Answer(k, serial, end, sent + 1);
    });
  }

  void Send(const key& k, const flow& f, uint8_t flags, uint32_t seq,
            const std::string& data) {
    packet p;
    p.source = k.second;
    p.destination = k.first;
    p.flags = flags;
    p.echo = f.echo;
    p.seq = seq;
    p.ack = f.wanted;
    p.data = data;
    Deliver(p);
  }
  void Reset(const packet& p) {
    if (p.Has(kRst)) return;
    packet answer;
    answer.source = p.destination;
    answer.destination = p.source;
    answer.flags = kRst;
    answer.seq = p.ack;
    answer.echo = p.echo;
    actions_.record("target " + id_ + " does not hold flow " + p.source.Text() +
                    " and resets it");
    Deliver(answer);
  }
  void Deliver(const packet& p) {
    if (!actions_.delivers(p)) return;
    SendDatagram(socket_, {p.destination.ip, client_port_}, Encode(p));
  }

  event_loop& loop_;
  const std::string id_;
  const address local_;
  const uint16_t client_port_;
  const double work_s_;
  const hooks actions_;
  http_server health_;
  uint64_t number_ = 0;
  int socket_ = -1;
  uint64_t last_serial_ = 0;
  std::map<key, flow> flows_;
};

/// The clients of one address, and the flows that they hold.
class client {
 public:
  struct hooks {
    std::function<void(const std::string& line)> record;
    /// Where the platform's routers send a packet of the flow.
    std::function<std::optional<address>(uint16_t port)> route;
  };
  struct outcome {
    bool is_answered = false;
    bool is_reset_by_system = false;
    bool is_reset_by_target = false;
    bool was_open = false;
    std::string stamp;
  };
  using finished = std::function<void(const outcome&)>;

  client(event_loop& loop, uint32_t ip, uint16_t client_port, hooks actions)
      : loop_(loop), ip_(ip), actions_(std::move(actions)) {
    socket_ = BindSocket({ip, client_port}, SOCK_DGRAM);
    if (socket_ >= 0) {
      loop_.Watch(socket_, POLLIN, [this](short) { ReadAll(); });
    }
  }
  bool IsBound() const { return socket_ >= 0; }

  /// Opens a flow; `on_open` gets false if the attempt ends before.
  uint16_t Open(const address& route, std::function<void(bool)> on_open) {
    const uint16_t port = ++last_port_;
    flow& f = flows_[port];
    f.route = route;
    f.seq = port * 7919U;
    f.on_open = std::move(on_open);
    SendSyn(port, 0);
    return port;
  }

  /// Sends a request on an open flow.
  void Request(uint16_t port, const std::string& id, double deadline_s,
               finished on_finished) {
    flow& f = flows_.at(port);
    f.request = id;
    f.on_finished = std::move(on_finished);
    f.unacknowledged =
        "GET / HTTP/1.1\r\nX-Poplarstair-Request-Id: " + id + "\r\n\r\n";
    actions_.record("client sends request " + id + " on flow " +
                    std::to_string(port));
    Transmit(port, id, 1);
    loop_.After(deadline_s, [this, port, id] {
      const auto it = flows_.find(port);
      if (it == flows_.end() || it->second.request != id) return;
      Finish(port, {});
    });
  }

  /// Forgets the flow, with a FIN.
  void CloseFlow(uint16_t port) {
    const auto it = flows_.find(port);
    if (it == flows_.end()) return;
    Send(port, it->second, kAck | kFin, it->second.seq, "");
    flows_.erase(it);
  }
  bool Holds(uint16_t port) const { return flows_.contains(port); }

 private:
  struct flow {
    address route;
    uint32_t seq = 0;
    uint32_t wanted = 0;
    uint32_t target_seq = 0;
    uint32_t echo = 0;
    bool is_open = false;
    std::function<void(bool)> on_open;
    std::string request;
    std::string unacknowledged;
    std::string input;
    finished on_finished;
  };

  void SendSyn(uint16_t port, uint32_t copy) {
    static constexpr double kSteps[] = {0.2, 0.4, 0.8};
    const auto it = flows_.find(port);
    if (it == flows_.end() || it->second.is_open) return;
    if (copy == 3) {
      actions_.record("client got no SYN+ACK on flow " + std::to_string(port));
      const auto on_open = it->second.on_open;
      flows_.erase(it);
      return on_open(false);
    }
    packet p;
    p.flags = kSyn;
    p.seq = it->second.seq;
    p.ack = copy;
    p.source = {ip_, port};
    p.destination = it->second.route;
    Forward(port, p);
    loop_.After(kSteps[copy], [this, port, copy] { SendSyn(port, copy + 1); });
  }

  void Transmit(uint16_t port, const std::string& id, int sent) {
    const auto it = flows_.find(port);
    if (it == flows_.end() || it->second.request != id) return;
    flow& f = it->second;
    if (f.unacknowledged.empty()) return;
    const auto size = static_cast<uint32_t>(f.unacknowledged.size());
    if (sent == 1) f.seq += size;
    Send(port, f, kAck, f.seq - size, f.unacknowledged);
    loop_.After(RetransmitAfter(sent),
                [this, port, id, sent] { Transmit(port, id, sent + 1); });
  }

  void Send(uint16_t port, const flow& f, uint8_t flags, uint32_t seq,
            const std::string& data) {
    packet p;
    p.source = {ip_, port};
    p.destination = f.route;
    p.flags = flags;
    p.echo = f.echo;
    p.seq = seq;
    p.ack = f.wanted;
    p.data = data;
    Forward(port, p);
  }
  void Forward(uint16_t port, const packet& p) {
    const auto to = actions_.route(port);
    if (to) SendDatagram(socket_, *to, Encode(p));
  }

  void ReadAll() {
    char buffer[2048];
    for (;;) {
      const ssize_t n = recv(socket_, buffer, sizeof(buffer), 0);
      if (n < 0) return;
      const auto p = Decode(std::string(buffer, static_cast<size_t>(n)));
      if (p) Take(*p);
    }
  }

  void Take(const packet& p) {
    const uint16_t port = p.destination.port;
    const auto it = flows_.find(port);
    if (it == flows_.end() || it->second.route != p.source) return;
    flow& f = it->second;
    if (p.Has(kRst)) return TakeReset(port, p);
    // Both ends place in their packets the last echo that they have received
    // on the flow.
    f.echo = p.echo;
    if (p.Has(kSyn)) {
      if (f.is_open) return;
      f.is_open = true;
      f.seq += 1;
      f.wanted = p.seq + 1;
      Send(port, f, kAck, f.seq, "");
      const auto on_open = f.on_open;
      return on_open(true);
    }
    if (!f.unacknowledged.empty() && p.ack == f.seq) f.unacknowledged.clear();
    if (p.data.empty()) return;
    if (p.seq == f.wanted) {
      f.wanted += static_cast<uint32_t>(p.data.size());
      f.input += p.data;
    }
    Send(port, f, kAck, f.seq, "");
    const std::string wanted = "done " + f.request;
    if (f.request.empty() || f.input.size() < wanted.size() ||
        f.input.substr(f.input.size() - wanted.size()) != wanted) {
      return;
    }
    outcome o;
    o.is_answered = true;
    const size_t at = f.input.find("Server-Stamp: ") + 14;
    o.stamp = f.input.substr(at, f.input.find("\r\n", at) - at);
    f.input.clear();
    f.unacknowledged.clear();
    Finish(port, o);
  }

  void TakeReset(uint16_t port, const packet& p) {
    outcome o;
    o.was_open = flows_.at(port).is_open;
    (p.sum == 0 ? o.is_reset_by_system : o.is_reset_by_target) = true;
    actions_.record("client gets a reset of " +
                    std::string(p.sum == 0 ? "the system" : "a target") +
                    " on " + (o.was_open ? "the open flow " : "flow ") +
                    std::to_string(port));
    if (o.was_open) {
      Finish(port, o);
      flows_.erase(port);
      return;
    }
    const auto on_open = flows_.at(port).on_open;
    flows_.erase(port);
    on_open(false);
  }

  void Finish(uint16_t port, const outcome& o) {
    flow& f = flows_.at(port);
    if (f.request.empty()) return;
    actions_.record(
        "request " + f.request +
        (o.is_answered ? " is answered by " + o.stamp : " is not answered"));
    f.request.clear();
    const auto on_finished = f.on_finished;
    on_finished(o);
  }

  event_loop& loop_;
  const uint32_t ip_;
  const hooks actions_;
  int socket_ = -1;
  uint16_t last_port_ = 20000;
  std::map<uint16_t, flow> flows_;
};

}  // namespace standin

#endif  // REVIEW_STANDIN_FLOWS_HPP_
