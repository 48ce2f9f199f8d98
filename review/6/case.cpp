// Another writer's incomplete entry with the digits of a live target, which
// then drains: see claim.txt.
#include "../standins-2/site.hpp"

namespace review {
namespace {

constexpr double kDrainMs = 3000;
constexpr double kForeignAt = 4000;
constexpr double kDrainsAt = 8000;
constexpr double kEnd = 18000;

int Run(const case_options& options) {
  site s(options);
  s.AddUsualLoad();
  target& draining = *s.Targets()[0];
  if (s.HasTrouble()) {
    s.At(kForeignAt, [&] {
      // As the target's own entry, but without `born`.
      const std::string name = "a" + draining.Name().substr(1);
      s.Store().Put("servers", name,
                    "{\"service\":\"listings\",\"address\":\"" +
                        Text(draining.Settings().local) +
                        "\",\"zone\":\"ost-a\",\"version\":\"v1\",\"slots\":3,"
                        "\"state\":\"ready\",\"cold_remaining_ms\":0,"
                        "\"seq\":1}");
      s.Record().Line("another writer has written %s, without born",
                      name.c_str());
    });
  }
  double confirmed_at = 0;
  s.At(kDrainsAt, [&] {
    draining.Drain();
    confirmed_at = s.Loop().Now();
    s.Record().Line("the store has taken that %s is draining",
                    draining.Name().c_str());
  });
  s.RunUntil(kEnd);
  const bool has_worked = s.Finish();
  int late = 0;
  for (const auto& o : s.OpeningsAt(draining)) {
    const bool is_late = o.is_open && o.arrived_at > confirmed_at + kDrainMs;
    if (!is_late) continue;
    ++late;
    s.Record().Line(
        "BROKEN DRAIN: %s, sent %.3f s, reaches the target %.3f s "
        "after the confirmation",
        FlowText(o.flow).c_str(), o.sent_at / 1e3,
        (o.arrived_at - confirmed_at) / 1e3);
  }
  std::printf("new flows at the draining target after the bound: %d\n", late);
  if (late > 0) return 1;
  return has_worked ? 0 : 2;
}

}  // namespace
}  // namespace review

int main(int count, char** words) {
  return review::Run(review::OptionsOf(count, words));
}
