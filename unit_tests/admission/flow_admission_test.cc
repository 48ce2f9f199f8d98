#include "poplarstair/admission/flow_admission.h"

#include <criterion/criterion.h>

#include <vector>

using namespace poplarstair;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr time_point kStart{seconds(100)};
constexpr service_number kService = 0;
constexpr duration kUsual = milliseconds(10);

flow_opening Opening(uint64_t flow, uint32_t priority, time_point now,
                     duration patience = milliseconds(190)) {
  return {flow, priority, now, now + patience};
}

/// Admission with room for two requests, both in progress.
class full_service {
 public:
  full_service() {
    admission.SetRoom(kService, 2, 1);
    // Something has been answered: it is known how long requests count.
    admission.OnStarted(now, kService, 900);
    admission.OnEnded(now + kUsual, 900, kUsual);
    Start(901);
    Start(902);
  }

  void Start(uint64_t flow) { admission.OnStarted(now, kService, flow); }
  void End(uint64_t flow) { admission.OnEnded(now, flow, kUsual); }
  admission_verdict Offer(uint64_t flow, uint32_t priority) {
    return admission.Offer(now, kService, Opening(flow, priority, now));
  }

  time_point now = kStart;
  flow_admission admission;
};

}  // namespace

// An idle service forwarded everything before, and has to do so still.
Test(flow_admission, forwards_everything_while_there_is_room) {
  flow_admission admission;
  admission.SetRoom(kService, 2, 1);
  for (uint64_t flow = 1; flow <= 2; ++flow) {
    cr_assert_eq(admission.Offer(kStart, kService, Opening(flow, 2, kStart)),
                 admission_verdict::kForward);
    admission.OnStarted(kStart, kService, flow);
  }
  cr_assert_eq(admission.NextDue(), kNever);
}

Test(flow_admission, has_no_limit_where_none_is_set) {
  flow_admission admission;
  for (uint64_t flow = 1; flow <= 1000; ++flow) {
    cr_assert_eq(admission.Offer(kStart, 3, Opening(flow, 2, kStart)),
                 admission_verdict::kForward);
    admission.OnStarted(kStart, 3, flow);
    if (flow % 2 == 0) admission.OnEnded(kStart, flow, kUsual);
  }
}

// Bookings waited behind map views.
Test(flow_admission, the_higher_priority_goes_first_then_the_earlier_one) {
  full_service service;
  cr_assert_eq(service.Offer(1, 2), admission_verdict::kHold);
  service.now += milliseconds(1);
  cr_assert_eq(service.Offer(2, 2), admission_verdict::kHold);
  cr_assert_eq(service.Offer(3, 1), admission_verdict::kHold);
  cr_assert_not(service.admission.TakeNext(service.now));
  std::vector<uint64_t> order;
  for (uint64_t ended = 901; order.size() < 3;) {
    service.End(ended);
    const auto next = service.admission.TakeNext(service.now);
    cr_assert(next);
    cr_assert_eq(next->verdict, admission_verdict::kForward);
    order.push_back(next->opening.flow);
    ended = next->opening.flow;
    service.Start(ended);
  }
  cr_assert_eq(order, (std::vector<uint64_t>{3, 1, 2}));
}

// A newcomer overtook those that waited, whenever a request had just ended.
Test(flow_admission, a_newcomer_does_not_overtake_its_own_priority) {
  full_service service;
  service.Offer(1, 2);
  service.End(901);
  cr_assert_eq(service.Offer(2, 2), admission_verdict::kHold);
  cr_assert_eq(service.Offer(3, 1), admission_verdict::kForward);
}

namespace {

/// A full service in which a held flow is forwarded every 50 ms; nothing waits.
full_service MeasuredService() {
  full_service service;
  for (uint64_t flow = 1; flow <= 20; ++flow) {
    cr_assert_eq(service.Offer(flow, 2), admission_verdict::kHold);
    service.now += milliseconds(50);
    service.End(flow == 1 ? 901 : flow - 1);
    service.Start(902);
    service.Start(service.admission.TakeNext(service.now)->opening.flow);
  }
  return service;
}

size_t HeldOf(full_service& service, uint64_t first, size_t count) {
  size_t held = 0;
  for (uint64_t flow = first; flow < first + count; ++flow) {
    held += service.Offer(flow, 2) == admission_verdict::kHold;
  }
  return held;
}

}  // namespace

Test(flow_admission, refuses_at_once_what_cannot_be_forwarded_in_time) {
  full_service service = MeasuredService();
  // In 190 ms.
  const size_t held = HeldOf(service, 100, 20);
  cr_assert(held >= 3 && held <= 5, "%zu", held);
  // One of a higher priority goes before them.
  cr_assert_eq(service.Offer(200, 1), admission_verdict::kHold);
}

// In a lasting overload everyone waited as long as the clients' patience
// allowed, and no more were served than without a queue.
Test(flow_admission, holds_few_while_the_queue_does_not_empty) {
  full_service service = MeasuredService();
  HeldOf(service, 100, 20);
  for (uint64_t ended = 20; service.now < kStart + milliseconds(1250);) {
    service.now += milliseconds(50);
    service.Start(902);
    service.End(ended);
    ended = service.admission.TakeNext(service.now)->opening.flow;
    service.Start(ended);
    service.Offer(300 + ended, 2);
  }
  // A request takes 10 ms.
  cr_assert_leq(HeldOf(service, 500, 20), 1u);
}

Test(flow_admission, refuses_a_held_one_when_its_time_is_over) {
  full_service service;
  service.Offer(1, 2);
  cr_assert_leq(service.admission.NextDue(), service.now + milliseconds(190));
  for (int i = 0; i < 18; ++i) {
    service.now += milliseconds(10);
    service.Start(901);
    service.Start(902);
    cr_assert_not(service.admission.TakeNext(service.now));
  }
  service.now += milliseconds(10);
  service.Start(901);
  service.Start(902);
  const auto decided = service.admission.TakeNext(service.now);
  cr_assert(decided);
  cr_assert_eq(decided->verdict, admission_verdict::kRefuse);
  cr_assert_eq(service.admission.NextDue(), kNever);
}

// A server that hung took the room of all others for seconds.
Test(flow_admission, requests_that_are_not_answered_stop_counting) {
  full_service service;
  const flow_opening second_copy =
      Opening(1, 2, service.now, milliseconds(390));
  cr_assert_eq(service.admission.Offer(service.now, kService, second_copy),
               admission_verdict::kHold);
  service.now += flow_admission::kLeastCountedTime;
  cr_assert_geq(service.now, service.admission.NextDue());
  const auto next = service.admission.TakeNext(service.now);
  cr_assert(next);
  cr_assert_eq(next->verdict, admission_verdict::kForward);
}

// Servers that refused at once made every request look overdue: the limit was
// gone, and they got more.
Test(flow_admission, refusals_at_once_do_not_lift_the_limit) {
  full_service service;
  for (uint64_t flow = 1; flow <= 100; ++flow) {
    service.Start(flow);
    service.admission.OnEnded(service.now, flow, milliseconds(1));
  }
  service.now += milliseconds(50);
  cr_assert_eq(service.Offer(200, 2), admission_verdict::kHold);
}

// A domain whose servers were withdrawn was cut off from the others': flows
// were refused for lack of room, and their clients used up their attempts,
// where they had got another domain's instance by their copies before.
Test(flow_admission, there_is_no_limit_while_no_server_answers) {
  full_service service;
  service.now += flow_admission::kLeastCountedTime + kUsual;
  service.Start(901);
  service.Start(902);
  service.Start(903);
  cr_assert_eq(service.Offer(1, 2), admission_verdict::kHold);
  service.now += milliseconds(1);
  cr_assert_eq(service.Offer(2, 1), admission_verdict::kForward);
  const auto next = service.admission.TakeNext(service.now);
  cr_assert(next);
  cr_assert_eq(next->verdict, admission_verdict::kForward);
}

// A flow that was sent again to a server of another service counted at both.
Test(flow_admission, a_flow_counts_at_one_service_and_one_server) {
  full_service service;
  service.admission.OnStarted(service.now, kService, 903, 5, true);
  service.admission.OnStarted(service.now, 1, 903, 6, false);
  cr_assert_eq(service.admission.InProgress(service.now, kService), 2u);
  cr_assert_eq(service.admission.InProgressAt(kService, 5), 0u);
  cr_assert_eq(service.admission.FarInProgress(kService), 0u);
  cr_assert_eq(service.admission.InProgressAt(1, 6), 1u);
  service.admission.OnEnded(service.now, 903, std::nullopt);
  cr_assert_eq(service.admission.InProgress(service.now, 1), 0u);
}

Test(flow_admission, tells_since_when_a_service_is_short_of_room) {
  full_service service;
  cr_assert_eq(service.admission.Summary(service.now, kService).short_since,
               kNever);
  service.Offer(1, 2);
  const time_point since = service.now;
  service.End(901);
  service.Start(service.admission.TakeNext(service.now)->opening.flow);
  service.now += flow_admission::kShortTime / 2;
  cr_assert_eq(service.admission.Summary(service.now, kService).short_since,
               since);
  service.now += flow_admission::kShortTime;
  const auto summary = service.admission.Summary(service.now, kService);
  cr_assert_eq(summary.short_since, kNever);
  cr_assert_eq(summary.held, 1u);
}
