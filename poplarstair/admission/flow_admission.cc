#include "poplarstair/admission/flow_admission.h"

#include <algorithm>
#include <iterator>

namespace poplarstair {

namespace {

/// At a rate of a thousand a second, so many are forwarded before their clients
/// repeat them.
constexpr size_t kMostWaiting = 256;

/// Just after a moment.
constexpr duration kTimerStep = std::chrono::milliseconds(1);

}  // namespace

flow_admission::service_state& flow_admission::State(service_number service) {
  if (services_.size() <= service) services_.resize(service + 1);
  return services_[service];
}

void flow_admission::SetRoom(service_number service, double room,
                             double free_slots) {
  service_state& s = State(service);
  s.room = room;
  s.free_slots = free_slots;
}

duration flow_admission::CountedTime(const service_state& s) {
  return std::max(s.answered.Longest(), kLeastCountedTime);
}

void flow_admission::DropOverdue(time_point now, service_state& s) {
  const time_point oldest = now - CountedTime(s);
  while (!s.by_time.empty()) {
    const auto [sent_at, flow] = s.by_time.front();
    const auto it = s.in_progress.find(flow);
    const bool is_counted =
        it != s.in_progress.end() && it->second.at == sent_at;
    // Before the first answer it is not known how long a request may take.
    const bool is_overdue = s.answered.Count() > 0 && sent_at <= oldest;
    if (is_counted && !is_overdue) return;
    if (is_counted) Remove(s, flow);
    s.by_time.pop_front();
  }
}

void flow_admission::Remove(service_state& s, uint64_t flow) {
  const auto it = s.in_progress.find(flow);
  if (it == s.in_progress.end()) return;
  const auto at = s.at_server.find(it->second.server);
  if (--at->second == 0) s.at_server.erase(at);
  if (it->second.is_far) --s.far;
  s.in_progress.erase(it);
  service_of_.erase(flow);
}

bool flow_admission::IsBelowLimit(time_point now, const service_state& s) {
  // Servers that answer nobody are not short of room but lost or out of reach:
  // then, as before the first answer, their requests tell nothing of room.
  const bool is_answering =
      s.answered.Count() > 0 && now - s.last_answer <= CountedTime(s);
  return !is_answering || static_cast<double>(s.in_progress.size()) < s.room;
}

size_t flow_admission::Ahead(const service_state& s,
                             const flow_opening& opening) {
  return static_cast<size_t>(
      std::distance(s.waiting.begin(), s.waiting.lower_bound(opening)));
}

void flow_admission::NoteShort(time_point now, service_state& s) {
  if (s.short_since == kNever) {
    s.short_since = now;
    s.held = 0;
    s.refused = 0;
  }
  s.short_at = now;
}

duration flow_admission::Patience(time_point now, const service_state& s,
                                  const flow_opening& opening) {
  const duration left = opening.latest_at - now;
  const bool is_standing =
      s.waiting_since != kNever && now - s.waiting_since > kStandingQueueTime;
  return is_standing ? std::min(left, s.answered.Mean()) : left;
}

void flow_admission::Erase(service_state& s,
                           std::set<flow_opening, order>::iterator taken) {
  s.waiting.erase(taken);
  if (!s.waiting.empty()) return;
  s.waiting_since = kNever;
  s.next_due = kNever;
  s.supply.OnNoneWaiting();
}

admission_verdict flow_admission::Offer(time_point now, service_number service,
                                        const flow_opening& opening) {
  service_state& s = State(service);
  DropOverdue(now, s);
  const size_t ahead = Ahead(s, opening);
  if (ahead == 0 && IsBelowLimit(now, s)) return admission_verdict::kForward;
  NoteShort(now, s);
  const duration left = Patience(now, s, opening);
  if (s.waiting.size() >= kMostWaiting || left <= duration::zero() ||
      s.supply.ExpectedWait(now, ahead, opening.priority) > left) {
    ++s.refused;
    return admission_verdict::kRefuse;
  }
  ++s.held;
  s.next_due = std::min(s.next_due, opening.latest_at);
  if (s.waiting.empty()) s.waiting_since = now;
  s.supply.OnWaiting(now);
  s.waiting.insert(opening);
  return admission_verdict::kHold;
}

bool flow_admission::HasRoom(time_point now, service_number service) {
  service_state& s = State(service);
  DropOverdue(now, s);
  return s.waiting.empty() && IsBelowLimit(now, s);
}

bool flow_admission::HasFreeSlot(time_point now, service_number service) {
  service_state& s = State(service);
  DropOverdue(now, s);
  return s.waiting.empty() &&
         static_cast<double>(s.in_progress.size()) < s.free_slots;
}

void flow_admission::OnStarted(time_point now, service_number service,
                               uint64_t flow, uint32_t server, bool is_far) {
  const auto before = service_of_.find(flow);
  if (before != service_of_.end()) Remove(State(before->second), flow);
  service_state& s = State(service);
  service_of_[flow] = service;
  s.in_progress[flow] = {now, server, is_far};
  s.by_time.emplace_back(now, flow);
  ++s.at_server[server];
  if (is_far) ++s.far;
}

uint32_t flow_admission::InProgressAt(service_number service,
                                      uint32_t server) const {
  if (service >= services_.size()) return 0;
  const auto it = services_[service].at_server.find(server);
  return it == services_[service].at_server.end() ? 0 : it->second;
}

size_t flow_admission::FarInProgress(service_number service) const {
  return service < services_.size() ? services_[service].far : 0;
}

size_t flow_admission::InProgress(time_point now, service_number service) {
  service_state& s = State(service);
  DropOverdue(now, s);
  return s.in_progress.size();
}

void flow_admission::OnEnded(time_point now, uint64_t flow,
                             std::optional<duration> took) {
  const auto it = service_of_.find(flow);
  if (it == service_of_.end()) return;
  service_state& s = State(it->second);
  if (took) {
    s.answered.Add(*took);
    s.last_answer = now;
  }
  Remove(s, flow);
  DropOverdue(now, s);
}

std::optional<admission_decision> flow_admission::TakeNext(time_point now) {
  for (service_number service = 0; service < services_.size(); ++service) {
    service_state& s = services_[service];
    if (s.waiting.empty()) continue;
    DropOverdue(now, s);
    admission_decision decision;
    decision.service = service;
    auto taken = s.waiting.end();
    if (IsBelowLimit(now, s)) {
      taken = s.waiting.begin();
      s.supply.OnStarted(now, taken->priority);
    } else if (now >= s.next_due) {
      taken = std::find_if(
          s.waiting.begin(), s.waiting.end(),
          [now](const flow_opening& o) { return o.latest_at <= now; });
      if (taken == s.waiting.end()) {
        s.next_due = kNever;
        for (const flow_opening& o : s.waiting) {
          s.next_due = std::min(s.next_due, o.latest_at);
        }
        continue;
      }
      decision.verdict = admission_verdict::kRefuse;
      ++s.refused;
    }
    if (taken == s.waiting.end()) continue;
    NoteShort(now, s);
    decision.opening = *taken;
    Erase(s, taken);
    return decision;
  }
  return std::nullopt;
}

time_point flow_admission::NextDue() const {
  time_point due = kNever;
  for (const service_state& s : services_) {
    if (s.waiting.empty()) continue;
    due = std::min(due, s.next_due);
    // Room also comes from requests that turn overdue.
    if (!s.by_time.empty() && s.answered.Count() > 0) {
      due = std::min(due, s.by_time.front().first + CountedTime(s));
      due = std::min(due, s.last_answer + CountedTime(s) + kTimerStep);
    }
  }
  return due;
}

bool flow_admission::IsShort(time_point now, service_number service) {
  const service_state& s = State(service);
  return s.short_since != kNever && now - s.short_at < kShortTime;
}

admission_summary flow_admission::Summary(time_point now,
                                          service_number service) {
  service_state& s = State(service);
  DropOverdue(now, s);
  if (s.waiting.empty() && now - s.short_at >= kShortTime) {
    s.short_since = kNever;
  }
  return {s.room,    s.in_progress.size(), s.waiting.size(), s.held,
          s.refused, s.short_since};
}

}  // namespace poplarstair
