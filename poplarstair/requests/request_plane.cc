#include "poplarstair/requests/request_plane.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "poplarstair/admission/admission_queue.h"
#include "poplarstair/admission/slot_exchange.h"
#include "poplarstair/core/error.h"
#include "poplarstair/requests/request_registry.h"
#include "poplarstair/requests/sent_log.h"

namespace poplarstair {

namespace {

/// Largest number of idempotent requests that are stored as sent.
constexpr size_t kMaxSentKeys = 100'000;
/// Added to an attempt's deadline, because the server receives the attempt, and
/// so reaches its deadline, later than this instance sends it.
constexpr duration kDeadlineMargin = std::chrono::milliseconds(20);

struct running_attempt {
  queued_request what;
  backend_server_id server;
  time_point started_at;
  bool caller_gone = false;
};

bool IsSame(const queued_request& a, call_id call,
            const std::optional<request_key>& key) {
  return key ? !a.call.IsSet() && a.key == *key : a.call == call;
}

request_registry_settings RegistrySettings(
    const request_plane_settings& settings) {
  request_registry_settings made;
  made.remember = settings.remember_ended;
  made.quarantine = settings.remember_ended;
  return made;
}

}  // namespace

class request_plane::impl {
 public:
  impl(const request_plane_settings& settings, instance_id self,
       metric_registry& metrics, hooks actions)
      : self_(self),
        leave_time_(settings.leave_time),
        hooks_(std::move(actions)),
        calls_(metrics.Counter("requests", "Requests received.")),
        refusals_(metrics.Counter("requests_not_run",
                                  "Requests refused before they ran.")),
        unknown_(metrics.Counter("requests_outcome_unknown",
                                 "Requests whose outcome is unknown.")),
        retries_(metrics.Counter("request_retries", "Attempts after a first.")),
        sent_(settings.remember_ended, kMaxSentKeys),
        exchange_(self, [this](peer_message m) { Send(std::move(m)); }),
        registry_(RegistrySettings(settings), self,
                  {[this](peer_message m) { Send(std::move(m)); },
                   [this](time_point now, request_key key, request wanted) {
                     Admit(now, {{}, key, std::move(wanted)});
                   },
                   [this](call_id call, const answer& result) {
                     EndCall(call, result);
                   },
                   [this](service_id service) {
                     const auto it = queues_.find(service);
                     return it == queues_.end() ? duration::zero()
                                                : it->second.AttemptTime();
                   }}) {}

  void OnCall(time_point now, call_id call, request wanted) {
    NoteStart(now);
    calls_.Add();
    ++open_calls_;
    const duration most =
        config_ ? config_->limits.default_deadline : duration::zero();
    if (wanted.deadline == kNever) wanted.deadline = now + most;
    if (wanted.may_be_repeated) {
      const request_key key = request_key::Of(wanted.id);
      ++copies_[key];
      Admit(now, {call, key, std::move(wanted)});
    } else {
      registry_.Join(now, call, std::move(wanted));
    }
    Pump(now);
  }

  void OnCallerGone(time_point now, call_id call) {
    std::optional<request_key> key;
    const bool in_registry = registry_.Leave(call, key);
    // Other copies of the request still wait for its outcome.
    if (in_registry && !key) return ForgetCall();
    Cancel(call, key);
    // A call outside the registry is subtracted where it ends, which may have
    // happened already.
    if (in_registry) ForgetCall();
    Pump(now);
  }

  void OnAttemptEnd(time_point now, const attempt_end& end) {
    const auto it = running_.find(end.id);
    if (it == running_.end()) return;
    running_attempt finished = std::move(it->second);
    running_.erase(it);
    exchange_.OnEnd(now, finished.server, end.id, end.result);
    NoteAttemptTime(now, finished, end.result);
    Finish(now, std::move(finished), end);
    Pump(now);
  }

  void OnMessage(time_point now, const peer_message& message) {
    Dispatch(now, message);
    Pump(now);
  }

  void OnConfig(time_point now, effective_config_ptr config) {
    NoteStart(now);
    config_ = std::move(config);
    exchange_.OnConfig(now, config_);
    RefuseWithoutServers();
    Pump(now);
  }

  void OnMembers(time_point now, const member_view& view) {
    exchange_.OnMembers(now, view);
    registry_.OnMembers(now, view);
    Pump(now);
  }

  void OnTick(time_point now) {
    is_refusing_ = now >= refuse_from_;
    registry_.OnTick(now);
    sent_.Forget(now);
    exchange_.OnTick(now);
    for (auto& [service, queue] : queues_) RefuseLate(now, queue);
    Pump(now);
  }

  void BeginStop(time_point now) {
    refuse_from_ = std::min(refuse_from_, now + leave_time_);
  }

  bool IsIdle() const {
    const bool is_stopping = refuse_from_ != kNever;
    return open_calls_ + running_.size() == 0 && is_refusing_ == is_stopping;
  }

  std::string StateJson() const {
    size_t queued = 0;
    for (const auto& [service, queue] : queues_) queued += queue.Size();
    return nlohmann::json{{"queued", queued},
                          {"running", running_.size()},
                          {"remembered", registry_.Records()}}
        .dump();
  }

 private:
  void NoteStart(time_point now) { started_at_ = std::min(started_at_, now); }

  /// Queues messages to this instance itself until the current event has been
  /// handled.
  void Send(peer_message message) {
    if (message.to == self_) {
      own_messages_.push_back(std::move(message));
    } else {
      hooks_.send(std::move(message));
    }
  }

  void Dispatch(time_point now, const peer_message& message) {
    if (exchange_.OnMessage(now, message)) return;
    if (registry_.OnMessage(now, message)) return;
    throw malformed_message("request message", "unknown kind");
  }

  void RefuseLate(time_point now, admission_queue& queue) {
    for (const queued_request& late : queue.TakeLate(now)) {
      Refuse(late, refusal_reason::kDeadlineTooNear);
    }
  }

  /// Starts the queued requests for which there are slots, and asks for the
  /// slots that are missing.
  void Pump(time_point now) {
    if (!config_) return;
    DispatchOwn(now);
    for (const service_config& service : config_->services) {
      StartWhatFits(now, service);
      const auto it = queues_.find(service.id);
      exchange_.Want(now, service, it == queues_.end() ? 0 : it->second.Size());
    }
    if (own_messages_.empty()) return;
    DispatchOwn(now);
    for (const service_config& service : config_->services) {
      StartWhatFits(now, service);
    }
  }

  void DispatchOwn(time_point now) {
    while (!own_messages_.empty()) {
      const peer_message message = std::move(own_messages_.front());
      own_messages_.pop_front();
      Dispatch(now, message);
    }
  }

  /// Queues or refuses a request whose outcome this instance alone decides.
  void Admit(time_point now, queued_request what) {
    if (is_refusing_) return Refuse(what, refusal_reason::kStopping);
    if (!config_) return Refuse(what, refusal_reason::kNoConfiguration);
    if (config_->FindService(what.wanted.service) == nullptr) {
      return Refuse(what, refusal_reason::kUnknownService);
    }
    Enqueue(now, std::move(what));
  }

  /// True if a server of the service takes new work, whether or not it has a
  /// free slot.
  bool HasServer(service_id id) const {
    const service_config* service = config_->FindService(id);
    return service != nullptr &&
           std::any_of(service->backend_servers.begin(),
                       service->backend_servers.end(),
                       [this](const backend_server_config& server) {
                         return TakesNewWork(*config_, server);
                       });
  }

  /// Queues a request for its first attempt or a further one.
  void Enqueue(time_point now, queued_request what) {
    if (!HasServer(what.wanted.service)) {
      return Refuse(what, refusal_reason::kNoServer);
    }
    const size_t most = config_->limits.max_queued_requests;
    auto& queue = queues_.try_emplace(what.wanted.service, most).first->second;
    queue.SetMaxLength(most);
    const auto rejected = queue.Push(now, std::move(what));
    if (rejected) Refuse(rejected->what, rejected->reason);
  }

  /// Refuses what waits for a service whose last server takes no new work.
  void RefuseWithoutServers() {
    for (auto& [service, queue] : queues_) {
      if (HasServer(service)) continue;
      for (const queued_request& waiting : queue.TakeAll()) {
        Refuse(waiting, refusal_reason::kNoServer);
      }
    }
  }

  /// Only attempts that ended with an answer, or ran until their deadline, tell
  /// how long an attempt takes.
  void NoteAttemptTime(time_point now, const running_attempt& ended,
                       attempt_result result) {
    const bool ran_out_of_time =
        result == attempt_result::kLost && now >= ended.what.wanted.deadline;
    if (result != attempt_result::kComplete && !ran_out_of_time) return;
    queues_.at(ended.what.wanted.service).OnAttemptRan(now - ended.started_at);
  }

  void StartWhatFits(time_point now, const service_config& service) {
    const auto it = queues_.find(service.id);
    if (it == queues_.end()) return;
    RefuseLate(now, it->second);
    while (it->second.Size() > 0) {
      const backend_server_config* server = exchange_.Choose(now, service);
      if (server == nullptr) return;
      Start(now, service, *server, *it->second.Pop(now));
    }
  }

  void Start(time_point now, const service_config& service,
             const backend_server_config& server, queued_request what) {
    const attempt_id id(++last_attempt_);
    const duration time_left =
        std::min(what.wanted.deadline - now, exchange_.LongestAttempt());
    exchange_.OnStart(now, server.id, id, now + time_left + kDeadlineMargin);
    const attempt started{id,
                          server.id,
                          server.request_address,
                          time_left,
                          what.wanted.id,
                          what.wanted.path,
                          what.wanted.body};
    hooks_.log(log_record("place_request")
                   .With("request", what.wanted.id)
                   .With("service", service.name)
                   .With("server", server.name)
                   .With("attempt", id.Value()));
    if (what.wanted.may_be_repeated) sent_.Add(now, what.key);
    running_[id] = {std::move(what), server.id, now, false};
    hooks_.start_attempt(started);
  }

  void Finish(time_point now, running_attempt finished,
              const attempt_end& end) {
    queued_request& what = finished.what;
    switch (end.result) {
      case attempt_result::kComplete:
        return End(what, {outcome::kAnswered, refusal_reason::kNone, end.status,
                          end.body});
      case attempt_result::kNotProcessed:
        if (!finished.caller_gone) return TryAgain(now, std::move(what));
        return Refuse(what, refusal_reason::kServerRefused);
      case attempt_result::kLost:
        what.may_have_run = true;
        if (!finished.caller_gone && what.wanted.may_be_repeated) {
          return TryAgain(now, std::move(what));
        }
        return Refuse(what, refusal_reason::kConnectionLost);
    }
  }

  /// Queues the request for another attempt.
  void TryAgain(time_point now, queued_request what) {
    retries_.Add();
    Enqueue(now, std::move(what));
  }

  void Cancel(call_id call, const std::optional<request_key>& key) {
    for (auto& [service, queue] : queues_) {
      const auto waiting = queue.Take(
          [&](const queued_request& q) { return IsSame(q, call, key); });
      if (waiting) return Refuse(*waiting, refusal_reason::kCancelled);
    }
    for (auto& [id, attempt] : running_) {
      if (attempt.caller_gone || !IsSame(attempt.what, call, key)) continue;
      attempt.caller_gone = true;
      return hooks_.cancel_attempt(id);
    }
  }

  /// Ends a request without an answer. Reports kNotRun only if no attempt can
  /// have run, otherwise kOutcomeUnknown.
  void Refuse(const queued_request& what, refusal_reason reason) {
    // This instance may have sent another copy of the request, or may do so
    // before the caller has read the refusal.
    const bool copy_may_run =
        what.wanted.may_be_repeated &&
        (sent_.MayHaveSent(what.key) || copies_.at(what.key) > 1 ||
         MayPredateStart(what.wanted));
    const outcome result = what.may_have_run || copy_may_run
                               ? outcome::kOutcomeUnknown
                               : outcome::kNotRun;
    End(what, {result, reason, 0, ""});
  }

  /// True if an earlier process of this instance may have got a copy: callers
  /// send all copies with one deadline, which is the default one or sooner.
  bool MayPredateStart(const request& wanted) const {
    return !config_ ||
           wanted.deadline - config_->limits.default_deadline <= started_at_;
  }

  void End(const queued_request& what, const answer& result) {
    hooks_.log(log_record("end_request")
                   .With("request", what.wanted.id)
                   .With("outcome", NameOf(result.result))
                   .With("reason", NameOf(result.reason)));
    if (what.call.IsSet()) {
      const auto copies = copies_.find(what.key);
      if (--copies->second == 0) copies_.erase(copies);
      EndCall(what.call, result);
    } else {
      registry_.End(what.key, result);
    }
  }

  void EndCall(call_id call, const answer& result) {
    ForgetCall();
    if (result.result == outcome::kNotRun) refusals_.Add();
    if (result.result == outcome::kOutcomeUnknown) unknown_.Add();
    hooks_.end_call(call, result);
  }

  void ForgetCall() { --open_calls_; }

  const instance_id self_;
  const duration leave_time_;
  const hooks hooks_;
  metric& calls_;
  metric& refusals_;
  metric& unknown_;
  metric& retries_;

  effective_config_ptr config_;
  /// Idempotent requests that were sent; the registry records the others.
  sent_log sent_;
  /// Number of calls under way for each idempotent request.
  absl::flat_hash_map<request_key, size_t> copies_;
  slot_exchange exchange_;
  request_registry registry_;
  std::map<service_id, admission_queue> queues_;
  std::map<attempt_id, running_attempt> running_;
  std::deque<peer_message> own_messages_;
  uint64_t last_attempt_ = 0;
  /// Number of calls that have not ended.
  size_t open_calls_ = 0;
  /// The first event.
  time_point started_at_ = kNever;
  time_point refuse_from_ = kNever;
  bool is_refusing_ = false;
};

request_plane::request_plane(const request_plane_settings& settings,
                             instance_id self, random_source /*random*/,
                             metric_registry& metrics, hooks actions)
    : impl_(std::make_unique<impl>(settings, self, metrics,
                                   std::move(actions))) {}

request_plane::~request_plane() = default;

void request_plane::OnCall(time_point now, call_id call, request request) {
  impl_->OnCall(now, call, std::move(request));
}

void request_plane::OnCallerGone(time_point now, call_id call) {
  impl_->OnCallerGone(now, call);
}

void request_plane::OnAttemptEnd(time_point now, const attempt_end& end) {
  impl_->OnAttemptEnd(now, end);
}

void request_plane::OnMessage(time_point now, const peer_message& message) {
  impl_->OnMessage(now, message);
}

void request_plane::OnConfig(time_point now, effective_config_ptr config) {
  impl_->OnConfig(now, std::move(config));
}

void request_plane::OnMembers(time_point now, const member_view& view) {
  impl_->OnMembers(now, view);
}

void request_plane::OnTick(time_point now) { impl_->OnTick(now); }

void request_plane::BeginStop(time_point now) { impl_->BeginStop(now); }

bool request_plane::IsIdle() const { return impl_->IsIdle(); }

std::string request_plane::StateJson() const { return impl_->StateJson(); }

}  // namespace poplarstair
