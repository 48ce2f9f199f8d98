// The project's daemons, started as deploy/system.toml says with the settings
// of its template, and the routers that probe them (DEPLOY.md, PROTOCOL.md).
#ifndef REVIEW_STANDINS_2_INSTANCES_HPP_
#define REVIEW_STANDINS_2_INSTANCES_HPP_

#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "packet.hpp"

namespace review {

constexpr uint16_t kPacketPort = 8172;
constexpr uint16_t kReadyPort = 8167;
constexpr uint16_t kControlPort = 8166;
constexpr uint16_t kInternalPort = 7720;
constexpr uint16_t kMetricsPort = 9464;
constexpr uint16_t kStorePort = 8169;
constexpr uint16_t kTargetPort = 8367;

inline std::string ReadWholeFile(const std::string& name) {
  std::ifstream file(name);
  if (!file) CannotRun("read " + name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

inline void ReplaceAll(std::string& text, const std::string& from,
                       const std::string& to) {
  for (size_t at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
}

class instances {
 public:
  struct member {
    std::string name;
    std::string zone;
    uint32_t ip = 0;
    pid_t process = 0;
    bool is_asked_to_end = false;
    int misses = 2;
    int probe = -1;
    uint64_t probe_timer = 0;
  };

  /// `root` is the repository, `folder` takes settings and logs, `stores` holds
  /// the store's address in each zone, `sizes` the zones' names and numbers of
  /// machines.
  instances(event_loop& loop, event_record& record, std::string root,
            std::string folder, uint32_t first_ip,
            const std::map<std::string, address>& stores,
            const std::vector<std::pair<std::string, int>>& sizes)
      : loop_(loop),
        record_(record),
        root_(std::move(root)),
        folder_(std::move(folder)),
        stores_(stores) {
    for (const auto& [zone, count] : sizes) {
      for (int i = 0; i < count; ++i) {
        member m;
        m.zone = zone;
        m.name = "front-" + zone + "-" + std::to_string(i + 1);
        m.ip = first_ip + static_cast<uint32_t>(members_.size());
        members_.push_back(m);
      }
    }
    ReadDeployFile();
    loop_.Every(500, [this] { ProbeAll(); });
    loop_.Every(20, [this] { Reap(); });
  }

  ~instances() {
    for (const member& m : members_) {
      if (m.process <= 0) continue;
      kill(m.process, SIGKILL);
      waitpid(m.process, nullptr, 0);
    }
  }
  instances(const instances&) = delete;
  instances& operator=(const instances&) = delete;

  size_t Size() const { return members_.size(); }
  const member& At(size_t i) const { return members_[i]; }
  bool IsRunning(size_t i) const { return members_[i].process > 0; }
  /// True if a process ended that nobody asked to end.
  bool HasEndedByItself() const { return has_ended_by_itself_; }

  void Start(size_t i, bool is_first_start) {
    member& m = members_[i];
    const std::string settings = folder_ + "/" + m.name + ".toml";
    std::ofstream(settings) << Rendered(template_, m, is_first_start);
    const std::string fields =
        "POPLARSTAIR_PLATFORM_FIELDS=" + Fields(m, is_first_start);
    std::vector<std::string> words;
    std::istringstream command(run_);
    for (std::string word; command >> word;) words.push_back(word);
    // The platform puts the settings elsewhere; here each process has its own.
    ReplaceAll(words.at(1), "/etc/poplarstair/settings.conf", settings);
    const pid_t process = fork();
    if (process < 0) CannotRun("fork");
    if (process == 0) {
      // It must not outlive this program, however that ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const std::string log = folder_ + "/" + m.name + ".out";
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, STDOUT_FILENO);
      dup2(out, STDERR_FILENO);
      if (chdir(root_.c_str()) != 0) _exit(127);
      std::vector<char*> arguments;
      for (std::string& word : words) arguments.push_back(word.data());
      arguments.push_back(nullptr);
      std::string environment = fields;
      char* variables[] = {environment.data(), nullptr};
      execve(words[0].c_str(), arguments.data(), variables);
      _exit(127);
    }
    m.process = process;
    m.is_asked_to_end = false;
    record_.Line("instance %s starts", m.name.c_str());
  }

  void Signal(size_t i, int number) {
    member& m = members_[i];
    if (m.process <= 0) return;
    if (number == SIGTERM || number == SIGKILL) m.is_asked_to_end = true;
    record_.Line("instance %s gets signal %d", m.name.c_str(), number);
    kill(m.process, number);
  }

  /// SIGTERM, as for a planned stop; it starts again once it has ended.
  void Restart(size_t i) {
    Signal(i, SIGTERM);
    StartOnceEnded(i);
  }

  /// The instance to which the platform's routers send a packet of the flow: a
  /// hash over the nodes of the zone that are in rotation, `steady`.
  address Route(const std::string& zone, const flow_key& key) const {
    std::vector<const member*> all;
    std::vector<const member*> ready;
    for (const member& m : members_) {
      if (m.zone != zone) continue;
      all.push_back(&m);
      if (m.misses < 2) ready.push_back(&m);
    }
    if (ready.empty()) {
      for (const member& m : members_) {
        if (m.misses < 2) ready.push_back(&m);
      }
    } else if (ready.size() * 2 < all.size()) {
      ready = all;
    }
    if (ready.empty()) ready = all;
    const member* best = nullptr;
    uint64_t best_hash = 0;
    for (const member* m : ready) {
      const uint64_t h = Hash(key, m->ip);
      if (best == nullptr || h > best_hash) {
        best = m;
        best_hash = h;
      }
    }
    return {best->ip, kPacketPort};
  }

  std::string NameOf(uint32_t ip) const {
    for (const member& m : members_) {
      if (m.ip == ip) return m.name;
    }
    return IpText(ip);
  }

 private:
  static uint64_t Hash(const flow_key& key, uint32_t ip) {
    uint64_t h = ip;
    const auto mix = [&h](uint64_t v) {
      h = (h ^ v) * 0x9e3779b97f4a7c15ULL;
      h ^= h >> 31U;
    };
    mix(key.first.ip);
    mix(key.first.port);
    mix(key.second.ip);
    mix(key.second.port);
    mix(ip);
    return h;
  }

  /// The role's command and its template.
  void ReadDeployFile() {
    const std::string text = ReadWholeFile(root_ + "/deploy/system.toml");
    run_ = Quoted(text, "run = ");
    template_ = ReadWholeFile(root_ + "/" + Quoted(text, "template = "));
  }
  static std::string Quoted(const std::string& text, const std::string& key) {
    const size_t at = text.find("\n" + key);
    if (at == std::string::npos) CannotRun("no " + key + "in the deploy file");
    const size_t begin = text.find('"', at) + 1;
    return text.substr(begin, text.find('"', begin) - begin);
  }

  std::vector<std::string> Seeds() const {
    std::vector<std::string> seeds;
    std::string last_zone;
    for (const member& m : members_) {
      if (m.zone == last_zone || seeds.size() == 3) continue;
      last_zone = m.zone;
      seeds.push_back(Text(address{m.ip, kControlPort}));
    }
    return seeds;
  }
  std::string SeedList() const {
    std::string list;
    for (const std::string& seed : Seeds()) {
      list += (list.empty() ? "\"" : ",\"") + seed + "\"";
    }
    return list;
  }

  /// The template's placeholders, filled in.
  std::string Rendered(std::string text, const member& m,
                       bool is_first_start) const {
    const auto listen = [&m](uint16_t port) {
      return Text(address{m.ip, port});
    };
    ReplaceAll(text, "{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", SeedList());
    ReplaceAll(text,
               "{{#bootstrap}}true{{/bootstrap}}{{^bootstrap}}false{{/"
               "bootstrap}}",
               is_first_start ? "true" : "false");
    ReplaceAll(text, "{{node}}", m.name);
    ReplaceAll(text, "{{zone}}", m.zone);
    ReplaceAll(text, "{{ip}}", IpText(m.ip));
    ReplaceAll(text, "{{listen.datagram_addr}}", listen(kPacketPort));
    ReplaceAll(text, "{{listen.ready}}", listen(kReadyPort));
    ReplaceAll(text, "{{listen.control}}", listen(kControlPort));
    ReplaceAll(text, "{{internal_ports.0}}", std::to_string(kInternalPort));
    ReplaceAll(text, "{{platform.address}}", Text(stores_.at(m.zone)));
    if (text.find("{{") != std::string::npos) {
      CannotRun("unknown placeholder in the template");
    }
    return text;
  }

  /// The platform's own fields, as far as the bounds of DEPLOY.md go.
  std::string Fields(const member& m, bool is_first_start) const {
    return "{\"node\":\"" + m.name + "\",\"zone\":\"" + m.zone +
           "\",\"ip\":\"" + IpText(m.ip) +
           "\",\"bootstrap\":" + (is_first_start ? "true" : "false") +
           ",\"heartbeat_ms\":1200,\"bounds\":{\"seed_lag_s\":3,"
           "\"addr_reuse_s\":2,\"stable_window_ms\":4000,\"ack_ms\":5000,"
           "\"catch_up_s\":4,\"drain_ms\":3000,\"grace_s\":6,"
           "\"loss_slack_ms\":200,\"config_apply_ms\":3000,"
           "\"rollback_slack_ms\":250,\"max_skew_ms\":12000,"
           "\"cold_factor\":1.5,\"cold_slack\":5,\"evacuate_ms\":5000,"
           "\"recovery_s\":12,\"flow_stray_ms\":2000,\"max_flow_s\":60},"
           "\"flow_hash\":\"steady\",\"reach_mode\":\"echo\"}";
  }

  void StartOnceEnded(size_t i) {
    loop_.After(50, [this, i] {
      if (IsRunning(i)) return StartOnceEnded(i);
      Start(i, false);
    });
  }

  void Reap() {
    for (member& m : members_) {
      int status = 0;
      if (m.process <= 0 || waitpid(m.process, &status, WNOHANG) != m.process) {
        continue;
      }
      record_.Line("instance %s has ended, status %d%s", m.name.c_str(), status,
                   m.is_asked_to_end ? "" : ", unasked");
      if (!m.is_asked_to_end) has_ended_by_itself_ = true;
      m.process = 0;
    }
  }

  /// `GET /ready` twice a second; out of rotation after two misses.
  void ProbeAll() {
    for (size_t i = 0; i < members_.size(); ++i) Probe(i);
  }
  void Probe(size_t i) {
    member& m = members_[i];
    m.probe = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in native = ToNative({m.ip, kReadyPort});
    connect(m.probe, reinterpret_cast<const sockaddr*>(&native),
            sizeof(native));
    // A connection on loopback is made or refused at once.
    const std::string request = "GET /ready HTTP/1.1\r\nhost: x\r\n\r\n";
    if (send(m.probe, request.data(), request.size(), MSG_NOSIGNAL) < 0) {
      return EndProbe(i, false);
    }
    m.probe_timer = loop_.After(400, [this, i] { EndProbe(i, false); });
    loop_.OnReadable(m.probe, [this, i] {
      char buffer[512];
      const ssize_t got = read(members_[i].probe, buffer, sizeof(buffer));
      const std::string answer(buffer, got > 0 ? static_cast<size_t>(got) : 0);
      EndProbe(i, answer.rfind("HTTP/1.1 200", 0) == 0);
    });
  }
  void EndProbe(size_t i, bool is_ready) {
    member& m = members_[i];
    loop_.Cancel(m.probe_timer);
    loop_.Forget(m.probe);
    close(m.probe);
    const bool was_in = m.misses < 2;
    m.misses = is_ready ? 0 : m.misses + 1;
    if (was_in != (m.misses < 2)) {
      record_.Line("instance %s is %s rotation", m.name.c_str(),
                   was_in ? "out of" : "in");
    }
  }

  event_loop& loop_;
  event_record& record_;
  const std::string root_;
  const std::string folder_;
  const std::map<std::string, address> stores_;
  std::string run_;
  std::string template_;
  std::vector<member> members_;
  bool has_ended_by_itself_ = false;
};

/// The loopback addresses of one run: a block 127.x.0.0/16 whose ports are
/// free.
class address_block {
 public:
  explicit address_block(size_t most_instances) {
    for (uint32_t i = 0; i < 120; ++i) {
      const uint32_t x = 64 + (static_cast<uint32_t>(getpid()) * 7 + i) % 120;
      base_ = (127U << 24U) | (x << 16U);
      if (IsFree(most_instances)) return;
    }
    CannotRun("no free block of loopback addresses");
  }
  uint32_t Instances() const { return base_ + 0x101; }
  uint32_t Target(size_t i) const {
    return base_ + 0x201 + static_cast<uint32_t>(i);
  }
  uint32_t Client(size_t i) const {
    return base_ + 0x301 + static_cast<uint32_t>(i);
  }
  /// The store's address in a zone.
  address Store(size_t zone) const {
    return {base_ + 0x401 + static_cast<uint32_t>(zone), kStorePort};
  }
  /// The platform's addresses, to which clients open flows.
  address Service(uint16_t port) const { return {base_ + 0x901, port}; }

 private:
  static bool IsFreeAt(const address& a, int type) {
    const int fd = BindSocket(a, type);
    if (fd >= 0) close(fd);
    return fd >= 0;
  }
  bool IsFree(size_t most_instances) const {
    for (uint32_t i = 0; i < most_instances; ++i) {
      const uint32_t ip = Instances() + i;
      for (const uint16_t port :
           {kReadyPort, kControlPort, kMetricsPort, kInternalPort}) {
        if (!IsFreeAt({ip, port}, SOCK_STREAM)) return false;
      }
      for (const uint16_t port : {kPacketPort, kInternalPort}) {
        if (!IsFreeAt({ip, port}, SOCK_DGRAM)) return false;
      }
    }
    return IsFreeAt(Store(0), SOCK_STREAM) &&
           IsFreeAt({Target(0), kTargetPort}, SOCK_DGRAM) &&
           IsFreeAt({Client(0), kPacketPort}, SOCK_DGRAM);
  }

  uint32_t base_ = 0;
};

}  // namespace review

#endif  // REVIEW_STANDINS_2_INSTANCES_HPP_
