// A small deployment on loopback: seven instances and eighteen targets in three
// zones, clients in each, and a store. Follows the sheet of bbb-wien in
// SYSTEM.md.
#ifndef REVIEW_STANDINS_2_SITE_HPP_
#define REVIEW_STANDINS_2_SITE_HPP_

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "client.hpp"
#include "instances.hpp"
#include "store.hpp"
#include "target.hpp"

namespace review {

/// What the command line of a case says.
struct case_options {
  std::string root;
  std::string folder;
  std::string record_file;
  bool has_trouble = true;
  uint64_t seed = 1;
};

inline case_options OptionsOf(int count, char** words) {
  if (count != 4) CannotRun("usage: CASE ROOT FOLDER RECORD");
  case_options options;
  options.root = words[1];
  options.folder = words[2];
  options.record_file = words[3];
  const char* const trouble = std::getenv("TROUBLE");
  options.has_trouble = trouble == nullptr || std::string(trouble) != "0";
  const char* const seed = std::getenv("SEED");
  options.seed =
      seed == nullptr ? static_cast<uint64_t>(getpid()) : std::stoull(seed);
  return options;
}

/// Seconds from the start of the machines to that of the traffic.
constexpr double kLeadMs = 10000;

class site {
 public:
  struct opening {
    flow_key flow;
    double sent_at = 0;
    double arrived_at = 0;
    bool was_cold = false;
    bool is_open = false;
  };

  explicit site(const case_options& options)
      : options_(options),
        record_(loop_, options.record_file),
        random_(options.seed),
        block_(7),
        store_(loop_, {block_.Store(0), block_.Store(1), block_.Store(2)}),
        instances_(loop_, record_, options.root, options.folder,
                   block_.Instances(),
                   {{"ost-a", block_.Store(0)},
                    {"ost-b", block_.Store(1)},
                    {"ost-c", block_.Store(2)}},
                   {{"ost-a", 3}, {"ost-b", 2}, {"ost-c", 2}}) {
    record_.Line("seed %llu, trouble %d",
                 static_cast<unsigned long long>(options.seed),
                 options.has_trouble ? 1 : 0);
    feed_ = {block_.Service(8443), "GET", 1200};
    registration_ = {block_.Service(8080), "POST", 1500};
    upload_ = {block_.Service(8444), "POST", 3000};
    WriteManifest();
    const char* const zones[] = {"ost-a", "ost-b", "ost-c"};
    const int listings[] = {5, 5, 4};
    const int media[] = {2, 1, 1};
    for (int z = 0; z < 3; ++z) {
      for (int i = 0; i < listings[z]; ++i) AddTarget("listings", zones[z], 40);
    }
    for (int z = 0; z < 3; ++z) {
      for (int i = 0; i < media[z]; ++i) AddTarget("media-intake", zones[z], 5);
    }
    for (size_t i = 0; i < kClients; ++i) AddClient(i, zones[i % 3]);
    for (size_t i = 0; i < instances_.Size(); ++i) instances_.Start(i, true);
  }

  event_loop& Loop() { return loop_; }
  event_record& Record() { return record_; }
  store& Store() { return store_; }
  /// The store's address in a zone: 0 for ost-a, 1 for ost-b, 2 for ost-c.
  address StoreOf(size_t zone) const { return block_.Store(zone); }
  instances& Instances() { return instances_; }
  const client_route& Feed() const { return feed_; }
  const client_route& Registration() const { return registration_; }
  const client_route& Upload() const { return upload_; }
  std::vector<std::unique_ptr<target>>& Targets() { return targets_; }
  std::vector<std::unique_ptr<client>>& Clients() { return clients_; }
  bool HasTrouble() const { return options_.has_trouble; }
  std::mt19937_64& Random() { return random_; }

  /// Hook of a case: true if the network loses the packet.
  std::function<bool(const target&, const flow_key&, const packet&)> is_lost;

  /// Calls `todo` at `ms` after the start of the traffic.
  void At(double ms, const std::function<void()>& todo) {
    loop_.After(kLeadMs + ms - loop_.Now(), todo);
  }

  /// The load of the sheet, or `factor` times as much: 291 users of long flows,
  /// about one request a second each and nine a flow, 83.3 registrations and 25
  /// uploads a second.
  void AddUsualLoad(double factor = 1) {
    const auto users = static_cast<size_t>(291 * factor);
    for (size_t i = 0; i < users; ++i) {
      At(static_cast<double>(i) * 10,
         [this] { DrawClient().AddUser(feed_, 500, 1500, 9); });
    }
    At(0, [this, factor] {
      KeepAsking(registration_, 83.3 * factor);
      KeepAsking(upload_, 25 * factor);
    });
  }

  /// New flows with one request each, `per_s` a second over all clients.
  void KeepAsking(const client_route& route, double per_s) {
    std::exponential_distribution<double> pause(per_s / 1e3);
    loop_.After(pause(random_), [this, route, per_s] {
      if (is_over_) return;
      DrawClient().Ask(route);
      KeepAsking(route, per_s);
    });
  }

  /// Runs until `ms` after the start of the traffic.
  void RunUntil(double ms) { loop_.RunUntil(kLeadMs + ms); }

  /// Ends the traffic and writes the totals. False if the site did not work:
  /// nothing can be said then.
  bool Finish() {
    is_over_ = true;
    request_counts all;
    for (const auto& c : clients_) {
      c->Stop();
      all.asked += c->Counts().asked;
      all.served += c->Counts().served;
      all.failed += c->Counts().failed;
    }
    record_.Line("requests asked %d, served %d, failed %d", all.asked,
                 all.served, all.failed);
    std::printf("requests asked %d, served %d, failed %d\n", all.asked,
                all.served, all.failed);
    return all.served * 2 > all.asked;
  }

  /// Opening packets that the target has taken.
  const std::vector<opening>& OpeningsAt(const target& t) {
    return openings_[t.Name()];
  }

  /// FAILBACK: the most openings of one second that a cold target took; sent
  /// and arrived inside that second. Writes each breach to the record.
  int MostColdOpenings() {
    int most = 0;
    for (const auto& [name, all] : openings_) {
      std::vector<opening> cold;
      for (const opening& o : all) {
        if (o.was_cold && o.is_open) cold.push_back(o);
      }
      int most_here = 0;
      double most_at = 0;
      for (const opening& first : cold) {
        const double begin = first.sent_at;
        const auto count = static_cast<int>(
            std::count_if(cold.begin(), cold.end(), [begin](const opening& o) {
              return o.sent_at >= begin && o.arrived_at < begin + 1000;
            }));
        if (count > most_here) {
          most_here = count;
          most_at = begin;
        }
      }
      if (most_here > 0) {
        record_.Line("cold target %s: %d new flows in the second from %.3f s",
                     name.c_str(), most_here, most_at / 1e3);
      }
      most = std::max(most, most_here);
    }
    return most;
  }

  /// Hooks of a case.
  std::function<void(const target&, const flow_key&)> on_opened;
  std::function<void(const target&, const flow_key&, const packet&)> on_arrived;
  std::function<void(const target&, const flow_key&)> on_target_reset;
  std::function<void(const flow_key&, const packet&, bool is_open)>
      on_client_reset;

  /// Writes the first manifest, with one route for each kind of request.
  void WriteManifest() {
    const auto route = [](const std::string& name, const address& a,
                          const std::string& type, int timeout, int priority,
                          const std::string& service) {
      return "{\"name\":\"" + name + "\",\"hostname\":\"" + IpText(a.ip) +
             "\",\"path_prefix\":\"/" + std::to_string(a.port) +
             "/\",\"type\":\"" + type +
             "\",\"timeout_ms\":" + std::to_string(timeout) +
             ",\"aim_ms\":200,\"priority\":" + std::to_string(priority) +
             ",\"service\":\"" + service + "\",\"max_attempts\":2}";
    };
    const auto service = [](const std::string& name) {
      return "{\"name\":\"" + name +
             "\",\"health_path\":\"/health\",\"max_conns\":2000,"
             "\"protocol\":\"h1\",\"tls\":false,\"cold_s\":2.0,"
             "\"cold_per_s\":0.0}";
    };
    store_.Put("config", "main",
               "{\"version\":7,\"routes\":[" +
                   route("r-feed", feed_.service, "safe", 1200, 2, "listings") +
                   "," +
                   route("r-registration", registration_.service, "unsafe",
                         1500, 1, "listings") +
                   "," +
                   route("r-upload", upload_.service, "upload", 3000, 2,
                         "media-intake") +
                   "],\"services\":[" + service("listings") + "," +
                   service("media-intake") +
                   "],\"limits\":{\"max_header_bytes\":16384,"
                   "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,"
                   "\"idle_timeout_ms\":15000}}");
  }

 private:
  static constexpr size_t kClients = 12;

  /// A client, of a zone drawn by the zones' traffic on the sheet's days.
  client& DrawClient() {
    std::discrete_distribution<size_t> zone({136, 118, 146});
    return *clients_[zone(random_) + 3 * (random_() % (kClients / 3))];
  }

  void AddTarget(const std::string& service, const std::string& zone,
                 double work_ms) {
    target_settings settings;
    settings.id = 0x1000000000ULL + (random_() & 0xfffffffffULL);
    settings.service = service;
    settings.zone = zone;
    settings.local = {block_.Target(targets_.size()), kTargetPort};
    settings.client_port = kPacketPort;
    settings.work_ms = work_ms;
    target::hooks hooks;
    hooks.syn = [this](const target& t, const packet& p, bool is_new) {
      if (!is_new) return;
      const flow_key key{p.source, p.destination};
      openings_[t.Name()].push_back(
          {key, first_sent_[key], loop_.Now(), t.IsCold(), false});
    };
    hooks.opened = [this](const target& t, const flow_key& key) {
      auto& all = openings_[t.Name()];
      const auto last =
          std::find_if(all.rbegin(), all.rend(),
                       [&key](const opening& o) { return o.flow == key; });
      if (last != all.rend()) last->is_open = true;
      record_.Line("flow %s opens at %s%s", FlowText(key).c_str(),
                   t.Name().c_str(), t.IsCold() ? " (cold)" : "");
      if (on_opened) on_opened(t, key);
    };
    hooks.arrived = [this](const target& t, const flow_key& key,
                           const packet& p) {
      if (on_arrived) on_arrived(t, key, p);
    };
    hooks.reset = [this](const target& t, const flow_key& key) {
      record_.Line("target %s resets %s", t.Name().c_str(),
                   FlowText(key).c_str());
      if (on_target_reset) on_target_reset(t, key);
    };
    hooks.ran = [this](const target& t, const std::string& request) {
      record_.Line("target %s runs %s", t.Name().c_str(), request.c_str());
    };
    hooks.is_lost = [this](const target& t, const flow_key& key,
                           const packet& p) {
      return is_lost && is_lost(t, key, p);
    };
    targets_.push_back(std::make_unique<target>(loop_, store_, settings,
                                                random_(), std::move(hooks)));
  }

  void AddClient(size_t i, const std::string& zone) {
    client::hooks hooks;
    hooks.route = [this, zone](const flow_key& key) {
      return instances_.Route(zone, key);
    };
    hooks.opening = [this](const flow_key& key) {
      first_sent_[key] = loop_.Now();
    };
    hooks.sent = [this](const flow_key& key, const std::string& request) {
      record_.Line("client asks %s on %s", request.c_str(),
                   FlowText(key).c_str());
    };
    hooks.ended = [this](const flow_key& key, const std::string& request,
                         const std::string& outcome) {
      record_.Line("client has %s on %s: %s", request.c_str(),
                   FlowText(key).c_str(), outcome.c_str());
    };
    hooks.reset = [this](const flow_key& key, const packet& p, bool is_open) {
      record_.Line("client gets a reset on %s%s from %s", FlowText(key).c_str(),
                   is_open ? ", open," : "",
                   p.sum == 0 ? "the system" : "a target");
      if (on_client_reset) on_client_reset(key, p, is_open);
    };
    hooks.forged = [this](const packet& p) {
      record_.Line("client gets a packet with a wrong sum from %s",
                   Text(p.source).c_str());
    };
    clients_.push_back(
        std::make_unique<client>(loop_, address{block_.Client(i), kPacketPort},
                                 random_(), std::move(hooks)));
  }

  const case_options options_;
  event_loop loop_;
  event_record record_;
  std::mt19937_64 random_;
  const address_block block_;
  store store_;
  instances instances_;
  client_route feed_;
  client_route registration_;
  client_route upload_;
  std::vector<std::unique_ptr<target>> targets_;
  std::vector<std::unique_ptr<client>> clients_;
  /// When the client sent the packet that opened the flow.
  std::map<flow_key, double> first_sent_;
  std::map<std::string, std::vector<opening>> openings_;
  bool is_over_ = false;
};

}  // namespace review

#endif  // REVIEW_STANDINS_2_SITE_HPP_
