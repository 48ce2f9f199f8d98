#include "poplarstair/diagnosis/failure_explainer.h"

#include <criterion/criterion.h>

using namespace poplarstair;

namespace {

const char* const kFlow = "100.66.0.22:1039>198.18.0.1:443";

std::string Line(const std::string& time, const std::string& instance,
                 const std::string& rest) {
  return "time=" + time + " level=info instance=" + instance + " " + rest +
         "\n";
}

std::string Placed(const std::string& time, const std::string& instance) {
  return Line(time, instance,
              std::string("event=flow_placed flow=") + kFlow +
                  " service=s server=ef1c domain=c outcome=placed");
}

explanation Explain(const std::string& log) {
  static std::vector<log_line> lines;
  lines = ParseLogs({log});
  return ExplainFailure(lines, {kFlow, log_time(100'000), log_time(102'000)});
}

}  // namespace

Test(log_line, parses_plain_and_quoted_fields) {
  const auto line = ParseLogLine(
      "  12.3 c-1 time=1778480825.629 level=info instance=c-1 event=task_failed"
      " error=\"a \\\"b\\\" c\" task=store");
  cr_assert(line.has_value());
  cr_assert_eq(line->at.count(), 1'778'480'825'629);
  cr_assert_eq(line->event, "task_failed");
  cr_assert_eq(line->Field("error"), "a \"b\" c");
  cr_assert_eq(line->Field("task"), "store");
  cr_assert(line->Field("other").empty());
}

Test(log_line, rejects_text_without_time_or_event) {
  cr_assert_not(ParseLogLine("").has_value());
  cr_assert_not(ParseLogLine("to play it took 4.0 s").has_value());
  cr_assert_not(ParseLogLine("time=x event=y").has_value());
  cr_assert_not(ParseLogLine("time=1.000 instance=a").has_value());
}

Test(failure_explainer, reports_the_silent_server_of_a_flow) {
  const explanation found =
      Explain(Placed("80.000", "c-1") +
              Line("100.300", "c-1",
                   "event=server_silent server=ef1c domain=c witnesses=2") +
              Line("100.700", "c-1",
                   std::string("event=flow_reset flow=") + kFlow +
                       " reason=server_silent server=ef1c"));
  cr_assert_eq(found.cause, failure_cause::kServerSilent);
  cr_assert_eq(found.evidence.size(), 3u);
}

Test(failure_explainer, reports_a_domain_whose_servers_are_all_silent) {
  std::string log = Placed("80.000", "a-1");
  for (const char* server : {"ef1c", "ef1d", "ef1e"}) {
    log += Line("100.400", "a-1",
                std::string("event=server_silent domain=c server=") + server);
  }
  cr_assert_eq(Explain(log).cause, failure_cause::kDomainUnreachable);
}

Test(failure_explainer, reports_the_instance_that_was_not_running) {
  const explanation found =
      Explain(Placed("80.000", "c-1") +
              Line("101.400", "c-1", "event=starting domain=c") +
              Line("101.400", "a-1", "event=starting domain=a"));
  cr_assert_eq(found.cause, failure_cause::kInstanceLost);
  cr_assert_neq(found.summary.find("c-1"), std::string::npos);
}

Test(failure_explainer, does_not_report_a_planned_stop_as_instance_loss) {
  const explanation found =
      Explain(Placed("80.000", "c-1") + Line("99.500", "c-1", "event=stopped") +
              Line("101.400", "c-1", "event=starting domain=c"));
  cr_assert_eq(found.cause, failure_cause::kUnknown);
}

// All instances were killed while one of them was being replaced. Its planned
// stop must not hide the loss of the other instances.
Test(failure_explainer, reports_an_instance_lost_during_another_planned_stop) {
  const explanation found =
      Explain(Line("99.500", "a-1", "event=stopped") +
              Line("101.000", "a-1", "event=starting domain=a") +
              Line("101.400", "c-1", "event=starting domain=c"));
  cr_assert_eq(found.cause, failure_cause::kInstanceLost);
}

Test(failure_explainer, reports_the_reason_for_a_refusal) {
  const std::string refused =
      std::string("event=flow_refused flow=") + kFlow + " outcome=reset ";
  const explanation no_server =
      Explain(Line("99.600", "c-1", "event=store_lost collection=servers") +
              Line("100.100", "c-1", refused + "reason=no_server"));
  cr_assert_eq(no_server.cause, failure_cause::kNoServer);
  cr_assert_eq(no_server.evidence.size(), 2u);
  const explanation no_route = Explain(Line(
      "100.100", "c-1", refused + "reason=unknown_route routes_version=7"));
  cr_assert_eq(no_route.cause, failure_cause::kNoRoute);
  const explanation cut =
      Explain(Line("99.600", "c-1", "event=domain_cut_off path=cut") +
              Line("100.100", "c-1", refused + "reason=no_server"));
  cr_assert_eq(cut.cause, failure_cause::kDomainUnreachable);
  const explanation no_room =
      Explain(Line("99.600", "c-1", "event=service_short service=s room=6") +
              Line("100.100", "c-1", refused + "reason=no_room"));
  cr_assert_eq(no_room.cause, failure_cause::kNoRoom);
  cr_assert_eq(no_room.evidence.size(), 2u);
}

Test(failure_explainer, reports_the_stores_return_from_a_copy) {
  const std::string refused =
      Line("100.100", "c-1",
           std::string("event=flow_refused flow=") + kFlow +
               " reason=unknown_route routes_version=7 outcome=reset");
  const std::string restored = "event=store_restored epoch=2 before=1";
  const explanation found = Explain(Line("98.000", "c-1", restored) + refused);
  cr_assert_eq(found.cause, failure_cause::kStoreRestored);
  cr_assert_eq(found.evidence.size(), 2u);
  // Long before, after the refusal, and elsewhere.
  cr_assert_eq(Explain(Line("90.000", "c-1", restored) + refused +
                       Line("100.200", "c-1", restored) +
                       Line("99.000", "a-1", restored))
                   .cause,
               failure_cause::kNoRoute);
}

Test(failure_explainer, reports_unknown_when_no_log_line_is_relevant) {
  cr_assert_eq(Explain(Placed("80.000", "c-1")).cause, failure_cause::kUnknown);
  // The server was silent ten seconds before the request, too early to be the
  // cause.
  cr_assert_eq(
      Explain(Placed("80.000", "c-1") +
              Line("90.000", "c-1", "event=server_silent server=ef1c domain=c"))
          .cause,
      failure_cause::kUnknown);
}

// The copy was reset by an instance that had servers; the one that had got the
// flow's first packet was lost.
Test(failure_explainer, a_refused_copy_is_no_lack_of_servers) {
  const explanation found =
      Explain(Line("100.200", "c-2",
                   std::string("event=flow_refused flow=") + kFlow +
                       " copy=1 reason=unknown_opening outcome=reset") +
              Line("100.900", "c-1", "event=starting domain=c"));
  cr_assert_eq(found.cause, failure_cause::kInstanceLost);
  cr_assert_eq(Explain(Line("100.200", "c-2",
                            std::string("event=flow_refused flow=") + kFlow +
                                " copy=1 reason=unknown_opening"))
                   .cause,
               failure_cause::kUnknown);
}
