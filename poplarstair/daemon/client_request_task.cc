#include "poplarstair/daemon/client_request_task.h"

#include <map>

#include "poplarstair/core/error.h"
#include "poplarstair/io/socket.h"
#include "poplarstair/wire/request_headers.h"

namespace poplarstair {

class client_request_task::impl {
 public:
  impl(event_loop& loop, const endpoint& local, task_mailboxes& board,
       log_hook log)
      : loop_(loop),
        board_(board),
        log_(std::move(log)),
        listener_(ListenTcp(local)),
        watcher_(loop, listener_.Get(),
                 [this](io_watcher::readiness) { Accept(); }) {
    watcher_.WaitFor({true, false});
    board_.calls.Bind(loop,
                      [this](const client_request_end& end) { Finish(end); });
    board_.stop_calls.Bind(loop, [this](stop_order) { BeginStop(); });
  }

  ~impl() {
    board_.calls.Unbind();
    board_.stop_calls.Unbind();
  }

  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

 private:
  struct stream_name {
    uint64_t connection = 0;
    int32_t stream_id = 0;
    friend auto operator<=>(const stream_name&, const stream_name&) = default;
  };

  void Accept() {
    for (unique_fd fd = AcceptTcp(listener_); fd.IsOpen();
         fd = AcceptTcp(listener_)) {
      const uint64_t id = ++last_connection_;
      http2_session::hooks actions;
      actions.request = [this, id](int32_t stream_id, http2_message message) {
        OnRequest({id, stream_id}, std::move(message));
      };
      actions.cancelled = [this, id](int32_t stream_id) {
        OnCancelled({id, stream_id});
      };
      actions.closed = [this, id] {
        loop_.Post([this, id] { connections_.erase(id); });
      };
      connections_[id] =
          http2_session::Server(loop_, std::move(fd), std::move(actions));
    }
  }

  void BeginStop() {
    watcher_.WaitFor({false, false});
    for (const auto& [id, connection] : connections_)
      connection->BeginShutdown();
  }

  void OnRequest(stream_name name, http2_message message) {
    try {
      request wanted = ReadCallerRequest(loop_.Now(), std::move(message));
      const call_id id(++last_call_);
      streams_[id] = name;
      calls_[name] = id;
      board_.balancer.Post(client_request{id, std::move(wanted)});
    } catch (const malformed_message& failure) {
      board_.counters.Post(
          {"requests_rejected", "Requests with malformed headers."});
      log_(log_record("request_rejected", log_level::kWarning)
               .With("kind", failure.Kind())
               .With("error", failure.what()));
      Respond(name,
              {{{":status", "400"},
                {kOutcomeHeader, std::string(NameOf(outcome::kFailed))},
                {kReasonHeader, std::string(NameOf(refusal_reason::kNone))}},
               failure.what()});
    }
  }

  void OnCancelled(stream_name name) {
    const auto it = calls_.find(name);
    if (it == calls_.end()) return;
    board_.balancer.Post(client_request_cancelled{it->second});
    streams_.erase(it->second);
    calls_.erase(it);
  }

  void Finish(const client_request_end& end) {
    const auto it = streams_.find(end.id);
    if (it == streams_.end()) return;
    const stream_name name = it->second;
    streams_.erase(it);
    calls_.erase(name);
    Respond(name, WriteAnswer(end.result));
  }

  void Respond(stream_name name, const http2_message& response) {
    const auto it = connections_.find(name.connection);
    if (it != connections_.end()) {
      it->second->Respond(name.stream_id, response);
    }
  }

  event_loop& loop_;
  task_mailboxes& board_;
  const log_hook log_;
  unique_fd listener_;
  io_watcher watcher_;
  std::map<uint64_t, std::unique_ptr<http2_session>> connections_;
  std::map<call_id, stream_name> streams_;
  std::map<stream_name, call_id> calls_;
  uint64_t last_connection_ = 0;
  uint64_t last_call_ = 0;
};

client_request_task::client_request_task(event_loop& loop,
                                         const endpoint& local,
                                         task_mailboxes& board, log_hook log)
    : impl_(std::make_unique<impl>(loop, local, board, std::move(log))) {}
client_request_task::~client_request_task() = default;

}  // namespace poplarstair
