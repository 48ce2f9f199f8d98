// Case: the seeds in the settings are stale. Each instance of a zone takes
// itself for an owner of the zone's cold target.
#include <cmath>

#include "site.hpp"

using namespace site;

namespace {

constexpr const char* kService = "media-intake";
constexpr const char* kZone = "zone-a";
/// Seven machines and the first zone's spare one.
const std::vector<std::string> kMachineZones = {"zone-a", "zone-a", "zone-a",
                                                "zone-a", "zone-b", "zone-b",
                                                "zone-c", "zone-c"};
const std::vector<std::string> kTargetZones = {"zone-a", "zone-b", "zone-b",
                                               "zone-c"};
constexpr double kDownMs = 500;
constexpr double kColdMs = 2000;
constexpr double kColdPerSecond = 40;
/// cold_per_s x cold_factor + cold_slack.
constexpr size_t kMost = 65;

struct taken {
  double sent = 0;
  double at = 0;
};

/// Most requests that were sent and arrived inside one second.
size_t MostInASecond(const std::vector<taken>& all) {
  size_t most = 0;
  for (const taken& first : all) {
    size_t count = 0;
    for (const taken& t : all) {
      if (t.sent >= first.sent && t.at < first.sent + 1000) ++count;
    }
    most = std::max(most, count);
  }
  return most;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return 2;
  loop l;
  record out(argv[1]);
  std::mt19937_64 random(55);
  store platform(l, Address(1, 1));
  const uint32_t route = Address(200, 1);
  instances fleet(l, out, Address(1, 1));
  fleet.has_stale_seeds = HasTrouble();
  for (uint32_t i = 0; i < kMachineZones.size(); ++i) {
    fleet.Add(kMachineZones[i], Address(10, 1 + i));
  }

  // By place; each start is a new lifetime with a new id at the old address.
  std::vector<std::unique_ptr<target>> targets(kTargetZones.size());
  std::vector<int64_t> born(kTargetZones.size());
  int seq = 0;
  std::vector<taken> in_cold;
  std::map<uint32_t, size_t> by_machine;
  std::map<uint16_t, double> sent;
  const auto tell = [&](size_t i, double cold_ms) {
    platform.Put(
        "servers", targets[i]->Id(),
        ServerSpec(kService, targets[i]->At(), kTargetZones[i], 2, "ready",
                   static_cast<int>(cold_ms), born[i], ++seq));
    out.Line("target=%s zone=%s cold_ms=%.0f", targets[i]->Id().c_str(),
             kTargetZones[i].c_str(), cold_ms);
  };
  const auto start = [&](size_t i, double cold_ms) {
    char id[32];
    std::snprintf(id, sizeof(id), "i-%08x", static_cast<unsigned>(random()));
    target::hooks hooks;
    const double cold_until = Now() + cold_ms;
    hooks.opened = [&, i, cold_until](const arrival& a) {
      if (i != 0 || Now() > cold_until) return;
      in_cold.push_back({sent[a.port], Now()});
      ++by_machine[a.machine];
      out.Line("opened cold target machine=%s",
               fleet.Of(a.machine).name.c_str());
    };
    hooks.ran = [](const std::string&) {};
    targets[i] = std::make_unique<target>(
        l, random, id, Address(20, 1 + static_cast<uint32_t>(i)), 5, hooks);
    born[i] = UnixMs();
    tell(i, cold_ms);
  };
  for (size_t i = 0; i < targets.size(); ++i) start(i, 0);
  platform.Put("config", "main",
               Manifest(7, kService, route, 3, kColdPerSecond));
  for (machine& m : fleet.all) fleet.Start(m, true);
  routers fabric(l, out, fleet);
  RecordTotals(l, out);

  std::map<outcome, size_t> ends;
  clients::hooks hooks;
  hooks.reset = [](uint16_t, bool) {};
  hooks.ended = [&](const std::string&, outcome how) { ++ends[how]; };
  clients callers(l, random, fabric,
                  clients::settings{kZone, Address(30, 1), route}, hooks);
  l.At(4000, [&] {
    l.Every(4, [&] {
      for (int i = 0; i < 4; ++i) {
        const double at = Now();
        sent[callers.Open()] = at;
      }
    });
  });
  // All targets of the service crash and start again; three times.
  size_t worst = 0;
  for (int r = 0; r < 3; ++r) {
    const double at = 12000 + 8000 * r;
    l.At(at, [&] {
      for (auto& t : targets) {
        const std::string id = t->Id();
        t.reset();
        out.Line("crashed target=%s", id.c_str());
        // Three report intervals of silence.
        l.After(3600, [&, id] { platform.Delete("servers", id); });
      }
      in_cold.clear();
      by_machine.clear();
    });
    l.At(at + kDownMs, [&] {
      for (size_t i = 0; i < targets.size(); ++i) start(i, kColdMs);
    });
    l.At(at + kDownMs + kColdMs + 50, [&] {
      for (size_t i = 0; i < targets.size(); ++i) tell(i, 0);
    });
    l.At(at + kDownMs + kColdMs + 500, [&] {
      const size_t most = MostInASecond(in_cold);
      worst = std::max(worst, most);
      out.Line("while_cold=%zu most_in_a_second=%zu machines=%zu",
               in_cold.size(), most, by_machine.size());
    });
  }
  l.RunUntil(12000 + 8000 * 3);
  out.Line("served=%zu reset=%zu not_opened=%zu no_answer=%zu",
           ends[outcome::kServed], ends[outcome::kReset],
           ends[outcome::kNotOpened], ends[outcome::kNoAnswer]);
  out.Line("worst=%zu", worst);
  std::printf("worst=%zu served=%zu reset=%zu\n", worst, ends[outcome::kServed],
              ends[outcome::kReset]);
  if (ends[outcome::kServed] < 1000) return 2;
  return worst > kMost ? 1 : 0;
}
