#include "poplarstair/emulator/request_load.h"

#include <deque>
#include <map>
#include <nlohmann/json.hpp>

#include "poplarstair/core/error.h"
#include "poplarstair/core/random.h"
#include "poplarstair/emulator/live_instances.h"
#include "poplarstair/io/http2_session.h"
#include "poplarstair/io/http_client.h"
#include "poplarstair/wire/request_headers.h"

namespace poplarstair {

namespace {

constexpr duration kTick = std::chrono::milliseconds(10);
constexpr duration kRefreshInterval = std::chrono::milliseconds(500);

/// How the requests of a period ended.
struct request_counts {
  uint64_t sent = 0;
  uint64_t answered = 0;
  uint64_t not_run = 0;
  uint64_t outcome_unknown = 0;
  uint64_t failed = 0;
};

nlohmann::json ToJson(const request_counts& counts) {
  return {{"sent", counts.sent},
          {"answered", counts.answered},
          {"not_run", counts.not_run},
          {"outcome_unknown", counts.outcome_unknown},
          {"failed", counts.failed}};
}

/// A request with its retries.
struct sent_request {
  request wanted;
  std::string service;
  bool sent_while_domain_out = false;
  int attempts = 0;
};

/// Maximum attempts of a request whose earlier attempts were reported as not
/// run.
constexpr int kMaxAttempts = 4;
constexpr duration kRetryAfter = std::chrono::milliseconds(50);

}  // namespace

class request_load::impl {
 public:
  impl(event_loop& loop, const effective_config& config,
       const client_emulator_settings& settings)
      : loop_(loop),
        config_(config),
        settings_(settings),
        random_(settings.seed + 1),
        client_(loop),
        refresh_timer_(loop, [this] { FetchInstances(); }),
        tick_timer_(loop, [this] { OnTick(); }) {
    refresh_timer_.StartRepeating(kRefreshInterval);
    FetchInstances();
    tick_timer_.StartRepeating(kTick);
  }

  void BeginDomainOutage() { domain_is_out_ = true; }
  void EndDomainOutage() { domain_is_out_ = false; }
  void Stop() { stopping_ = true; }

  void AddTo(nlohmann::json& report) const {
    report["requests"] = ToJson(all_);
    report["requests_while_domain_out"] = ToJson(while_domain_out_);
    report["mixed_answers"] = mixed_answers_;
  }

 private:
  struct instance_connection {
    std::unique_ptr<http2_session> session;
    std::map<int32_t, sent_request> sent;
  };

  void FetchInstances() {
    ReadLiveInstances(client_, settings_.platform,
                      [this](const std::vector<live_instance>& live) {
                        live_instances_ = live;
                      });
  }

  void OnTick() {
    if (live_instances_.empty()) return;
    SendRetries();
    if (stopping_) return;
    due_ += settings_.requests_per_second * ToSeconds(kTick);
    for (; due_ >= 1; due_ -= 1) {
      for (const service_config& service : config_.services) SendNew(service);
    }
  }

  void SendNew(const service_config& service) {
    sent_request fresh;
    fresh.wanted.id = "r" + std::to_string(settings_.seed) + "-" +
                      std::to_string(++last_request_);
    fresh.wanted.path = "/checklists";
    fresh.wanted.body = "checklist " + fresh.wanted.id;
    fresh.wanted.deadline = loop_.Now() + settings_.request_deadline;
    fresh.service = service.name;
    fresh.sent_while_domain_out = domain_is_out_;
    ++all_.sent;
    if (domain_is_out_) ++while_domain_out_.sent;
    SendCopy(std::move(fresh));
  }

  void SendRetries() {
    const time_point now = loop_.Now();
    while (!retries_.empty() && retries_.front().first <= now) {
      sent_request copy = std::move(retries_.front().second);
      retries_.pop_front();
      SendCopy(std::move(copy));
    }
  }

  void SendCopy(sent_request copy) {
    ++copy.attempts;
    const endpoint& instance =
        live_instances_[RandomBelow(random_, live_instances_.size())]
            .request_address;
    instance_connection& connection = ConnectionTo(instance);
    const duration time_left = copy.wanted.deadline - loop_.Now();
    const int32_t stream_id = connection.session->Send(
        WriteCallerRequest(copy.wanted, copy.service, time_left));
    if (stream_id < 0) return OnNotRun(std::move(copy));
    connection.sent[stream_id] = std::move(copy);
  }

  instance_connection& ConnectionTo(const endpoint& instance) {
    instance_connection& connection = connections_[instance];
    if (connection.session) return connection;
    http2_session::hooks actions;
    actions.ended = [this, instance](int32_t stream_id, stream_end how,
                                     const http2_message& message) {
      OnEnded(instance, stream_id, how, message);
    };
    actions.closed = [this, instance] {
      loop_.Post([this, instance] { connections_.erase(instance); });
    };
    connection.session =
        http2_session::Client(loop_, ConnectTcp(instance), std::move(actions));
    return connection;
  }

  void OnEnded(const endpoint& instance, int32_t stream_id, stream_end how,
               const http2_message& message) {
    auto& sent = connections_[instance].sent;
    const auto it = sent.find(stream_id);
    if (it == sent.end()) return;
    sent_request ended = std::move(it->second);
    sent.erase(it);
    const outcome result = OutcomeOf(how, message);
    if (result == outcome::kNotRun) return OnNotRun(std::move(ended));
    if (result == outcome::kAnswered && !BelongsTo(ended, message.body)) {
      ++mixed_answers_;
    }
    Count(ended, result);
  }

  static outcome OutcomeOf(stream_end how, const http2_message& message) {
    if (how == stream_end::kNotProcessed) return outcome::kNotRun;
    if (how == stream_end::kLost) return outcome::kOutcomeUnknown;
    return ReadAnswer(message).result;
  }

  /// Retries the request, which is safe because it has not run.
  void OnNotRun(sent_request refused) {
    const time_point next = loop_.Now() + kRetryAfter;
    if (refused.attempts >= kMaxAttempts || next >= refused.wanted.deadline) {
      return Count(refused, outcome::kNotRun);
    }
    retries_.emplace_back(next, std::move(refused));
  }

  void Count(const sent_request& ended, outcome result) {
    Count(all_, result);
    if (ended.sent_while_domain_out) Count(while_domain_out_, result);
  }

  static void Count(request_counts& counts, outcome result) {
    switch (result) {
      case outcome::kAnswered:
        ++counts.answered;
        return;
      case outcome::kNotRun:
        ++counts.not_run;
        return;
      case outcome::kOutcomeUnknown:
        ++counts.outcome_unknown;
        return;
      case outcome::kFailed:
        ++counts.failed;
        return;
    }
  }

  /// Checks that the response belongs to the request. An emulated server
  /// answers "ID SERVICE/SERVER@DOMAIN".
  static bool BelongsTo(const sent_request& sent, const std::string& body) {
    return body.starts_with(sent.wanted.id + " " + sent.service + "/");
  }

  event_loop& loop_;
  const effective_config& config_;
  const client_emulator_settings settings_;
  random_source random_;
  http_client client_;
  timer_watcher refresh_timer_;
  timer_watcher tick_timer_;
  std::vector<live_instance> live_instances_;
  std::map<endpoint, instance_connection> connections_;
  std::deque<std::pair<time_point, sent_request>> retries_;
  uint64_t last_request_ = 0;
  double due_ = 0;
  bool domain_is_out_ = false;
  bool stopping_ = false;
  request_counts all_;
  request_counts while_domain_out_;
  uint64_t mixed_answers_ = 0;
};

request_load::request_load(event_loop& loop, const effective_config& config,
                           const client_emulator_settings& settings)
    : impl_(std::make_unique<impl>(loop, config, settings)) {}
request_load::~request_load() = default;
void request_load::BeginDomainOutage() { impl_->BeginDomainOutage(); }
void request_load::EndDomainOutage() { impl_->EndDomainOutage(); }
void request_load::Stop() { impl_->Stop(); }
void request_load::AddTo(nlohmann::json& report) const { impl_->AddTo(report); }

}  // namespace poplarstair
