// Case: two targets whose ids have the same 32-bit hash; an instance is
// restarted as planned, and open flows of the one target go to the other.
#include <cmath>

#include "site.hpp"

using namespace site;

namespace {

constexpr const char* kService = "watchdesk";
const std::vector<std::string> kZones = {"zone-a", "zone-b", "zone-c"};
/// Ids of the two targets.
constexpr const char* kFirst = "i-d8cab953";
constexpr const char* kOther = "i-61311dff";
constexpr size_t kTargets = 6;

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return 2;
  loop l;
  record out(argv[1]);
  std::mt19937_64 random(54);
  store platform(l, Address(1, 1));
  const uint32_t route = Address(200, 1);
  instances fleet(l, out, Address(1, 1));
  for (size_t z = 0; z < kZones.size(); ++z) {
    for (size_t i = 0; i < (z == 0 ? 3U : 2U); ++i) {
      fleet.Add(kZones[z], Address(10 + static_cast<uint32_t>(z),
                                   1 + static_cast<uint32_t>(i)));
    }
  }

  size_t foreign_resets = 0;
  std::vector<std::unique_ptr<target>> targets;
  const auto add = [&](const std::string& id, int cold_ms) {
    const size_t i = targets.size();
    const uint32_t address = Address(20 + static_cast<uint32_t>(i % 3),
                                     1 + static_cast<uint32_t>(i));
    target::hooks hooks;
    hooks.opened = [](const arrival&) {};
    hooks.ran = [](const std::string&) {};
    hooks.stray = [&, id](uint32_t client, uint16_t port, uint32_t from) {
      for (const auto& t : targets) {
        if (t->Id() == id || !t->Holds(client, port)) continue;
        ++foreign_resets;
        out.Line("reset flow=%s by=%s held_by=%s machine=%s",
                 Text(client, port).c_str(), id.c_str(), t->Id().c_str(),
                 fleet.Of(from).name.c_str());
      }
    };
    platform.Put("servers", id,
                 ServerSpec(kService, address, kZones[i % 3], 2, "ready",
                            cold_ms, UnixMs(), 1));
    targets.push_back(
        std::make_unique<target>(l, random, id, address, 15, hooks));
    out.Line("target id=%s", id.c_str());
  };
  add(kFirst, 0);
  for (size_t i = 1; i < kTargets; ++i) {
    char id[32];
    std::snprintf(id, sizeof(id), "i-%08x", static_cast<unsigned>(random()));
    add(id, 0);
  }
  platform.Put("config", "main", Manifest(7, kService, route, 3));
  for (machine& m : fleet.all) fleet.Start(m, true);
  routers fabric(l, out, fleet);
  RecordTotals(l, out);

  std::map<outcome, size_t> ends;
  std::vector<std::unique_ptr<clients>> callers;
  for (size_t z = 0; z < kZones.size(); ++z) {
    clients::hooks hooks;
    hooks.reset = [](uint16_t, bool) {};
    hooks.ended = [&, z](const std::string& request, outcome how) {
      ++ends[how];
      if (how == outcome::kServed) return;
      out.Line("lost request=%s outcome=%d", request.c_str(),
               static_cast<int>(how));
    };
    callers.push_back(std::make_unique<clients>(
        l, random, fabric,
        clients::settings{kZones[z], Address(30 + static_cast<uint32_t>(z), 1),
                          route},
        hooks));
  }
  // Long flows, as those of a feed: some hundred requests each, with pauses.
  l.At(4000, [&] {
    for (int i = 0; i < 80; ++i) {
      l.After(10 * i, [&] {
        for (auto& c : callers) c->Open(100, 400);
      });
    }
  });
  // Planned work: a target is added. Its id differs, the hash does not.
  l.At(7000, [&] { add(kOther, 2000); });
  // Planned work: one instance is stopped and started again.
  if (HasTrouble()) {
    machine& restarted = fleet.all[0];
    l.At(11000, [&] {
      out.Line("SIGTERM machine=%s", restarted.name.c_str());
      fleet.Signal(restarted, SIGTERM);
    });
    l.At(15000, [&] {
      if (!fleet.Reap(restarted))
        out.Line("still running machine=%s", restarted.name.c_str());
      fleet.Start(restarted, false);
    });
  }
  l.RunUntil(26000);
  out.Line("served=%zu reset=%zu not_opened=%zu no_answer=%zu",
           ends[outcome::kServed], ends[outcome::kReset],
           ends[outcome::kNotOpened], ends[outcome::kNoAnswer]);
  out.Line("foreign_resets=%zu", foreign_resets);
  std::printf("foreign_resets=%zu served=%zu reset=%zu\n", foreign_resets,
              ends[outcome::kServed], ends[outcome::kReset]);
  if (ends[outcome::kServed] < 1000) return 2;
  return foreign_resets > 0 ? 1 : 0;
}
