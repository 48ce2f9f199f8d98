// The platform's part of a small installation: store, routers, operator, and
// the machines that run the deploy file's role.
#ifndef REVIEW_STANDIN_SITE_HPP_
#define REVIEW_STANDIN_SITE_HPP_

#include <sys/prctl.h>
#include <sys/wait.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "review/standin/flows.hpp"

namespace standin {

/// Ends the run: the case could not be played.
[[noreturn]] inline void GiveUp(const std::string& why) {
  std::fprintf(stderr, "cannot run: %s\n", why.c_str());
  std::exit(2);
}

/// The platform's store: lists and watches of objects by kind.
class store {
 public:
  struct call {
    size_t machine = 0;
    std::string kind;
    bool is_watch = false;
  };
  /// False loses the answer: the connection stays open and returns nothing.
  using answer_filter = std::function<bool(const call&)>;

  store(event_loop& loop, const std::vector<address>& listeners) : loop_(loop) {
    for (size_t i = 0; i < listeners.size(); ++i) {
      servers_.push_back(std::make_unique<http_server>(
          loop, listeners[i],
          [this, i](const std::string& target,
                    const http_server::responder& respond) {
            Handle(i, target, respond);
          }));
      if (!servers_.back()->IsOpen()) GiveUp("port of the store is taken");
    }
  }
  void SetFilter(answer_filter filter) { delivers_ = std::move(filter); }

  /// `spec` is JSON text. Confirmed when this returns.
  void Put(const std::string& kind, const std::string& name,
           const std::string& spec) {
    objects_[kind][name] = "{\"meta\":{\"name\":\"" + name +
                           "\",\"revision\":" + std::to_string(revision_ + 1) +
                           ",\"created_rev\":1,\"finalizers\":[],"
                           "\"deletion_pending\":false},\"spec\":" +
                           spec + ",\"status\":null}";
    Note(kind, objects_[kind][name], false);
  }
  void Remove(const std::string& kind, const std::string& name) {
    const auto it = objects_[kind].find(name);
    if (it == objects_[kind].end()) return;
    const std::string object = it->second;
    objects_[kind].erase(it);
    Note(kind, object, true);
  }
  /// Watches of the kind that wait for a change.
  size_t Waiting(const std::string& kind) const {
    size_t count = 0;
    for (const auto& [id, w] : watches_) count += w.made.kind == kind ? 1 : 0;
    return count;
  }
  /// Answers that were sent, and answers that were lost.
  size_t Answered() const { return answered_; }
  size_t Lost() const { return lost_; }

 private:
  struct change {
    uint64_t revision;
    std::string kind;
    std::string event;
  };
  struct watch {
    call made;
    uint64_t revision = 0;
    http_server::responder respond;
  };

  void Note(const std::string& kind, const std::string& object,
            bool is_deleted) {
    ++revision_;
    history_.push_back({revision_, kind,
                        std::string("{\"deleted\":") +
                            (is_deleted ? "true" : "false") +
                            ",\"object\":" + object + "}"});
    for (auto it = watches_.begin(); it != watches_.end();) {
      const auto next = std::next(it);
      if (it->second.made.kind == kind) {
        const watch told = it->second;
        watches_.erase(it);
        AnswerEvents(told);
      }
      it = next;
    }
  }

  void Handle(size_t machine, const std::string& target,
              const http_server::responder& respond) {
    constexpr std::string_view kPath = "/objects/";
    if (!target.starts_with(kPath)) return respond(404, "{}");
    const size_t query = target.find('?');
    call made{machine,
              target.substr(kPath.size(), query == std::string::npos
                                              ? query
                                              : query - kPath.size()),
              false};
    const size_t at = target.find("watch=");
    if (at == std::string::npos) return AnswerList(made, respond);
    made.is_watch = true;
    watch w{made, std::stoull(target.substr(at + 6)), respond};
    if (HasEvents(w)) return AnswerEvents(w);
    const size_t wait_at = target.find("wait_ms=");
    const double wait = wait_at == std::string::npos
                            ? 0
                            : std::stod(target.substr(wait_at + 8));
    const uint64_t id = ++last_watch_;
    watches_[id] = w;
    loop_.After(wait / 1000, [this, id] {
      const auto it = watches_.find(id);
      if (it == watches_.end()) return;
      const watch ended = it->second;
      watches_.erase(it);
      AnswerEvents(ended);
    });
  }

  bool HasEvents(const watch& w) const {
    return std::any_of(history_.begin(), history_.end(), [&](const change& c) {
      return c.kind == w.made.kind && c.revision > w.revision;
    });
  }
  void AnswerEvents(const watch& w) {
    std::string body = "{\"events\":[";
    bool is_first = true;
    for (const change& c : history_) {
      if (c.kind != w.made.kind || c.revision <= w.revision) continue;
      body += (is_first ? "" : ",") + c.event;
      is_first = false;
    }
    body += "],\"at_rev\":" + std::to_string(revision_) + "}";
    Answer(w.made, body, w.respond);
  }
  void AnswerList(const call& made, const http_server::responder& respond) {
    std::string body = "{\"items\":[";
    bool is_first = true;
    for (const auto& [name, object] : objects_[made.kind]) {
      body += (is_first ? "" : ",") + object;
      is_first = false;
    }
    body +=
        "],\"has_more\":false,\"at_rev\":" + std::to_string(revision_) + "}";
    Answer(made, body, respond);
  }
  void Answer(const call& made, const std::string& body,
              const http_server::responder& respond) {
    if (delivers_ && !delivers_(made)) {
      ++lost_;
      return;
    }
    ++answered_;
    respond(200, body);
  }

  event_loop& loop_;
  std::vector<std::unique_ptr<http_server>> servers_;
  answer_filter delivers_;
  uint64_t revision_ = 100;
  std::map<std::string, std::map<std::string, std::string>> objects_;
  std::vector<change> history_;
  std::map<uint64_t, watch> watches_;
  uint64_t last_watch_ = 0;
  size_t answered_ = 0;
  size_t lost_ = 0;
};

struct machine {
  std::string name;
  std::string zone;
  uint32_t ip = 0;
  pid_t process = 0;
  int misses = 2;  // Probes of /ready in a row that have failed.
  bool IsReady() const { return misses < 2; }
};

/// A whole small installation, and the record of a run.
class site {
 public:
  // Ports, the same on every machine; each run has addresses of its own.
  static constexpr uint16_t kDatagram = 28172;
  static constexpr uint16_t kReady = 28167;
  static constexpr uint16_t kControl = 28166;
  static constexpr uint16_t kInternal = 27720;
  static constexpr uint16_t kStore = 28169;
  static constexpr uint16_t kTarget = 28080;

  struct options {
    std::string root;    // The repository.
    std::string record;  // File to write.
    std::string folder;  // Temporary.
    bool has_trouble = true;
  };

  site(event_loop& loop, options run, const std::vector<std::string>& zones)
      : loop_(loop), run_(std::move(run)), record_(run_.record) {
    // A block of 127/8 for each run: runs at the same time don't meet.
    base_ = 0x7f000000U | (64U + static_cast<uint32_t>(getpid()) % 128) << 16 |
            (static_cast<uint32_t>(getpid()) / 128 % 250) << 8;
    std::vector<address> listeners;
    for (size_t i = 0; i < zones.size(); ++i) {
      machines_.push_back({"front-" + zones[i] + "-" + std::to_string(i + 1),
                           zones[i], base_ + 10 + static_cast<uint32_t>(i)});
      listeners.push_back({base_ + 2, static_cast<uint16_t>(kStore + i)});
    }
    store_ = std::make_unique<store>(loop, listeners);
    started_ = loop.Now();
    const std::string path = run_.root + "/target/bin/poplarstaird";
    if (access(path.c_str(), X_OK) != 0) GiveUp("no target/bin/poplarstaird");
  }
  ~site() { EndProcesses(); }

  store& Objects() { return *store_; }
  bool HasTrouble() const { return run_.has_trouble; }
  /// When the routers last asked the machines whether they are ready.
  double ProbedAt() const { return probed_at_; }
  std::vector<machine>& Machines() { return machines_; }
  uint32_t ClientIp() const { return base_ + 3; }
  address TargetAddress(uint32_t i) const { return {base_ + 100 + i, kTarget}; }

  void Record(const std::string& line) {
    char time[32];
    std::snprintf(time, sizeof(time), "%9.3f ", loop_.Now() - started_);
    record_ << time << line << "\n" << std::flush;
  }

  /// Starts the daemon with the command and the template of the deploy file.
  void Start(machine& m, size_t index, bool is_first) {
    const std::string file =
        run_.folder + "/settings-" + std::to_string(index) + ".conf";
    std::ofstream(file) << SettingsOf(m, index, is_first);
    const std::string log =
        run_.folder + "/log-" + std::to_string(index) + ".txt";
    std::vector<std::string> words;
    std::istringstream command(RunCommand());
    for (std::string word; command >> word;) words.push_back(word);
    for (std::string& word : words) {
      const std::string place = "/etc/poplarstair/settings.conf";
      const size_t at = word.find(place);
      if (at != std::string::npos) word.replace(at, place.size(), file);
    }
    m.process = fork();
    if (m.process < 0) GiveUp("fork");
    if (m.process == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // Ends with this program.
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      if (chdir(run_.root.c_str()) != 0) _exit(127);
      std::vector<char*> arguments;
      for (std::string& word : words) arguments.push_back(word.data());
      arguments.push_back(nullptr);
      execv(arguments[0], arguments.data());
      _exit(127);
    }
    Record("machine " + m.name + " starts");
  }
  void StartAll() {
    for (size_t i = 0; i < machines_.size(); ++i) Start(machines_[i], i, true);
    Probe();
  }
  void Signal(machine& m, int number) {
    if (m.process > 0) kill(m.process, number);
    Record("machine " + m.name + " gets signal " + std::to_string(number));
  }
  void EndProcesses() {
    for (machine& m : machines_) {
      if (m.process <= 0) continue;
      kill(m.process, SIGKILL);
      waitpid(m.process, nullptr, 0);
      m.process = 0;
    }
  }

  /// Calls `then` once all machines are in rotation and settled.
  void WhenReady(std::function<void()> then, int tries = 0) {
    const bool is_ready =
        std::all_of(machines_.begin(), machines_.end(),
                    [](const machine& m) { return m.IsReady(); });
    if (is_ready) return loop_.After(4.0, std::move(then));
    if (tries > 150) GiveUp("the machines don't get ready");
    loop_.After(0.1, [this, then, tries] { WhenReady(then, tries + 1); });
  }

  /// Where the routers send a flow of a client in `zone`.
  std::optional<address> Route(const std::string& zone, uint16_t port) const {
    std::vector<const machine*> own;
    std::vector<const machine*> ready;
    std::vector<const machine*> others;
    for (const machine& m : machines_) {
      if (m.zone == zone) own.push_back(&m);
      if (m.IsReady()) (m.zone == zone ? ready : others).push_back(&m);
    }
    const auto& used = ready.empty() && !others.empty() ? others
                       : 2 * ready.size() < own.size()  ? own
                                                        : ready;
    const machine* best = nullptr;
    uint64_t best_score = 0;
    for (const machine* m : used) {
      uint64_t score = (uint64_t{m->ip} << 16 | port) * 0x9e3779b97f4a7c15;
      score ^= score >> 29;
      score *= 0xbf58476d1ce4e5b9;
      if (best != nullptr && score <= best_score) continue;
      best = m;
      best_score = score;
    }
    if (best == nullptr) return std::nullopt;
    return address{best->ip, kDatagram};
  }

  // Texts that the operator and the targets write.
  struct route_text {
    address at;
    std::string type;
    std::string service;
  };
  static std::string Manifest(uint64_t version,
                              const std::vector<route_text>& routes,
                              const std::vector<std::string>& services,
                              int timeout_ms = 1500) {
    std::string text =
        "{\"version\":" + std::to_string(version) + ",\"routes\":[";
    for (size_t i = 0; i < routes.size(); ++i) {
      const std::string at = routes[i].at.Text();
      const size_t colon = at.find(':');
      text += std::string(i == 0 ? "" : ",") + "{\"name\":\"r-" +
              std::to_string(i) + "\",\"hostname\":\"" + at.substr(0, colon) +
              "\",\"path_prefix\":\"/" + at.substr(colon + 1) +
              "/\",\"type\":\"" + routes[i].type +
              "\",\"timeout_ms\":" + std::to_string(timeout_ms) +
              ",\"aim_ms\":200,\"priority\":1,"
              "\"service\":\"" +
              routes[i].service + "\",\"max_attempts\":2}";
    }
    text += "],\"services\":[";
    for (size_t i = 0; i < services.size(); ++i) {
      text += std::string(i == 0 ? "" : ",") + "{\"name\":\"" + services[i] +
              "\",\"health_path\":\"/health\",\"max_conns\":2000,"
              "\"protocol\":\"h1\",\"tls\":false,\"cold_s\":2.0,"
              "\"cold_per_s\":0.0}";
    }
    return text +
           "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
           "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
  }
  static std::string Entry(const std::string& service, const address& at,
                           const std::string& zone, const std::string& state,
                           uint64_t born, int seq, int cold_ms = 0) {
    return "{\"service\":\"" + service + "\",\"address\":\"" + at.Text() +
           "\",\"zone\":\"" + zone +
           "\",\"version\":\"v1\",\"slots\":3,\"state\":\"" + state +
           "\",\"cold_remaining_ms\":" + std::to_string(cold_ms) +
           ",\"born\":" + std::to_string(born) +
           ",\"seq\":" + std::to_string(seq) + "}";
  }

 private:
  void Probe() {
    probed_at_ = loop_.Now();
    for (machine& m : machines_) {
      HttpGet(loop_, {m.ip, kReady}, "/ready", 0.45, [this, &m](int status) {
        const bool was_ready = m.IsReady();
        m.misses = status == 200 ? 0 : m.misses + 1;
        if (m.IsReady() != was_ready) {
          Record("machine " + m.name +
                 (m.IsReady() ? " is in rotation" : " is out of rotation"));
        }
      });
    }
    for (machine& m : machines_) {
      int status = 0;
      if (m.process <= 0 || waitpid(m.process, &status, WNOHANG) != m.process) {
        continue;
      }
      Record("the process of " + m.name + " has ended, status " +
             std::to_string(status));
      m.process = 0;
    }
    loop_.After(0.5, [this] { Probe(); });
  }

  std::string TextOf(const std::string& file) const {
    std::ifstream in(run_.root + "/" + file);
    std::stringstream text;
    text << in.rdbuf();
    if (text.str().empty()) GiveUp("no " + file);
    return text.str();
  }
  std::string RunCommand() const {
    const std::string text = TextOf("deploy/system.toml");
    const size_t at = text.find("run = \"");
    if (at == std::string::npos) GiveUp("no command in the deploy file");
    return text.substr(at + 7, text.find('"', at + 7) - at - 7);
  }
  std::string SettingsOf(const machine& m, size_t index, bool is_first) const {
    std::string text = TextOf("deploy/entry.toml");
    const std::string ip = address{m.ip, 0}.Text();
    const std::string host = ip.substr(0, ip.find(':'));
    std::string seeds;
    for (size_t i = 0; i < machines_.size() && i < 3; ++i) {
      seeds += (i == 0 ? "\"" : ", \"") +
               address{machines_[i].ip, kControl}.Text() + "\"";
    }
    const std::vector<std::pair<std::string, std::string>> values = {
        {"{{node}}", m.name},
        {"{{zone}}", m.zone},
        {"{{listen.datagram_addr}}", address{m.ip, kDatagram}.Text()},
        {"{{listen.ready}}", address{m.ip, kReady}.Text()},
        {"{{listen.control}}", address{m.ip, kControl}.Text()},
        {"{{ip}}", host},
        {"{{internal_ports.0}}", std::to_string(kInternal)},
        {"{{platform.address}}",
         address{base_ + 2, static_cast<uint16_t>(kStore + index)}.Text()},
        {"{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", seeds},
        {"{{#bootstrap}}true{{/bootstrap}}{{^bootstrap}}false{{/bootstrap}}",
         is_first ? "true" : "false"}};
    for (const auto& [name, value] : values) {
      for (size_t at = 0; (at = text.find(name)) != std::string::npos;) {
        text.replace(at, name.size(), value);
      }
    }
    if (text.find("{{") != std::string::npos) GiveUp("another template");
    return text;
  }

  event_loop& loop_;
  const options run_;
  std::ofstream record_;
  uint32_t base_ = 0;
  double started_ = 0;
  double probed_at_ = 0;
  std::vector<machine> machines_;
  std::unique_ptr<store> store_;
};

}  // namespace standin

#endif  // REVIEW_STANDIN_SITE_HPP_
