#include "poplarstair/testing/request_path.h"

#include "poplarstair/core/error.h"

namespace poplarstair {

namespace {

constexpr duration kWithinDomain = std::chrono::microseconds(200);
/// An adapter gives a silent connection up after this.
constexpr duration kSilenceTimeout = std::chrono::seconds(2);

std::string AnswerTo(const std::string& request_id) {
  return "whole answer to " + request_id + ".";
}

}  // namespace

request_path::request_path(site_state& site)
    : site_(site),
      callers_(site.queue, site.deployed, site.settings.seed + 2,
               {[this](call_id call, const request& r) { SendCall(call, r); },
                [this](call_id call) { GiveUp(call); }}) {}

void request_path::SendCall(call_id call, const request& wanted) {
  site_.queue.After(site_.deployed.to_callers, [this, call, wanted] {
    const auto i = site_.PickInstance();
    if (!i || !site_.instances[*i].process) {
      return callers_.OnConnectionLost(call);
    }
    entry_instance& instance = site_.instances[*i];
    instance.calls[call] = site_.queue.Now();
    history_event event;
    event.kind = history_kind::kCallStarted;
    event.instance = instance.id;
    event.number = call.Value();
    event.request = wanted.id;
    event.service = wanted.service;
    event.may_be_repeated = wanted.may_be_repeated;
    site_.Record(std::move(event));
    requests_[wanted.id] = wanted;
    request_of_call_[call] = wanted.id;
    site_.Input(*i, instance.life, [this, call, wanted](balancer& b) {
      b.OnCall(site_.queue.Now(), call, wanted);
    });
  });
}

void request_path::GiveUp(call_id call) {
  for (size_t i = 0; i < site_.instances.size(); ++i) {
    if (site_.instances[i].calls.erase(call) == 0) continue;
    site_.Input(i, site_.instances[i].life, [this, call](balancer& b) {
      b.OnCallerGone(site_.queue.Now(), call);
    });
  }
}

void request_path::EndCall(size_t i, call_id call, const answer& given) {
  if (site_.instances[i].calls.erase(call) == 0) return;
  const std::string& id = request_of_call_[call];
  const answer result = site_.planted.OnAnswer(given);
  history_event event;
  event.kind = history_kind::kCallEnded;
  event.instance = site_.instances[i].id;
  event.number = call.Value();
  event.request = id;
  event.result = result.result;
  event.may_be_repeated = requests_[id].may_be_repeated;
  event.is_own_answer = result.body == AnswerTo(id);
  site_.Record(std::move(event));
  site_.queue.After(site_.deployed.to_callers,
                    [this, call, result] { callers_.OnAnswer(call, result); });
}

void request_path::StartAttempt(size_t i, incarnation life,
                                const attempt& started) {
  const attempt a = site_.planted.OnAttempt(started, ColdServer());
  history_event event;
  event.kind = history_kind::kAttemptSent;
  event.instance = site_.instances[i].id;
  event.number = a.id.Value();
  event.request = a.request_id;
  site_.Record(std::move(event));
  CarryAttempt(i, life, a);
  const auto copy = site_.planted.SecondAttempt(a);
  if (copy) CarryAttempt(i, life, *copy);
}

void request_path::CarryAttempt(size_t i, incarnation life, const attempt& a) {
  const size_t s = ServerAt(a.address);
  const backend_server_config& server = site_.servers[s].Config();
  entry_instance& instance = site_.instances[i];
  const bool is_silent = instance.silent.contains(server.id);
  if (is_silent || site_.bus.IsCut(instance.domain, server.failure_domain)) {
    site_.Fault();
    site_.queue.After(kSilenceTimeout, [this, i, life, a, id = server.id] {
      site_.instances[i].silent.erase(id);
      EndAttempt(i, life, {a.id, attempt_result::kLost, 0, ""});
    });
    return;
  }
  site_.queue.After(site_.DelayBetween(instance.domain, server.failure_domain),
                    [this, i, life, s, a, could_know = site_.CouldKnow(i)] {
                      ArriveAttempt(i, life, s, a, could_know);
                    });
}

void request_path::ArriveAttempt(size_t i, incarnation life, size_t s,
                                 const attempt& a, bool could_know) {
  using admission = server_fake::admission;
  server_fake& server = site_.servers[s];
  const admission taken = server.Begin(site_.queue.Now());
  if (taken != admission::kDown) {
    const auto kind = taken == admission::kStarted ? history_kind::kRunStarted
                      : taken == admission::kShed  ? history_kind::kRunShed
                                                   : history_kind::kRunShedCold;
    history_event event = site_.ServerEvent(kind, s);
    event.instance = site_.instances[i].id;
    event.number = a.id.Value();
    event.request = a.request_id;
    event.service = requests_[a.request_id].service;
    event.may_be_repeated = requests_[a.request_id].may_be_repeated;
    event.could_know = could_know;
    site_.Record(std::move(event));
  }
  if (taken != admission::kStarted) {
    return ReturnEnd(i, life, s, {a.id, attempt_result::kNotProcessed, 0, ""});
  }
  const attempt_key key{i, a.id};
  running_[key] = {s, server.Life()};
  site_.queue.After(
      server.DrawServiceTime(site_.queue.Now()),
      [this, i, life, key, a, s, server_life = server.Life()] {
        if (site_.servers[s].Life() != server_life) {
          return ReturnEnd(i, life, s, {a.id, attempt_result::kLost, 0, ""});
        }
        // Cancelled meanwhile: the slot is free already.
        if (running_.erase(key) == 0) return;
        site_.servers[s].End();
        ReturnEnd(
            i, life, s,
            {a.id, attempt_result::kComplete, 200, AnswerTo(a.request_id)});
      });
}

void request_path::CancelAttempt(size_t i, incarnation life, attempt_id id) {
  const auto found = running_.find({i, id});
  if (found != running_.end()) {
    server_fake& server = site_.servers[found->second.server];
    if (server.Life() == found->second.server_life) server.End();
    running_.erase(found);
  }
  site_.queue.After(kWithinDomain, [this, i, life, id] {
    EndAttempt(i, life, {id, attempt_result::kLost, 0, ""});
  });
}

void request_path::ReturnEnd(size_t i, incarnation life, size_t s,
                             const attempt_end& end) {
  const failure_domain_id from = site_.servers[s].Config().failure_domain;
  const failure_domain_id to = site_.instances[i].domain;
  if (site_.bus.IsCut(from, to)) {
    site_.Fault();
    site_.queue.After(kSilenceTimeout, [this, i, life, id = end.id] {
      EndAttempt(i, life, {id, attempt_result::kLost, 0, ""});
    });
    return;
  }
  site_.queue.After(site_.DelayBetween(from, to),
                    [this, i, life, end] { EndAttempt(i, life, end); });
}

void request_path::EndAttempt(size_t i, incarnation life,
                              const attempt_end& end) {
  site_.Input(i, life, [this, end](balancer& b) {
    b.OnAttemptEnd(site_.queue.Now(), end);
  });
}

size_t request_path::ServerAt(const endpoint& request_address) const {
  for (size_t s = 0; s < site_.servers.size(); ++s) {
    if (site_.servers[s].Config().request_address == request_address) return s;
  }
  throw malformed_message("attempt", "no server at its address");
}

const backend_server_config* request_path::ColdServer() const {
  for (const server_fake& server : site_.servers) {
    if (server.IsUp() && server.IsCold(site_.queue.Now()))
      return &server.Config();
  }
  return nullptr;
}

}  // namespace poplarstair
