// Plays one case of the review: play CASE ROOT RECORD FOLDER
// Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
// TROUBLE=0 in the environment leaves the disruption out.

#include "review/standin/site.hpp"

namespace standin {

namespace {

// Bounds of the installation, in seconds.
constexpr double kDrain = 3.0;
constexpr double kStableWindow = 4.0;
constexpr double kFlowStray = 2.0;

/// What the cases have in common.
class played_case {
 public:
  played_case(event_loop& loop, const site::options& run,
              const std::vector<std::string>& zones)
      : loop_(loop), site_(loop, run, zones) {
    route_ = {site_.ClientIp() + 50, 8080};
    site_.Objects().Put("config", "main", Manifest(1));
    client_ = std::make_unique<client>(
        loop_, site_.ClientIp(), site::kDatagram,
        client::hooks{
            [this](const std::string& line) { site_.Record(line); },
            [this](uint16_t port) { return site_.Route("ost-a", port); }});
    if (!client_->IsBound()) GiveUp("port of the clients is taken");
  }
  virtual ~played_case() = default;

  int Play() {
    site_.StartAll();
    site_.WhenReady([this] {
      site_.Record("begin");
      begin();
    });
    loop_.After(100, [] { GiveUp("the case does not end"); });
    loop_.Run();
    site_.Record(broken_.empty() ? "the rule held" : "BROKEN: " + broken_);
    return broken_.empty() ? 0 : 1;
  }

 protected:
  virtual void begin() = 0;
  virtual void OnOpened(target& /*at*/, const packet& /*p*/) {}
  virtual bool Delivers(target& /*from*/, const packet& /*p*/) { return true; }
  virtual bool Arrives(target& /*at*/, const packet& /*p*/) { return true; }
  virtual void Astray(target& /*at*/, const packet& /*p*/) {}

  std::string Manifest(uint64_t version, int timeout_ms = 1500) const {
    return site::Manifest(version, {{route_, "safe", "listings"}}, {"listings"},
                          timeout_ms);
  }
  target& AddTarget(const std::string& id, const std::string& zone,
                    int cold_ms = 0) {
    const auto index = static_cast<uint32_t>(targets_.size());
    const address at = site_.TargetAddress(index);
    targets_.push_back(std::make_unique<target>(
        loop_, id, at, site::kDatagram, 0.02,
        target::hooks{
            [this](const std::string& line) { site_.Record(line); },
            [this, index](const packet& p) {
              site_.Record("target " + targets_[index]->Id() +
                           " takes the opening packet of flow " +
                           std::to_string(p.source.port));
              OnOpened(*targets_[index], p);
            },
            [this, index](const packet& p) {
              return Delivers(*targets_[index], p);
            },
            [this, index](const packet& p) {
              return Arrives(*targets_[index], p);
            },
            [this, index](const packet& p) { Astray(*targets_[index], p); }}));
    if (!targets_.back()->IsBound()) GiveUp("port of a target is taken");
    zones_.push_back(zone);
    PutEntry(index, "ready", cold_ms);
    return *targets_.back();
  }
  void PutEntry(size_t index, const std::string& state, int cold_ms = 0) {
    const target& t = *targets_[index];
    site_.Objects().Put("servers", t.Id(),
                        site::Entry("listings", t.Local(), zones_[index], state,
                                    BornOf(index), ++last_seq_, cold_ms));
    site_.Record("the store confirms servers/" + t.Id() + " " + state);
  }
  static uint64_t BornOf(size_t index) { return 1764892800000 + index; }

  /// Opens flows at a steady rate, each for one request.
  void AskUntil(double end, double interval) {
    if (loop_.Now() >= end) return;
    const std::string request = "q" + std::to_string(++last_request_);
    auto port = std::make_shared<uint16_t>();
    *port = client_->Open(route_, [this, port, request](bool is_open) {
      if (!is_open) {
        site_.Record("request " + request + " is not served");
        return;
      }
      client_->Request(
          *port, request, 1.5, [this, port](const client::outcome&) {
            loop_.After(0, [this, port] { client_->CloseFlow(*port); });
          });
    });
    asked_at_[*port] = loop_.Now();
    loop_.After(interval, [this, end, interval] { AskUntil(end, interval); });
  }
  void BreakRule(const std::string& what) {
    if (broken_.empty()) broken_ = what;
    site_.Record("broken: " + what);
  }

  event_loop& loop_;
  site site_;
  address route_;
  std::unique_ptr<client> client_;
  std::vector<std::unique_ptr<target>> targets_;
  std::vector<std::string> zones_;
  std::map<uint16_t, double> asked_at_;
  int last_seq_ = 0;
  int last_request_ = 0;
  std::string broken_;
};

const std::vector<std::string> kThreeZones = {"ost-a", "ost-b", "ost-c"};

/// Another writer leaves an entry that can't be read; later a target drains.
class unreadable_entry : public played_case {
 public:
  unreadable_entry(event_loop& loop, const site::options& run)
      : played_case(loop, run, kThreeZones) {
    AddTarget("i-00000a01", "ost-a");
    AddTarget("i-00000a02", "ost-a");
    AddTarget("i-00000b01", "ost-b");
    AddTarget("i-00000c01", "ost-c");
  }

 private:
  void begin() override {
    AskUntil(loop_.Now() + 11, 0.1);
    if (site_.HasTrouble()) {
      // A text that was cut within a character: valid JSON, no valid text.
      const char* other = std::getenv("ENTRY");
      site_.Objects().Put(
          "servers", "i-0000f0f0",
          other != nullptr
              ? other
              : R"({"service":"listings","address":"-","zone":"\ud83d","seq":1})");
      site_.Record("another writer leaves an entry that can't be read");
    }
    loop_.After(2, [this] {
      PutEntry(0, "draining");
      draining_since_ = loop_.Now();
    });
    loop_.After(11, [this] {
      targets_[0]->Exit();
      site_.Objects().Remove("servers", targets_[0]->Id());
      loop_.After(2, [this] { RestartAll(); });
    });
  }
  /// Not judged: shows that a restart does not help.
  void RestartAll() {
    is_judged_ = false;
    site_.Record("the rule is judged up to here; all machines are restarted");
    for (size_t i = 0; i < site_.Machines().size(); ++i) {
      machine& m = site_.Machines()[i];
      site_.Signal(m, SIGKILL);
      waitpid(m.process, nullptr, 0);
      site_.Start(m, i, false);
    }
    loop_.After(10, [this] {
      const auto& all = site_.Machines();
      const auto ready = std::count_if(
          all.begin(), all.end(), [](const machine& m) { return m.IsReady(); });
      site_.Record(std::to_string(ready) + " of " + std::to_string(all.size()) +
                   " machines are in rotation 10 s after the restart");
      loop_.Stop();
    });
  }
  void OnOpened(target& at, const packet&) override {
    if (!is_judged_) return;
    if (&at != targets_[0].get() || draining_since_ == 0) return;
    const double late = loop_.Now() - draining_since_ - kDrain;
    if (late <= 0) return;
    BreakRule("DRAIN: target " + at.Id() + " got a request " +
              std::to_string(late + kDrain) +
              " s after the store confirmed that it is draining");
  }
  double draining_since_ = 0;
  bool is_judged_ = true;
};

/// Channels to the store go silent just before it tells of a target that
/// drains.
class silent_channels : public played_case {
 public:
  silent_channels(event_loop& loop, const site::options& run)
      : played_case(loop, run, kThreeZones) {
    AddTarget("i-00000a01", "ost-a");
    AddTarget("i-00000a02", "ost-a");
    AddTarget("i-00000b01", "ost-b");
    AddTarget("i-00000c01", "ost-c");
  }

 private:
  void begin() override {
    // A release: the new target starts first, the old one drains.
    AddTarget("i-00000a03", "ost-a");
    loop_.After(0.3, [this] { DrainWhenWatched(); });
  }
  void DrainWhenWatched() {
    if (site_.Objects().Waiting("servers") < site_.Machines().size()) {
      return loop_.After(0.01, [this] { DrainWhenWatched(); });
    }
    const size_t answered = site_.Objects().Answered();
    if (site_.HasTrouble()) {
      site_.Objects().SetFilter([this](const store::call& made) {
        if (made.kind != "servers") return true;
        site_.Record("the channel to the store on which " +
                     site_.Machines()[made.machine].name +
                     " watches targets goes silent");
        return false;
      });
    }
    PutEntry(0, "draining");
    draining_since_ = loop_.Now();
    site_.Objects().SetFilter(nullptr);
    judged_from_ = draining_since_ + std::max(kDrain, kStableWindow) + 0.1;
    AskUntil(loop_.Now() + 8, 0.05);
    // Planned changes of time-outs go on meanwhile.
    for (int i = 1; i <= 3; ++i) {
      loop_.After(i * 1.1, [this, i] {
        site_.Objects().Put("config", "main", Manifest(1 + i, 1500 + i));
        site_.Record("the store confirms a manifest with other time-outs");
      });
    }
    loop_.After(4.5, [this, answered] {
      const size_t lost = site_.Objects().Lost();
      const size_t all = site_.Objects().Answered() - answered + lost;
      site_.Record(std::to_string(lost) + " of " + std::to_string(all) +
                   " answers of the store were lost in 4.5 s");
      if (100 * lost > 35 * all) GiveUp("too many answers were lost");
    });
    loop_.After(9, [this] {
      targets_[0]->Exit();
      site_.Objects().Remove("servers", targets_[0]->Id());
      loop_.After(2, [this] { loop_.Stop(); });
    });
  }
  void OnOpened(target& at, const packet& p) override {
    if (&at != targets_[0].get() || judged_from_ == 0) return;
    if (asked_at_[p.source.port] < judged_from_) return;
    BreakRule("DRAIN: target " + at.Id() + " got a request " +
              std::to_string(loop_.Now() - draining_since_) +
              " s after the store confirmed that it is draining");
  }
  double draining_since_ = 0;
  double judged_from_ = 0;
};

/// Another writer leaves an entry of a service that no manifest names, with a
/// live target's address; two datagrams to that target are lost.
class claimed_address : public played_case {
 public:
  claimed_address(event_loop& loop, const site::options& run)
      : played_case(loop, run, kThreeZones) {
    AddTarget("i-00000a01", "ost-a");
    AddTarget("i-00000a02", "ost-a");
    AddTarget("i-00000b01", "ost-b");
    AddTarget("i-00000c01", "ost-c");
  }

 private:
  void begin() override {
    flow_ = client_->Open(route_, [this](bool is_open) {
      if (!is_open) GiveUp("the flow does not open");
      client_->Request(flow_, "first", 1.5, [this](const client::outcome& o) {
        if (!o.is_answered) GiveUp("the first request is not answered");
        for (const auto& t : targets_) {
          if (t->Id() == o.stamp) owner_ = t.get();
        }
        site_.Record("the flow's target is " + owner_->Id());
        loop_.After(1, [this] { Disturb(); });
      });
    });
  }
  void Disturb() {
    if (site_.HasTrouble()) {
      site_.Objects().Put("servers", "i-0000f0f0",
                          site::Entry("another-service", owner_->Local(),
                                      "ost-a", "ready", BornOf(1000), 1));
      site_.Record(
          "another writer leaves an entry of an unknown service with "
          "the address of " +
          owner_->Id());
    }
    loop_.After(1.5, [this] {
      to_lose_ = site_.HasTrouble() ? 2 : 0;
      // Each is served before the next one comes.
      AskUntil(loop_.Now() + 4.0, 0.12);
    });
    loop_.After(11.0, [this] {
      if (to_lose_ > 0) GiveUp("no two datagrams went to the flow's target");
      const double calm = loop_.Now() - lost_at_;
      if (site_.HasTrouble()) {
        site_.Record("no disruption for " + std::to_string(calm) + " s");
        if (calm <= kStableWindow) GiveUp("a disruption is too recent");
      }
      client_->Request(flow_, "second", 2.5, [this](const client::outcome& o) {
        if (o.is_reset_by_system) {
          BreakRule(
              "FLOW (a): the client gets a reset of the system, the "
              "flow's target " +
              owner_->Id() + " lives");
        }
        loop_.After(0.2, [this] { loop_.Stop(); });
      });
    });
  }
  bool Arrives(target& at, const packet& p) override {
    if (&at != owner_ || !p.Has(kSyn) || to_lose_ == 0) return true;
    --to_lose_;
    // Losses that are further apart would be counted one by one.
    if (to_lose_ == 0 && loop_.Now() - lost_at_ > 1.4) to_lose_ = 1;
    lost_at_ = loop_.Now();
    site_.Record("one datagram is lost: a SYN to " + at.Id());
    return false;
  }
  uint16_t flow_ = 0;
  target* owner_ = nullptr;
  int to_lose_ = 0;
  double lost_at_ = 0;
};

/// Another writer leaves an entry of a service that no manifest names, under a
/// name that ends in the digits of a live target's id.
class copied_name : public played_case {
 public:
  copied_name(event_loop& loop, const site::options& run)
      : played_case(loop, run, kThreeZones) {
    AddTarget("i-00000a01", "ost-a");
    AddTarget("i-00000a02", "ost-a");
    AddTarget("i-00000b01", "ost-b");
    AddTarget("i-00000c01", "ost-c");
  }

 private:
  void begin() override {
    flow_ = client_->Open(route_, [this](bool is_open) {
      if (!is_open) GiveUp("the flow does not open");
      client_->Request(flow_, "first", 1.5, [this](const client::outcome& o) {
        if (!o.is_answered) GiveUp("the first request is not answered");
        for (const auto& t : targets_) {
          if (t->Id() == o.stamp) owner_ = t.get();
        }
        site_.Record("the flow's target is " + owner_->Id());
        loop_.After(1, [this] { Disturb(); });
      });
    });
  }
  void Disturb() {
    if (site_.HasTrouble()) {
      const target& other =
          *(owner_ == targets_[0].get() ? targets_[1] : targets_[0]);
      const std::string name = "old-" + owner_->Id();
      site_.Objects().Put("servers", name,
                          site::Entry("another-service", other.Local(), "ost-a",
                                      "ready", BornOf(0) - 1, 1));
      site_.Record("another writer leaves servers/" + name +
                   ", an entry of an unknown service");
    }
    loop_.After(3, [this] {
      asked_at_again_ = loop_.Now();
      client_->Request(flow_, "second", 2.5, [this](const client::outcome& o) {
        const double waited = loop_.Now() - asked_at_again_;
        if (o.is_reset_by_system) {
          BreakRule(
              "FLOW (a): the client gets a reset of the system, the "
              "flow's target " +
              owner_->Id() + " lives and got " + std::to_string(own_packets_) +
              " packets");
        }
        if (!o.is_answered && strays_ >= 3 && own_packets_ == 0 &&
            waited >= kFlowStray) {
          BreakRule("FLOW (b): for " + std::to_string(waited) + " s " +
                    std::to_string(strays_) +
                    " packets of the flow reached other targets and none its "
                    "own, " +
                    owner_->Id() + ", which lives");
        }
        loop_.After(0.2, [this] { loop_.Stop(); });
      });
    });
  }
  bool Arrives(target& at, const packet& p) override {
    if (p.source.port != flow_ || asked_at_again_ == 0) return true;
    ++(&at == owner_ ? own_packets_ : strays_);
    return true;
  }
  void Astray(target& at, const packet& p) override {
    if (p.source.port != flow_ || asked_at_again_ == 0) return;
    ++strays_;
    site_.Record("target " + at.Id() +
                 " gets a packet of the flow, meant for "
                 "another target");
  }
  uint16_t flow_ = 0;
  target* owner_ = nullptr;
  double asked_at_again_ = 0;
  int own_packets_ = 0;
  int strays_ = 0;
};

/// A service's targets crash and start again; while they are cold, a machine of
/// their zone is restarted as planned.
class two_owners : public played_case {
 public:
  two_owners(event_loop& loop, const site::options& run)
      : played_case(loop, run, {"ost-a", "ost-a", "ost-b", "ost-c"}) {
    AddTarget("i-00000a01", "ost-a");
  }

 private:
  // The manifest states 0 cold_per_s; cold_factor is 1.5, cold_slack 5.
  static constexpr double kColdFlows = 0.0 * 1.5 + 5;
  static constexpr double kColdTime = 2.0;

  void begin() override {
    // Down for less than 4.5 s, the longest that the site names.
    targets_[0]->Exit();
    loop_.After(1.5, [this] { StartAgain(); });
  }
  void StartAgain() {
    started_at_ = loop_.Now();
    AddTarget("i-00000a01", "ost-a", static_cast<int>(kColdTime * 1000));
    // All machines know the entry by then.
    loop_.After(0.4, [this] {
      AskUntil(started_at_ + kColdTime, 0.003);
      if (site_.HasTrouble()) RestartOwner();
    });
    loop_.After(6.0, [this] {
      Judge();
      loop_.Stop();
    });
  }
  void RestartOwner() {
    // Right after a probe was answered.
    const double since_probe = loop_.Now() - site_.ProbedAt();
    if (opened_.empty() || since_probe < 0.02 || since_probe > 0.06) {
      return loop_.After(0.005, [this] { RestartOwner(); });
    }
    for (size_t i = 0; i < site_.Machines().size(); ++i) {
      machine& m = site_.Machines()[i];
      if (m.ip != owner_ip_) continue;
      site_.Signal(m, SIGTERM);
      // Started again once it has ended, as in a roll.
      loop_.After(3.5, [this, &m, i] { site_.Start(m, i, false); });
    }
  }
  void OnOpened(target& at, const packet& p) override {
    if (&at == targets_[0].get()) return;
    const double now = loop_.Now();
    if (now - started_at_ > kColdTime) return;
    const auto through = site_.Route("ost-a", p.source.port);
    if (opened_.empty()) owner_ip_ = through->ip;
    site_.Record("the cold target has got flow " +
                 std::to_string(p.source.port) + " through " + through->Text());
    opened_.emplace_back(asked_at_[p.source.port], now);
  }
  void Judge() {
    size_t most = 0;
    for (const auto& [first_sent, first] : opened_) {
      size_t count = 0;
      for (const auto& [sent, arrived] : opened_) {
        if (sent >= first_sent && arrived < first_sent + 1) ++count;
      }
      most = std::max(most, count);
    }
    site_.Record("the cold target got " + std::to_string(most) +
                 " requests in one second at most");
    if (most > kColdFlows) {
      BreakRule("FAILBACK: a cold target got " + std::to_string(most) +
                " requests in one second, 5 are allowed");
    }
  }
  double started_at_ = 0;
  uint32_t owner_ip_ = 0;
  /// When each was sent, and when it arrived.
  std::vector<std::pair<double, double>> opened_;
};

int Play(const std::string& name, const site::options& run) {
  event_loop loop;
  std::unique_ptr<played_case> chosen;
  if (name == "unreadable_entry") {
    chosen = std::make_unique<unreadable_entry>(loop, run);
  } else if (name == "silent_channels") {
    chosen = std::make_unique<silent_channels>(loop, run);
  } else if (name == "claimed_address") {
    chosen = std::make_unique<claimed_address>(loop, run);
  } else if (name == "copied_name") {
    chosen = std::make_unique<copied_name>(loop, run);
  } else if (name == "two_owners") {
    chosen = std::make_unique<two_owners>(loop, run);
  } else {
    GiveUp("no case " + name);
  }
  return chosen->Play();
}

}  // namespace

}  // namespace standin

int main(int count, char** words) {
  if (count != 5) standin::GiveUp("usage: play CASE ROOT RECORD FOLDER");
  std::signal(SIGPIPE, SIG_IGN);
  const char* trouble = std::getenv("TROUBLE");
  const standin::site::options run{
      words[2], words[3], words[4],
      trouble == nullptr || std::string(trouble) != "0"};
  return standin::Play(words[1], run);
}
