// Case: a few targets crash and start again at once under their ids; the last
// one gets more requests than a cold target may get.
#include <cmath>

#include "site.hpp"

using namespace site;

namespace {

constexpr const char* kService = "watchdesk";
const std::vector<std::string> kZones = {"zone-a", "zone-b", "zone-c"};
constexpr size_t kTargets = 22;
constexpr double kColdMs = 2000;
constexpr double kColdPerSecond = 2;
/// cold_per_s x cold_factor + cold_slack.
constexpr size_t kMost = 8;

struct taken {
  double sent = 0;
  double at = 0;
};

/// Most requests that were sent and arrived inside one second.
size_t MostInASecond(const std::vector<taken>& all) {
  size_t most = 0;
  for (const taken& first : all) {
    const double begin = first.sent;
    size_t count = 0;
    for (const taken& t : all) {
      if (t.sent >= begin && t.at < begin + 1000) ++count;
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
  std::mt19937_64 random(53);
  store platform(l, Address(1, 1));
  const uint32_t route = Address(200, 1);
  instances fleet(l, out, Address(1, 1));
  for (size_t z = 0; z < kZones.size(); ++z) {
    for (size_t i = 0; i < (z == 0 ? 3U : 2U); ++i) {
      fleet.Add(kZones[z], Address(10 + static_cast<uint32_t>(z),
                                   1 + static_cast<uint32_t>(i)));
    }
  }

  std::vector<std::unique_ptr<target>> targets(kTargets);
  std::vector<std::string> ids(kTargets);
  std::vector<int> seqs(kTargets);
  std::vector<int64_t> born(kTargets);
  std::vector<double> started(kTargets, -1e9);
  std::vector<std::vector<taken>> in_cold(kTargets);
  std::map<std::pair<uint32_t, uint16_t>, double> sent;
  const auto address = [](size_t i) {
    return Address(20 + static_cast<uint32_t>(i % 3),
                   1 + static_cast<uint32_t>(i));
  };
  const auto start = [&](size_t i, double cold_ms) {
    started[i] = Now();
    born[i] = UnixMs();
    target::hooks hooks;
    hooks.opened = [&, i, cold_ms](const arrival& a) {
      if (cold_ms == 0 || Now() - started[i] > cold_ms) return;
      const double sent_at = sent[{a.client, a.port}];
      out.Line(
          "opened target=%s machine=%s cold_for_ms=%.0f sent_before_ms=%.0f",
          ids[i].c_str(), fleet.Of(a.machine).name.c_str(), Now() - started[i],
          Now() - sent_at);
      in_cold[i].push_back({sent_at, Now()});
    };
    hooks.ran = [](const std::string&) {};
    // It tells the store before it answers anybody.
    platform.Put("servers", ids[i],
                 ServerSpec(kService, address(i), kZones[i % 3], 2, "ready",
                            static_cast<int>(cold_ms), born[i], seqs[i] = 1));
    targets[i] =
        std::make_unique<target>(l, random, ids[i], address(i), 15, hooks);
  };
  for (size_t i = 0; i < kTargets; ++i) {
    char id[32];
    std::snprintf(id, sizeof(id), "i-%08x", static_cast<unsigned>(random()));
    ids[i] = id;
    start(i, 0);
  }
  platform.Put("config", "main",
               Manifest(7, kService, route, 3, kColdPerSecond));
  for (machine& m : fleet.all) fleet.Start(m, true);
  routers fabric(l, out, fleet);
  RecordTotals(l, out);

  std::map<outcome, size_t> ends;
  std::vector<std::unique_ptr<clients>> callers;
  for (size_t z = 0; z < kZones.size(); ++z) {
    clients::hooks hooks;
    hooks.reset = [](uint16_t, bool) {};
    hooks.ended = [&](const std::string&, outcome how) { ++ends[how]; };
    callers.push_back(std::make_unique<clients>(
        l, random, fabric,
        clients::settings{kZones[z], Address(30 + static_cast<uint32_t>(z), 1),
                          route},
        hooks));
  }
  l.At(4000, [&] {
    l.Every(3, [&] {
      for (size_t z = 0; z < kZones.size(); ++z) {
        const double at = Now();
        const uint16_t port = callers[z]->Open();
        sent[{Address(30 + static_cast<uint32_t>(z), 1), port}] = at;
      }
    });
  });
  // Every target's regular reports change nothing but `seq`, so they are not
  // news. Three targets of one zone crash at once and are started again.
  const std::vector<size_t> crashed = {0, 3, 6};
  const std::vector<double> downs = {20, 35, 45};
  const int rounds = 12;
  for (int r = 0; r < rounds && HasTrouble(); ++r) {
    const double at = 8000 + 4000 * r;
    l.At(at, [&] {
      for (const size_t i : crashed) {
        targets[i].reset();
        out.Line("crashed target=%s", ids[i].c_str());
      }
    });
    for (size_t c = 0; c < crashed.size(); ++c) {
      l.At(at + downs[c], [&, i = crashed[c]] {
        in_cold[i].clear();
        start(i, kColdMs);
        out.Line("started target=%s cold_ms=%.0f", ids[i].c_str(), kColdMs);
      });
      l.At(at + downs[c] + kColdMs + 50, [&, i = crashed[c]] {
        platform.Put(
            "servers", ids[i],
            ServerSpec(kService, address(i), kZones[i % 3], 2, "ready", 0,
                       born[i], ++seqs[i]));
      });
    }
  }
  size_t worst = 0;
  for (int r = 0; r < rounds; ++r) {
    l.At(8000 + 4000 * r + 3000, [&] {
      for (const size_t i : crashed) {
        const size_t most = MostInASecond(in_cold[i]);
        worst = std::max(worst, most);
        out.Line("target=%s while_cold=%zu most_in_a_second=%zu",
                 ids[i].c_str(), in_cold[i].size(), most);
      }
    });
  }
  l.RunUntil(8000 + 4000 * rounds);
  out.Line("served=%zu reset=%zu not_opened=%zu no_answer=%zu",
           ends[outcome::kServed], ends[outcome::kReset],
           ends[outcome::kNotOpened], ends[outcome::kNoAnswer]);
  out.Line("worst=%zu", worst);
  std::printf("worst=%zu served=%zu reset=%zu\n", worst, ends[outcome::kServed],
              ends[outcome::kReset]);
  if (ends[outcome::kServed] < 1000) return 2;
  return worst > kMost ? 1 : 0;
}
