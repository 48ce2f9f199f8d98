#include "poplarstair/daemon/balancer_task.h"

#include <random>

#include "poplarstair/balancer/balancer.h"

namespace poplarstair {

namespace {

balancer_settings MakeBalancerSettings(const daemon_settings& settings,
                                       incarnation life) {
  std::random_device entropy;
  balancer_settings made;
  made.self = settings.Address();
  made.life = life;
  made.random_seed = (uint64_t{entropy()} << 32) | entropy();
  made.seeds = settings.seeds;
  made.config.site = settings.site;
  made.requests.leave_time = settings.stop.leave_time;
  return made;
}

}  // namespace

class balancer_task::impl {
 public:
  impl(event_loop& loop, const daemon_settings& settings, incarnation life,
       task_mailboxes& board, const log_hook& log)
      : loop_(loop),
        board_(board),
        balancer_(MakeBalancerSettings(settings, life), MakeHooks(log)),
        ticker_(loop, [this] { OnTick(); }) {
    board_.balancer.Bind(loop, [this](balancer_event event) {
      std::visit([this](auto& e) { Handle(e); }, event);
    });
    ticker_.StartRepeating(balancer::kTickInterval);
  }

  ~impl() { board_.balancer.Unbind(); }

  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

 private:
  balancer::hooks MakeHooks(const log_hook& log) {
    balancer::hooks actions;
    actions.log = log;
    actions.send = [this](const peer_message& message) { Send(message); };
    actions.call_platform = [this](platform_request request) {
      board_.platform.Post(std::move(request));
    };
    actions.start_attempt = [this](const attempt& a) {
      board_.attempts.Post(a);
    };
    actions.cancel_attempt = [this](attempt_id id) {
      board_.attempts.Post(attempt_cancel{id});
    };
    actions.end_call = [this](call_id id, const answer& result) {
      board_.calls.Post({id, result});
    };
    return actions;
  }

  void Send(const peer_message& message) {
    const member* peer = balancer_.Members().Find(message.to);
    if (peer == nullptr) return;
    peer_message sent = message;
    // It grows when a death is refuted; by the life of the process's start the
    // others would take the message for one of an earlier life.
    const member* self = balancer_.Members().Find(message.from);
    if (self != nullptr) sent.sender_incarnation = self->life;
    board_.peers.Post({peer->address.peer_address, std::move(sent)});
  }

  void OnTick() {
    balancer_.OnTick(loop_.Now());
    if (!stopping_ || !balancer_.IsIdle()) return;
    stopping_ = false;
    board_.stopped.Post({});
  }

  void Handle(const packet_batch_ptr& batch) {
    const time_point now = loop_.Now();
    batch->decisions.clear();
    for (const packet_info& packet : batch->packets) {
      batch->decisions.push_back(balancer_.OnPacket(now, packet));
    }
    board_.PacketsOf(batch->source).Post(batch);
  }

  void Handle(client_request& call) {
    balancer_.OnCall(loop_.Now(), call.id, std::move(call.wanted));
  }

  void Handle(const client_request_cancelled& gone) {
    balancer_.OnCallerGone(loop_.Now(), gone.id);
  }

  void Handle(const attempt_end& end) {
    balancer_.OnAttemptEnd(loop_.Now(), end);
  }

  void Handle(const peer_message& message) {
    balancer_.OnMessage(loop_.Now(), message);
  }

  void Handle(const platform_reply& reply) {
    balancer_.OnPlatformReply(loop_.Now(), reply);
  }

  void Handle(const admin_query& query) {
    query.reply(query.wanted == admin_query::page::kMetrics
                    ? balancer_.Metrics().ToPrometheusText()
                    : balancer_.StateJson());
  }

  void Handle(const stop_order&) {
    stopping_ = true;
    balancer_.BeginStop(loop_.Now());
  }

  event_loop& loop_;
  task_mailboxes& board_;
  balancer balancer_;
  timer_watcher ticker_;
  bool stopping_ = false;
};

balancer_task::balancer_task(event_loop& loop, const daemon_settings& settings,
                             incarnation life, task_mailboxes& board,
                             const log_hook& log)
    : impl_(std::make_unique<impl>(loop, settings, life, board, log)) {}
balancer_task::~balancer_task() = default;

}  // namespace poplarstair
