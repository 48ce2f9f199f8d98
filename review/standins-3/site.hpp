// Stand-ins of a small deployment around the project's own daemons: the
// platform's store, its routers, backend servers (targets) and clients, as the
// pages describe them. All on loopback addresses, on one thread.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace site {

// ---------------------------------------------------------------- time, loop

/// Milliseconds of the steady clock since the program began.
inline double Now() {
  static const auto read = [] {
    timespec t{};
    clock_gettime(CLOCK_MONOTONIC, &t);
    return t.tv_sec * 1e3 + t.tv_nsec / 1e6;
  };
  static const double start = read();
  return read() - start;
}

/// Ends the program with the code for "could not run".
[[noreturn]] inline void CannotRun(const std::string& why) {
  std::fprintf(stderr, "cannot run: %s\n", why.c_str());
  std::exit(2);
}

class loop {
 public:
  using step = std::function<void()>;

  void At(double when, step what) { timers_.emplace(when, std::move(what)); }
  void After(double ms, step what) { At(Now() + ms, std::move(what)); }
  void Every(double ms, step what) {
    After(ms, [this, ms, what] {
      what();
      Every(ms, what);
    });
  }
  void Watch(int fd, step readable) { readers_[fd] = std::move(readable); }
  void Forget(int fd) { readers_.erase(fd); }

  void RunUntil(double end) {
    while (Now() < end) {
      double next = end;
      if (!timers_.empty()) next = std::min(next, timers_.begin()->first);
      const double wait = std::max(0.0, next - Now());
      std::vector<pollfd> fds;
      for (const auto& [fd, what] : readers_) fds.push_back({fd, POLLIN, 0});
      timespec limit{static_cast<time_t>(wait / 1e3),
                     static_cast<long>(std::fmod(wait, 1e3) * 1e6)};
      ppoll(fds.data(), fds.size(), &limit, nullptr);
      for (const pollfd& p : fds) {
        if (p.revents == 0) continue;
        const auto it = readers_.find(p.fd);
        if (it == readers_.end()) continue;
        const step call = it->second;
        call();
      }
      while (!timers_.empty() && timers_.begin()->first <= Now()) {
        const step call = std::move(timers_.begin()->second);
        timers_.erase(timers_.begin());
        call();
      }
    }
  }

 private:
  std::multimap<double, step> timers_;
  std::map<int, step> readers_;
};

// ----------------------------------------------------------------- addresses

constexpr uint16_t kPackets = 8172;
constexpr uint16_t kReady = 8167;
constexpr uint16_t kControl = 8166;
constexpr uint16_t kDigests = 7720;
constexpr uint16_t kStorePort = 8169;
constexpr uint16_t kTargetPort = 8080;
constexpr uint16_t kRoutePort = 8443;

/// True if the store's address in this loopback network is free.
inline bool IsFree(uint32_t network) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(kStorePort);
  a.sin_addr.s_addr = htonl(127U << 24 | network << 16 | 0x0101);
  const bool is_free =
      bind(fd, reinterpret_cast<const sockaddr*>(&a), sizeof(a)) == 0;
  close(fd);
  return is_free;
}

/// A loopback network of this process's own: 127.N.x.y.
inline uint32_t Address(uint32_t third, uint32_t fourth) {
  static const uint32_t network = [] {
    constexpr uint32_t kNetworks = 200;
    const auto first = static_cast<uint32_t>(getpid()) % kNetworks;
    for (uint32_t i = 0; i < kNetworks; ++i) {
      const uint32_t candidate = 16 + (first + i) % kNetworks;
      if (IsFree(candidate)) return candidate;
    }
    CannotRun("no free loopback network");
  }();
  return 127U << 24 | network << 16 | third << 8 | fourth;
}
inline std::string Text(uint32_t address) {
  return std::to_string(address >> 24) + "." +
         std::to_string(address >> 16 & 255) + "." +
         std::to_string(address >> 8 & 255) + "." +
         std::to_string(address & 255);
}
inline std::string Text(uint32_t address, uint16_t port) {
  return Text(address) + ":" + std::to_string(port);
}
inline sockaddr_in Native(uint32_t address, uint16_t port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(port);
  a.sin_addr.s_addr = htonl(address);
  return a;
}
inline int Bind(uint32_t address, uint16_t port, int type) {
  const int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int one = 1;
  const int bytes = 4 << 20;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
  const sockaddr_in a = Native(address, port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&a), sizeof(a)) != 0) {
    CannotRun("bind " + Text(address, port));
  }
  if (type == SOCK_STREAM) listen(fd, 512);
  return fd;
}

// -------------------------------------------------------------------- record

/// record.txt: what was sent, answered and run.
class record {
 public:
  explicit record(const std::string& file)
      : file_(std::fopen(file.c_str(), "w")) {
    if (file_ == nullptr) CannotRun("open " + file);
  }
  ~record() { std::fclose(file_); }
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    std::fprintf(file_, "%9.1f ", Now());
    va_list args;
    va_start(args, format);
    std::vfprintf(file_, format, args);
    va_end(args);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::FILE* file_;
};

/// Requests of all clients and targets so far.
struct totals {
  size_t sent = 0;
  size_t ran = 0;
  size_t answered = 0;
  size_t failed = 0;
};
inline totals& Totals() {
  static totals all;
  return all;
}
/// Writes the totals once a second.
inline void RecordTotals(loop& l, record& out) {
  l.Every(1000, [&out] {
    const totals& t = Totals();
    out.Line("requests sent=%zu run=%zu answered=%zu failed=%zu", t.sent, t.ran,
             t.answered, t.failed);
  });
}

// ---------------------------------------------------------------------- HTTP

/// A small HTTP/1.1 server for GET. Connections can be made to go silent.
class http_server {
 public:
  struct connection {
    int fd = -1;
    std::string in;
    bool is_silent = false;
    bool is_open = true;
  };
  using connection_ptr = std::shared_ptr<connection>;
  using handler =
      std::function<void(const std::string& target, const connection_ptr&)>;

  http_server(loop& l, uint32_t address, uint16_t port, handler handle)
      : loop_(l),
        handle_(std::move(handle)),
        fd_(Bind(address, port, SOCK_STREAM)) {
    loop_.Watch(fd_, [this] { Accept(); });
  }
  ~http_server() { Close(); }

  void Close() {
    if (fd_ < 0) return;
    loop_.Forget(fd_);
    close(fd_);
    fd_ = -1;
    for (const auto& c : all_) Drop(c);
    all_.clear();
  }

  /// Every connection that is open now carries nothing more, in either
  /// direction, and is not reset. New ones work. Returns how many.
  size_t Silence() {
    size_t silenced = 0;
    for (const auto& c : all_) {
      if (!c->is_open || c->is_silent) continue;
      c->is_silent = true;
      ++silenced;
    }
    return silenced;
  }
  /// While it is set, connections that are made are silent from the start.
  void SetSilent(bool is_silent) { is_silent_ = is_silent; }
  size_t Open() const {
    return static_cast<size_t>(std::count_if(
        all_.begin(), all_.end(),
        [](const connection_ptr& c) { return c->is_open && !c->is_silent; }));
  }

  static void Reply(const connection_ptr& c, int status,
                    const std::string& body) {
    if (!c->is_open || c->is_silent) return;
    const std::string head =
        "HTTP/1.1 " + std::to_string(status) +
        (status == 200 ? " OK" : " Other") +
        "\r\nContent-Type: application/json\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n";
    if (SendAll(c, head)) SendAll(c, body);
  }

 private:
  static bool SendAll(const connection_ptr& c, const std::string& text) {
    size_t sent = 0;
    while (sent < text.size()) {
      const ssize_t n =
          send(c->fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
      if (n > 0) {
        sent += static_cast<size_t>(n);
      } else if (errno == EAGAIN) {
        pollfd p{c->fd, POLLOUT, 0};
        if (poll(&p, 1, 100) <= 0) return false;
      } else {
        return false;
      }
    }
    return true;
  }

  void Accept() {
    for (;;) {
      const int fd =
          accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0) return;
      const int one = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
      auto c = std::make_shared<connection>();
      c->fd = fd;
      c->is_silent = is_silent_;
      all_.push_back(c);
      loop_.Watch(fd, [this, c] { Read(c); });
    }
  }
  void Drop(const connection_ptr& c) {
    if (!c->is_open) return;
    c->is_open = false;
    loop_.Forget(c->fd);
    close(c->fd);
  }
  void Read(const connection_ptr& c) {
    char buffer[16384];
    const ssize_t n = recv(c->fd, buffer, sizeof(buffer), 0);
    if (n < 0 && errno == EAGAIN) return;
    if (n <= 0) {
      Drop(c);
      return;
    }
    if (c->is_silent) return;
    c->in.append(buffer, static_cast<size_t>(n));
    for (size_t end; (end = c->in.find("\r\n\r\n")) != std::string::npos;) {
      const std::string head = c->in.substr(0, end);
      c->in.erase(0, end + 4);
      const size_t from = head.find(' ') + 1;
      handle_(head.substr(from, head.find(' ', from) - from), c);
    }
  }

  loop& loop_;
  handler handle_;
  int fd_;
  bool is_silent_ = false;
  std::vector<connection_ptr> all_;
};

// --------------------------------------------------------------------- store

/// The platform's store: lists and watches. Writes are made by the stand-ins of
/// the operator and of the targets; each returns its confirmation at once.
class store {
 public:
  /// The pages give 4 ms an answer.
  static constexpr double kAnswerMs = 4;

  store(loop& l, uint32_t address)
      : loop_(l),
        server_(l, address, kStorePort,
                [this](const std::string& target,
                       const http_server::connection_ptr& c) {
                  loop_.After(kAnswerMs,
                              [this, target, c] { Handle(target, c); });
                }) {}

  void Put(const std::string& kind, const std::string& name,
           const std::string& spec) {
    object& o = kinds_[kind][name];
    if (o.revision != 0 && o.spec == spec) return;
    if (o.created == 0) o.created = revision_ + 1;
    o.spec = spec;
    o.revision = ++revision_;
    Note(kind, Json(name, o), false);
  }
  void Delete(const std::string& kind, const std::string& name) {
    const auto it = kinds_[kind].find(name);
    if (it == kinds_[kind].end()) return;
    object gone = it->second;
    gone.revision = ++revision_;
    kinds_[kind].erase(it);
    Note(kind, Json(name, gone), true);
  }
  http_server& Server() { return server_; }
  uint64_t Revision() const { return revision_; }

 private:
  struct object {
    std::string spec;
    uint64_t revision = 0;
    uint64_t created = 0;
  };
  struct event {
    uint64_t revision;
    std::string kind;
    std::string json;
    double at;
  };
  /// The settings of the small sites give 20 s of history.
  static constexpr double kHistoryMs = 20000;
  /// A list's page holds about 500 objects, or 1 MB at most.
  static constexpr size_t kPageObjects = 500;
  static constexpr size_t kPageBytes = 1 << 20;
  struct watch {
    std::string kind;
    uint64_t since = 0;
    double until = 0;
    http_server::connection_ptr from;
  };

  static std::string Json(const std::string& name, const object& o) {
    return R"({"meta":{"name":")" + name + R"(","revision":)" +
           std::to_string(o.revision) + R"(,"created_rev":)" +
           std::to_string(o.created) +
           R"(,"finalizers":[],"deletion_pending":false},"spec":)" + o.spec +
           R"(,"status":null})";
  }
  void Forget() {
    while (!events_.empty() && events_.front().at < Now() - kHistoryMs) {
      forgotten_ = events_.front().revision;
      events_.pop_front();
    }
  }
  void Note(const std::string& kind, const std::string& json, bool is_deleted) {
    Forget();
    events_.push_back({revision_, kind,
                       std::string(R"({"deleted":)") +
                           (is_deleted ? "true" : "false") + R"(,"object":)" +
                           json + "}",
                       Now()});
    std::vector<watch> rest;
    for (watch& w : watches_) {
      if (!Answer(w)) rest.push_back(w);
    }
    watches_ = std::move(rest);
  }
  /// True if there was something to tell.
  bool Answer(const watch& w) {
    // Several instances ask for the same.
    const std::string key = w.kind + " " + std::to_string(w.since) + " " +
                            std::to_string(revision_);
    if (key != answered_) {
      std::string list = "{\"events\":[";
      bool is_empty = true;
      for (const event& e : events_) {
        if (e.kind != w.kind || e.revision <= w.since) continue;
        if (!is_empty) list += ",";
        list += e.json;
        is_empty = false;
      }
      if (is_empty) return false;
      list += "],\"at_rev\":" + std::to_string(revision_) + "}";
      answered_ = key;
      answer_ = std::move(list);
    }
    http_server::Reply(w.from, 200, answer_);
    return true;
  }
  void SendNothing(const watch& w) {
    http_server::Reply(
        w.from, 200,
        "{\"events\":[],\"at_rev\":" + std::to_string(revision_) + "}");
  }
  static std::string Query(const std::string& target, const std::string& key) {
    const size_t at = target.find(key + "=");
    if (at == std::string::npos) return "";
    const size_t from = at + key.size() + 1;
    return target.substr(from, target.find('&', from) - from);
  }
  void Handle(const std::string& target, const http_server::connection_ptr& c) {
    if (c->is_silent) return;
    const std::string prefix = "/objects/";
    if (target.compare(0, prefix.size(), prefix) != 0) {
      return http_server::Reply(c, 404, "{}");
    }
    const std::string kind =
        target.substr(prefix.size(), target.find('?') == std::string::npos
                                         ? std::string::npos
                                         : target.find('?') - prefix.size());
    const std::string since = Query(target, "watch");
    if (!since.empty()) {
      watch w{kind, std::stoull(since),
              Now() + std::stod(Query(target, "wait_ms")), c};
      Forget();
      if (w.since < forgotten_) return http_server::Reply(c, 410, "{}");
      if (Answer(w)) return;
      watches_.push_back(w);
      loop_.At(w.until, [this] { EndWatches(); });
      return;
    }
    const std::string after = Query(target, "after");
    std::string items;
    size_t count = 0;
    bool has_more = false;
    for (const auto& [name, o] : kinds_[kind]) {
      if (name <= after && !after.empty()) continue;
      if (count == kPageObjects ||
          (count > 0 && items.size() + o.spec.size() > kPageBytes)) {
        has_more = true;
        break;
      }
      ++count;
      items += (items.empty() ? "" : ",") + Json(name, o);
    }
    http_server::Reply(c, 200,
                       "{\"items\":[" + items +
                           "],\"has_more\":" + (has_more ? "true" : "false") +
                           ",\"at_rev\":" + std::to_string(revision_) + "}");
  }
  void EndWatches() {
    std::vector<watch> rest;
    for (watch& w : watches_) {
      if (w.until <= Now()) {
        SendNothing(w);
      } else {
        rest.push_back(w);
      }
    }
    watches_ = std::move(rest);
  }

  loop& loop_;
  uint64_t revision_ = 100;
  std::map<std::string, std::map<std::string, object>> kinds_;
  std::deque<event> events_;
  /// The last revision that has dropped out of the history.
  uint64_t forgotten_ = 0;
  std::vector<watch> watches_;
  /// The last answer to a watch that told something.
  std::string answered_;
  std::string answer_;
  http_server server_;
};

// ------------------------------------------------------------------- packets

constexpr size_t kHead = 32;
constexpr uint8_t kAck = 1;
constexpr uint8_t kFin = 2;
constexpr uint8_t kSyn = 4;
constexpr uint8_t kRst = 16;

struct packet {
  uint32_t src = 0;
  uint16_t sport = 0;
  uint32_t dst = 0;
  uint16_t dport = 0;
  uint8_t flags = 0;
  uint32_t sum = 0;
  uint32_t echo = 0;
  uint32_t seq = 0;
  uint32_t ack = 0;
  std::string data;
  bool is_intact = true;
};

inline void Put(uint8_t* at, uint64_t value, int bytes) {
  for (int i = bytes; i-- > 0; value >>= 8) at[i] = static_cast<uint8_t>(value);
}
inline uint64_t Get(const uint8_t* at, int bytes) {
  uint64_t value = 0;
  for (int i = 0; i < bytes; ++i) value = value << 8 | at[i];
  return value;
}
/// The ends' keyed sum over all but echo, pad and BOUNCED.
inline uint32_t Sum(const std::vector<uint8_t>& bytes) {
  uint32_t h = 2166136261U;
  for (size_t i = 0; i < bytes.size(); ++i) {
    const bool is_left_out = i == 13 || (i >= 14 && i < 22);
    uint8_t b = is_left_out ? 0 : bytes[i];
    if (i == 12) b &= static_cast<uint8_t>(~64U);
    h = (h ^ b) * 16777619U;
  }
  return (h ^ 0x5bd1e995U) * 2654435761U;
}
inline std::vector<uint8_t> Encode(const packet& p) {
  std::vector<uint8_t> b(kHead + p.data.size());
  Put(&b[0], p.sport, 2);
  Put(&b[2], p.dst, 4);
  Put(&b[6], p.dport, 2);
  Put(&b[8], p.src, 4);
  b[12] = p.flags;
  Put(&b[18], p.echo, 4);
  Put(&b[22], p.seq, 4);
  Put(&b[26], p.ack, 4);
  Put(&b[30], p.data.size(), 2);
  std::memcpy(b.data() + kHead, p.data.data(), p.data.size());
  Put(&b[14], Sum(b), 4);
  return b;
}
inline bool Decode(const uint8_t* at, size_t size, packet& p) {
  if (size < kHead || size != kHead + Get(at + 30, 2)) return false;
  p.sport = static_cast<uint16_t>(Get(at, 2));
  p.dst = static_cast<uint32_t>(Get(at + 2, 4));
  p.dport = static_cast<uint16_t>(Get(at + 6, 2));
  p.src = static_cast<uint32_t>(Get(at + 8, 4));
  p.flags = at[12];
  p.sum = static_cast<uint32_t>(Get(at + 14, 4));
  p.echo = static_cast<uint32_t>(Get(at + 18, 4));
  p.seq = static_cast<uint32_t>(Get(at + 22, 4));
  p.ack = static_cast<uint32_t>(Get(at + 26, 4));
  p.data.assign(reinterpret_cast<const char*>(at) + kHead, size - kHead);
  p.is_intact = p.sum == Sum({at, at + size});
  return true;
}

// ------------------------------------------------------------------- targets

/// An opening packet that a target took.
struct arrival {
  double at = 0;
  uint32_t machine = 0;
  uint32_t client = 0;
  uint16_t port = 0;
};

/// One process of a backend server.
class target {
 public:
  struct hooks {
    std::function<void(const arrival&)> opened;
    std::function<void(const std::string& request)> ran;
    /// It has reset a flow that it does not hold.
    std::function<void(uint32_t client, uint16_t port, uint32_t machine)>
        stray = nullptr;
  };

  target(loop& l, std::mt19937_64& random, std::string id, uint32_t address,
         double work_ms, hooks actions)
      : loop_(l),
        random_(random),
        id_(std::move(id)),
        number_(std::stoull(id_.substr(id_.find('-') + 1), nullptr, 16)),
        address_(address),
        work_ms_(work_ms),
        actions_(std::move(actions)),
        udp_(Bind(address, kTargetPort, SOCK_DGRAM)),
        health_(l, address, kTargetPort,
                [](const std::string&, const http_server::connection_ptr& c) {
                  http_server::Reply(c, 200, "{}");
                }) {
    loop_.Watch(udp_, [this] { Read(); });
  }
  ~target() {
    *alive_ = false;
    loop_.Forget(udp_);
    close(udp_);
  }

  const std::string& Id() const { return id_; }
  uint32_t At() const { return address_; }
  bool Holds(uint32_t client, uint16_t port) const {
    const auto it = flows_.find({client, port});
    return it != flows_.end() && it->second.is_open;
  }

 private:
  struct flow {
    uint32_t seq = 0;
    uint32_t wanted = 0;
    uint32_t echo = 0;
    bool is_open = false;
    std::string answer;
    int tries = 0;
  };
  using key = std::pair<uint32_t, uint16_t>;

  void Read() {
    uint8_t buffer[2048];
    sockaddr_in from{};
    for (;;) {
      socklen_t size = sizeof(from);
      const ssize_t n = recvfrom(udp_, buffer, sizeof(buffer), 0,
                                 reinterpret_cast<sockaddr*>(&from), &size);
      if (n < 0) return;
      if (n < 8) continue;
      const uint64_t wanted = Get(buffer, 8);
      if (wanted != 0 && wanted != number_) continue;
      packet p;
      if (!Decode(buffer + 8, static_cast<size_t>(n) - 8, p) || !p.is_intact)
        continue;
      OnPacket(p, ntohl(from.sin_addr.s_addr));
    }
  }
  void OnPacket(const packet& p, uint32_t machine) {
    const key k{p.src, p.sport};
    if ((p.flags & kSyn) != 0) {
      const bool is_known = flows_.contains(k) && flows_[k].wanted == p.seq + 1;
      flow& f = flows_[k];
      if (!is_known) {
        f = {};
        f.seq = static_cast<uint32_t>(random_());
        f.wanted = p.seq + 1;
        actions_.opened({Now(), machine, p.src, p.sport});
      }
      f.echo = p.echo;
      if (f.is_open) return;
      Send(p, f, kSyn | kAck, f.seq, "");
      return;
    }
    const auto it = flows_.find(k);
    if (it == flows_.end() ||
        (!it->second.is_open && p.ack != it->second.seq + 1)) {
      if ((p.flags & kRst) != 0) return;
      if (actions_.stray) actions_.stray(p.src, p.sport, machine);
      flow none;
      none.echo = p.echo;
      none.wanted = p.seq;
      Send(p, none, kRst, p.ack, "");
      return;
    }
    flow& f = it->second;
    f.echo = p.echo;
    if ((p.flags & kRst) != 0) {
      flows_.erase(it);
      return;
    }
    if (!f.is_open) {
      f.is_open = true;
      ++f.seq;
    }
    if (!f.answer.empty() && p.ack == f.seq + f.answer.size()) {
      f.seq += static_cast<uint32_t>(f.answer.size());
      f.answer.clear();
    }
    if (!p.data.empty()) {
      const bool is_new = p.seq == f.wanted;
      if (is_new) f.wanted += static_cast<uint32_t>(p.data.size());
      Send(p, f, kAck, f.seq, "");
      if (is_new) {
        ++Totals().ran;
        actions_.ran(p.data.substr(0, p.data.find(' ')));
        loop_.After(work_ms_, [this, p, alive = alive_] {
          if (*alive) Answer(p);
        });
      }
    }
    if ((p.flags & kFin) != 0) {
      Send(p, f, kAck | kFin, f.seq, "");
      flows_.erase(k);
    }
  }
  void Answer(const packet& asked) {
    const auto it = flows_.find({asked.src, asked.sport});
    if (it == flows_.end()) return;
    flow& f = it->second;
    f.answer = "done " + asked.data.substr(0, asked.data.find(' ')) + " " +
               std::string(400, 'r');
    f.tries = 0;
    SendAnswer(asked);
  }
  void SendAnswer(const packet& asked) {
    const auto it = flows_.find({asked.src, asked.sport});
    if (it == flows_.end() || it->second.answer.empty()) return;
    flow& f = it->second;
    Send(asked, f, kAck, f.seq, f.answer);
    if (++f.tries > 8) return;
    loop_.After(std::min(200.0 * (1 << (f.tries - 1)), 1600.0),
                [this, asked, alive = alive_] {
                  if (*alive) SendAnswer(asked);
                });
  }
  void Send(const packet& to, const flow& f, uint8_t flags, uint32_t seq,
            const std::string& data) {
    packet p;
    p.src = to.dst;
    p.sport = to.dport;
    p.dst = to.src;
    p.dport = to.sport;
    p.flags = flags;
    p.echo = f.echo;
    p.seq = seq;
    p.ack = f.wanted;
    p.data = data;
    const auto bytes = Encode(p);
    const sockaddr_in a = Native(to.src, kPackets);
    sendto(udp_, bytes.data(), bytes.size(), 0,
           reinterpret_cast<const sockaddr*>(&a), sizeof(a));
  }

  loop& loop_;
  std::mt19937_64& random_;
  const std::string id_;
  const uint64_t number_;
  const uint32_t address_;
  const double work_ms_;
  const hooks actions_;
  const int udp_;
  http_server health_;
  std::map<key, flow> flows_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// ----------------------------------------------------------------- instances

struct machine {
  std::string name;
  std::string zone;
  uint32_t address = 0;
  pid_t process = 0;
  int starts = 0;
  int misses = 2;
};

/// The project's own daemons, started as the deploy file says, with settings
/// from its template.
class instances {
 public:
  instances(loop& l, record& out, uint32_t store_address)
      : loop_(l), out_(out), store_(store_address) {
    char name[] = "/tmp/review-3-XXXXXX";
    if (mkdtemp(name) == nullptr) CannotRun("no temporary folder");
    folder_ = name;
    template_ = ReadAll("deploy/entry.toml");
    if (template_.empty()) CannotRun("run it in the repository's root");
    if (access("target/bin/poplarstaird", X_OK) != 0) {
      CannotRun("the deploy file's build is missing");
    }
  }
  ~instances() {
    for (machine& m : all) Signal(m, SIGKILL);
    for (machine& m : all) Wait(m);
    const std::string clean = "rm -rf '" + folder_ + "'";
    if (std::getenv("KEEP_LOGS") != nullptr) {
      std::fprintf(stderr, "logs in %s\n", folder_.c_str());
    } else if (std::system(clean.c_str()) != 0) {
      std::fprintf(stderr, "could not remove %s\n", folder_.c_str());
    }
  }

  void Add(const std::string& zone, uint32_t address) {
    all.push_back(
        {"front-" + zone + "-" + std::to_string(all.size()), zone, address});
  }
  machine& Of(uint32_t address) {
    for (machine& m : all) {
      if (m.address == address) return m;
    }
    CannotRun("no machine " + Text(address));
  }

  void Start(machine& m, bool is_first) {
    const std::string fields = Fields(m, is_first);
    const std::string settings = folder_ + "/" + m.name + ".conf";
    std::ofstream(settings) << Render(m, is_first);
    const std::string log = folder_ + "/" + m.name + ".log";
    ++m.starts;
    m.process = fork();
    if (m.process < 0) CannotRun("fork");
    if (m.process != 0) {
      out_.Line("start machine=%s pid=%d", m.name.c_str(), m.process);
      return;
    }
    // It ends with the stand-ins, however those end.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(fd, 1);
    dup2(fd, 2);
    const std::string argument = "--settings=" + settings;
    const std::string node = "POPLARSTAIR_NODE_FILE=" + settings;
    const std::string all_fields = "POPLARSTAIR_PLATFORM_FIELDS=" + fields;
    const char* path = std::getenv("PATH");
    const std::string path_variable =
        std::string("PATH=") + (path == nullptr ? "" : path);
    const char* const arguments[] = {"target/bin/poplarstaird",
                                     argument.c_str(), nullptr};
    const char* const environment[] = {path_variable.c_str(), node.c_str(),
                                       all_fields.c_str(), nullptr};
    execve(arguments[0], const_cast<char* const*>(arguments),
           const_cast<char* const*>(environment));
    _exit(127);
  }
  void Signal(machine& m, int number) {
    if (m.process > 0) kill(m.process, number);
  }
  void Wait(machine& m) {
    if (m.process > 0) waitpid(m.process, nullptr, 0);
    m.process = 0;
  }
  /// True if the process has ended.
  bool Reap(machine& m) {
    if (m.process <= 0 || waitpid(m.process, nullptr, WNOHANG) != m.process)
      return false;
    m.process = 0;
    return true;
  }
  std::string Log(const machine& m) const {
    return ReadAll(folder_ + "/" + m.name + ".log");
  }

  std::vector<machine> all;
  /// The settings name machines that are gone.
  bool has_stale_seeds = false;

 private:
  static std::string ReadAll(const std::string& file) {
    std::ifstream in(file);
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
  }
  std::string Seeds() const {
    std::string seeds;
    for (size_t i = 0; i < all.size() && i < 3; ++i) {
      const uint32_t address = has_stale_seeds
                                   ? Address(9, 1 + static_cast<uint32_t>(i))
                                   : all[i].address;
      seeds += (i == 0 ? "\"" : ",\"") + Text(address, kControl) + "\"";
    }
    return seeds;
  }
  std::string Fields(const machine& m, bool is_first) const {
    return "{\"node\":\"" + m.name + "\",\"zone\":\"" + m.zone +
           "\",\"heartbeat_ms\":1200,\"bootstrap\":" +
           (is_first ? "true" : "false") +
           ",\"bounds\":{\"seed_lag_s\":3,\"addr_reuse_s\":2,"
           "\"stable_window_ms\":4000,\"ack_ms\":5000,\"catch_up_s\":4,"
           "\"drain_ms\":3000,\"grace_s\":6,\"loss_slack_ms\":200,"
           "\"config_apply_ms\":3000,\"rollback_slack_ms\":250,"
           "\"max_skew_ms\":12000,\"cold_factor\":1.5,\"cold_slack\":5,"
           "\"evacuate_ms\":5000,\"recovery_s\":12,\"flow_stray_ms\":2000,"
           "\"max_flow_s\":60}}";
  }
  /// Fills in the placeholders of the project's template.
  std::string Render(const machine& m, bool is_first) const {
    std::string text = template_;
    const auto replace = [&text](const std::string& from,
                                 const std::string& to) {
      for (size_t at = text.find(from); at != std::string::npos;
           at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
      }
    };
    replace("{{node}}", m.name);
    replace("{{zone}}", m.zone);
    replace("{{listen.datagram_addr}}", Text(m.address, kPackets));
    replace("{{listen.ready}}", Text(m.address, kReady));
    replace("{{listen.control}}", Text(m.address, kControl));
    replace("{{ip}}", Text(m.address));
    replace("{{internal_ports.0}}", std::to_string(kDigests));
    replace("{{platform.address}}", Text(store_, kStorePort));
    replace("{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", Seeds());
    replace("{{#bootstrap}}true{{/bootstrap}}{{^bootstrap}}false{{/bootstrap}}",
            is_first ? "true" : "false");
    if (text.find("{{") != std::string::npos)
      CannotRun("unknown placeholder in the template");
    return text;
  }

  loop& loop_;
  record& out_;
  const uint32_t store_;
  std::string folder_;
  std::string template_;
};

/// The platform's routers: GET /ready twice a second, out after two misses, a
/// steady hash over the machines of the client's zone.
class routers {
 public:
  routers(loop& l, record& out, instances& fleet)
      : loop_(l), out_(out), fleet_(fleet) {
    loop_.Every(500, [this] { Probe(); });
  }

  /// 0 if there is none.
  uint32_t Route(const std::string& zone, uint16_t port) const {
    std::vector<uint32_t> own, ready, others;
    for (const machine& m : fleet_.all) {
      const bool is_ready = m.misses < 2;
      if (m.zone == zone) own.push_back(m.address);
      if (is_ready) (m.zone == zone ? ready : others).push_back(m.address);
    }
    const auto* used = &ready;
    if (ready.empty() && !others.empty()) {
      used = &others;
    } else if (2 * ready.size() < own.size()) {
      used = &own;
    }
    uint32_t best = 0;
    uint64_t most = 0;
    for (const uint32_t address : *used) {
      uint64_t h = (uint64_t{port} << 32 | address) * 0x9e3779b97f4a7c15ULL;
      h ^= h >> 29;
      h *= 0xbf58476d1ce4e5b9ULL;
      h ^= h >> 32;
      if (h >= most) {
        most = h;
        best = address;
      }
    }
    return best;
  }

 private:
  void Probe() {
    for (size_t i = 0; i < fleet_.all.size(); ++i) {
      const uint32_t address = fleet_.all[i].address;
      const int fd =
          socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
      const sockaddr_in a = Native(address, kReady);
      const int connected =
          connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof(a));
      if (connected != 0 && errno != EINPROGRESS) {
        close(fd);
        Note(i, false);
        continue;
      }
      const std::string text =
          "GET /ready HTTP/1.1\r\nHost: " + Text(address, kReady) + "\r\n\r\n";
      auto is_over = std::make_shared<bool>(false);
      const auto end = [this, fd, i, is_over](bool is_ready) {
        if (*is_over) return;
        *is_over = true;
        loop_.Forget(fd);
        close(fd);
        Note(i, is_ready);
      };
      // On loopback a connection is there at once or refused.
      loop_.After(2, [fd, text, is_over] {
        if (!*is_over && send(fd, text.data(), text.size(), MSG_NOSIGNAL) < 0) {
        }
      });
      loop_.Watch(fd, [fd, end] {
        char buffer[512];
        const ssize_t n = recv(fd, buffer, sizeof(buffer), 0);
        if (n < 0 && errno == EAGAIN) return;
        end(n > 12 && std::string(buffer, static_cast<size_t>(n))
                              .compare(0, 12, "HTTP/1.1 200") == 0);
      });
      loop_.After(450, [end] { end(false); });
    }
  }
  void Note(size_t i, bool is_ready) {
    machine& m = fleet_.all[i];
    const bool was = m.misses < 2;
    m.misses = is_ready ? 0 : m.misses + 1;
    if (was != (m.misses < 2)) {
      out_.Line("rotation machine=%s in=%d", m.name.c_str(), m.misses < 2);
    }
  }

  loop& loop_;
  record& out_;
  instances& fleet_;
};

// ------------------------------------------------------------------- clients

/// How a flow has ended.
enum class outcome { kServed, kReset, kNotOpened, kNoAnswer };

/// Clients of one zone: each request on a flow of its own, or several requests
/// with pauses on one.
class clients {
 public:
  struct settings {
    std::string zone;
    uint32_t address = 0;
    uint32_t route = 0;
    double deadline_ms = 2500;
  };
  struct hooks {
    /// The client got a reset that no end has signed, on a flow that its target
    /// may hold.
    std::function<void(uint16_t port, bool is_open)> reset;
    std::function<void(const std::string& request, outcome)> ended;
  };

  clients(loop& l, std::mt19937_64& random, const routers& fabric,
          const settings& chosen, hooks actions)
      : loop_(l),
        random_(random),
        fabric_(fabric),
        settings_(chosen),
        actions_(std::move(actions)),
        fd_(Bind(chosen.address, kPackets, SOCK_DGRAM)) {
    loop_.Watch(fd_, [this] { Read(); });
  }

  /// Opens a flow for `requests` requests, `pause_ms` apart.
  uint16_t Open(int requests = 1, double pause_ms = 0) {
    if (++last_port_ < 1025) last_port_ = 1025;
    const uint16_t port = last_port_;
    flow& f = flows_[port];
    f = {};
    f.life = ++last_life_;
    f.seq = static_cast<uint32_t>(random_());
    f.left = requests;
    f.pause_ms = pause_ms;
    Next(f, port);
    SendSyn(port, f.life, 0);
    return port;
  }
  size_t Sent() const { return requests_; }

 private:
  struct flow {
    uint64_t life = 0;
    uint32_t seq = 0;
    uint32_t ack = 0;
    uint32_t echo = 0;
    bool is_open = false;
    int left = 1;
    double pause_ms = 0;
    double deadline = 0;
    std::string request;
    std::string data;
  };

  void Next(flow& f, uint16_t port) {
    f.request = Text(settings_.address) + "/" + std::to_string(port) + "/" +
                std::to_string(++requests_);
    f.data = f.request + " " + std::string(900, 'q');
    f.deadline = Now() + settings_.deadline_ms;
    ++Totals().sent;
  }
  flow* Find(uint16_t port, uint64_t life) {
    const auto it = flows_.find(port);
    return it == flows_.end() || it->second.life != life ? nullptr
                                                         : &it->second;
  }
  void SendSyn(uint16_t port, uint64_t life, uint32_t copy) {
    flow* f = Find(port, life);
    if (f == nullptr || f->is_open) return;
    if (copy == 3) return End(port, outcome::kNotOpened);
    packet p;
    p.flags = kSyn;
    p.seq = f->seq;
    p.ack = copy;
    Send(port, p);
    const double waits[] = {200, 400, 800};
    loop_.After(waits[copy],
                [this, port, life, copy] { SendSyn(port, life, copy + 1); });
  }
  void SendData(uint16_t port, uint64_t life, std::string request, int tries) {
    flow* f = Find(port, life);
    if (f == nullptr || f->request != request) return;
    if (Now() >= f->deadline) {
      packet p;
      p.flags = kRst;
      p.seq = f->seq;
      p.ack = f->ack;
      p.echo = f->echo;
      Send(port, p);
      return End(port, outcome::kNoAnswer);
    }
    packet p;
    p.flags = kAck;
    p.seq = f->seq;
    p.ack = f->ack;
    p.echo = f->echo;
    p.data = f->data;
    Send(port, p);
    loop_.After(std::min(200.0 * (1 << tries), 1600.0),
                [this, port, life, request, tries] {
                  SendData(port, life, request, std::min(tries + 1, 3));
                });
  }
  void Send(uint16_t port, packet p) {
    p.src = settings_.address;
    p.sport = port;
    p.dst = settings_.route;
    p.dport = kRoutePort;
    const uint32_t to = fabric_.Route(settings_.zone, port);
    if (to == 0) return;
    const auto bytes = Encode(p);
    const sockaddr_in a = Native(to, kPackets);
    sendto(fd_, bytes.data(), bytes.size(), 0,
           reinterpret_cast<const sockaddr*>(&a), sizeof(a));
  }
  void Read() {
    uint8_t buffer[2048];
    for (;;) {
      const ssize_t n = recv(fd_, buffer, sizeof(buffer), 0);
      if (n < 0) return;
      packet p;
      if (Decode(buffer, static_cast<size_t>(n), p)) OnPacket(p);
    }
  }
  void OnPacket(const packet& p) {
    const uint16_t port = p.dport;
    const auto it = flows_.find(port);
    if (it == flows_.end()) return;
    flow& f = it->second;
    if ((p.flags & kRst) != 0) {
      const int64_t distance = static_cast<int32_t>(p.seq - f.ack);
      if (f.is_open && std::llabs(distance) > 76800) return;
      if (p.sum == 0) actions_.reset(port, f.is_open);
      return End(port, outcome::kReset);
    }
    f.echo = p.echo;
    if ((p.flags & kSyn) != 0) {
      if (f.is_open) return;
      f.is_open = true;
      f.ack = p.seq + 1;
      ++f.seq;
      return SendData(port, f.life, f.request, 0);
    }
    if (p.data.empty() || p.seq != f.ack) return;
    if (p.data.compare(0, 5 + f.request.size(), "done " + f.request) != 0)
      return;
    f.ack += static_cast<uint32_t>(p.data.size());
    f.seq += static_cast<uint32_t>(f.data.size());
    ++Totals().answered;
    actions_.ended(f.request, outcome::kServed);
    packet received;
    received.flags = --f.left > 0 ? kAck : kAck | kFin;
    received.seq = f.seq;
    received.ack = f.ack;
    received.echo = f.echo;
    f.request.clear();
    Send(port, received);
    if (f.left <= 0) {
      flows_.erase(port);
      return;
    }
    loop_.After(f.pause_ms, [this, port, life = f.life] {
      flow* next = Find(port, life);
      if (next == nullptr) return;
      Next(*next, port);
      SendData(port, life, next->request, 0);
    });
  }
  void End(uint16_t port, outcome how) {
    const auto it = flows_.find(port);
    if (!it->second.request.empty()) {
      ++Totals().failed;
      actions_.ended(it->second.request, how);
    }
    flows_.erase(it);
  }

  loop& loop_;
  std::mt19937_64& random_;
  const routers& fabric_;
  const settings settings_;
  const hooks actions_;
  const int fd_;
  std::map<uint16_t, flow> flows_;
  uint16_t last_port_ = 20000;
  uint64_t last_life_ = 0;
  size_t requests_ = 0;
};

// ------------------------------------------------------------------- entries

inline std::string ServerSpec(const std::string& service, uint32_t address,
                              const std::string& zone, int slots,
                              const std::string& state, int cold_ms,
                              int64_t born, int seq) {
  return "{\"service\":\"" + service + "\",\"address\":\"" +
         Text(address, kTargetPort) + "\",\"zone\":\"" + zone +
         "\",\"version\":\"v1\",\"slots\":" + std::to_string(slots) +
         ",\"state\":\"" + state +
         "\",\"cold_remaining_ms\":" + std::to_string(cold_ms) +
         ",\"born\":" + std::to_string(born) +
         ",\"seq\":" + std::to_string(seq) + "}";
}

/// A manifest with one route of one service, and `more` routes of it that see
/// no traffic.
inline std::string Manifest(int version, const std::string& service,
                            uint32_t route, int more, double cold_per_s = 0) {
  std::string routes;
  for (int i = 0; i <= more; ++i) {
    routes +=
        (i == 0 ? "" : ",") + std::string(R"({"name":"r-)") +
        std::to_string(i) + R"(","hostname":")" + Text(route) +
        R"(","path_prefix":"/)" + std::to_string(kRoutePort + i) +
        R"(/","type":"unsafe","timeout_ms":2500,"aim_ms":150,"priority":1,"service":")" +
        service + R"(","max_attempts":2})";
  }
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
         routes + R"(],"services":[{"name":")" + service +
         R"(","health_path":"/health","max_conns":2000,"protocol":"h1","tls":false,"cold_s":2.0,"cold_per_s":)" +
         std::to_string(cold_per_s) +
         R"(}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

/// Milliseconds of the Unix clock.
inline int64_t UnixMs() {
  timespec t{};
  clock_gettime(CLOCK_REALTIME, &t);
  return t.tv_sec * 1000LL + t.tv_nsec / 1000000;
}

inline bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}  // namespace site
