// A client opens its next flow from the port of the last one, whose target
// drains meanwhile: see claim.txt.
#include "../standins-2/site.hpp"

namespace review {
namespace {

constexpr double kDrainMs = 3000;
constexpr double kDrainsAt = 6000;
constexpr double kEnd = 16000;

int Run(const case_options& options) {
  site s(options);
  for (size_t i = 0; i < 120; ++i) {
    s.At(static_cast<double>(i) * 20, [&s, i] {
      s.Clients()[i % s.Clients().size()]->AddUserOfOnePort(s.Registration(),
                                                            500, 1500);
    });
  }
  s.At(0, [&s] { s.KeepAsking(s.Registration(), 40); });
  target& draining = *s.Targets()[0];
  double confirmed_at = 0;
  if (s.HasTrouble()) {
    s.At(kDrainsAt, [&] {
      draining.Drain();
      confirmed_at = s.Loop().Now();
      s.Record().Line("the store has taken that %s is draining",
                      draining.Name().c_str());
    });
  }
  s.RunUntil(kEnd);
  const bool has_worked = s.Finish();
  int late = 0;
  for (const auto& o : s.OpeningsAt(draining)) {
    const bool is_late =
        confirmed_at > 0 && o.is_open && o.arrived_at > confirmed_at + kDrainMs;
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
