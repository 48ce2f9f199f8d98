// Case: another writer writes large entries that name no target; the answer to
// the next watch is too large, and a target that drains stays in use.
#include <cmath>

#include "site.hpp"

using namespace site;

namespace {

constexpr const char* kService = "watchdesk";
/// Below max_value_bytes, 1,048,576.
constexpr size_t kEntryBytes = 900'000;
constexpr int kEntries = 64;
const std::vector<std::string> kZones = {"zone-a", "zone-b", "zone-c"};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return 2;
  loop l;
  record out(argv[1]);
  std::mt19937_64 random(52);
  store platform(l, Address(1, 1));
  const uint32_t route = Address(200, 1);
  instances fleet(l, out, Address(1, 1));
  for (size_t z = 0; z < kZones.size(); ++z) {
    for (uint32_t i = 0; i < (z == 0 ? 3U : 2U); ++i) {
      fleet.Add(kZones[z], Address(10 + static_cast<uint32_t>(z), 1 + i));
    }
  }

  double drained_at = 1e18;
  size_t late = 0;
  double last_late = 0;
  std::string drained;
  std::vector<std::unique_ptr<target>> targets;
  int seq = 0;
  const int64_t born = UnixMs();
  const auto spec = [&](size_t i, const char* state, int cold_ms) {
    return ServerSpec(kService, targets[i]->At(), kZones[i % 3], 2, state,
                      cold_ms, born, ++seq);
  };
  for (size_t i = 0; i < 12; ++i) {
    char id[32];
    std::snprintf(id, sizeof(id), "i-%08x", static_cast<unsigned>(random()));
    const std::string name = id;
    target::hooks hooks;
    hooks.opened = [&, name](const arrival& a) {
      if (name != drained) return;
      const double after = Now() - drained_at;
      out.Line("opened target=%s machine=%s after_confirmation_ms=%.0f",
               name.c_str(), fleet.Of(a.machine).name.c_str(), after);
      // The rule: later than drain_ms. No machine, link or store is disturbed.
      if (after > 3000) {
        ++late;
        last_late = after;
      }
    };
    hooks.ran = [](const std::string&) {};
    targets.push_back(
        std::make_unique<target>(l, random, name,
                                 Address(20 + static_cast<uint32_t>(i % 3),
                                         1 + static_cast<uint32_t>(i)),
                                 15, hooks));
    platform.Put("servers", name, spec(i, "ready", 0));
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
    hooks.ended = [&](const std::string&, outcome how) { ++ends[how]; };
    callers.push_back(std::make_unique<clients>(
        l, random, fabric,
        clients::settings{kZones[z], Address(30 + static_cast<uint32_t>(z), 1),
                          route},
        hooks));
  }
  const double kTraffic = 4000;
  l.At(kTraffic, [&] {
    l.Every(10, [&] {
      for (auto& c : callers) c->Open();
    });
  });
  // Another writer writes its entries, one after the other. None is an entry of
  // a target: a text in place of the fields.
  if (HasTrouble()) {
    for (int i = 0; i < kEntries; ++i) {
      l.At(8000 + 10 * i, [&, i] {
        platform.Put("servers", "backup-" + std::to_string(100 + i),
                     "\"" + std::string(kEntryBytes, 'b') + "\"");
        if (i == 0 || i + 1 == kEntries) {
          out.Line("foreign entry %d written", i + 1);
        }
      });
    }
  }
  l.At(9000, [&] {
    drained = targets[1]->Id();
    platform.Put("servers", drained, spec(1, "draining", 0));
    drained_at = Now();
    out.Line("confirmed draining target=%s", drained.c_str());
  });
  l.RunUntil(36000);
  out.Line("served=%zu reset=%zu not_opened=%zu no_answer=%zu",
           ends[outcome::kServed], ends[outcome::kReset],
           ends[outcome::kNotOpened], ends[outcome::kNoAnswer]);
  out.Line("late=%zu last_late_ms=%.0f", late, last_late);
  std::printf("late=%zu last_late_ms=%.0f served=%zu\n", late, last_late,
              ends[outcome::kServed]);
  if (ends[outcome::kServed] < 1000) return 2;
  return late > 0 ? 1 : 0;
}
