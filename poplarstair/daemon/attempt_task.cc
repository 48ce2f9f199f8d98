#include "poplarstair/daemon/attempt_task.h"

#include <charconv>
#include <map>

#include "poplarstair/core/error.h"
#include "poplarstair/io/socket.h"
#include "poplarstair/wire/request_headers.h"

namespace poplarstair {

namespace {

constexpr duration kPingInterval = std::chrono::seconds(2);
/// A connection that answers no PING for this long is silent: a living but
/// slow server still answers them.
constexpr duration kSilenceLimit = std::chrono::seconds(8);

int ParseStatus(const std::string& text) {
  int status = 0;
  std::from_chars(text.data(), text.data() + text.size(), status);
  return status;
}

attempt_result ToResult(stream_end how) {
  switch (how) {
    case stream_end::kComplete:
      return attempt_result::kComplete;
    case stream_end::kNotProcessed:
      return attempt_result::kNotProcessed;
    case stream_end::kLost:
      return attempt_result::kLost;
  }
  return attempt_result::kLost;
}

}  // namespace

class attempt_task::impl {
 public:
  impl(event_loop& loop, task_mailboxes& board)
      : loop_(loop), board_(board), pinger_(loop, [this] { PingAll(); }) {
    board_.attempts.Bind(loop, [this](attempt_order order) {
      std::visit([this](const auto& o) { Handle(o); }, order);
    });
    pinger_.StartRepeating(kPingInterval);
  }

  ~impl() { board_.attempts.Unbind(); }

  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

 private:
  struct server_connection {
    std::unique_ptr<http2_session> session;
    std::map<int32_t, attempt_id> attempts;
  };

  void Handle(const attempt& a) {
    const uint64_t id = ConnectionTo(a.address);
    const auto it = connections_.find(id);
    const int32_t stream_id = it == connections_.end()
                                  ? -1
                                  : it->second.session->Send(WriteAttempt(a));
    if (stream_id < 0) {
      return End({a.id, attempt_result::kNotProcessed, 0, ""});
    }
    it->second.attempts[stream_id] = a.id;
  }

  void Handle(const attempt_cancel& cancel) {
    for (auto& [id, connection] : connections_) {
      for (const auto& [stream_id, attempt] : connection.attempts) {
        if (attempt == cancel.id) return connection.session->Cancel(stream_id);
      }
    }
  }

  /// 0 if there is none and none can be made.
  uint64_t ConnectionTo(const endpoint& server) {
    const auto it = by_server_.find(server);
    if (it != by_server_.end()) return it->second;
    try {
      unique_fd fd = ConnectTcp(server);
      const uint64_t id = ++last_connection_;
      http2_session::hooks actions;
      actions.ended = [this, id](int32_t stream_id, stream_end how,
                                 http2_message message) {
        OnEnded(id, stream_id, how, std::move(message));
      };
      actions.closed = [this, id, server] { Forget(id, server); };
      connections_[id].session =
          http2_session::Client(loop_, std::move(fd), std::move(actions));
      by_server_[server] = id;
      return id;
    } catch (const system_failure&) {
      return 0;
    }
  }

  void OnEnded(uint64_t id, int32_t stream_id, stream_end how,
               http2_message message) {
    auto& attempts = connections_[id].attempts;
    const auto it = attempts.find(stream_id);
    if (it == attempts.end()) return;
    const attempt_id ended = it->second;
    attempts.erase(it);
    const int status = ParseStatus(message.Header(":status"));
    End({ended, ToResult(how), status, std::move(message.body)});
  }

  void End(attempt_end end) { board_.balancer.Post(std::move(end)); }

  void Forget(uint64_t id, const endpoint& server) {
    const auto it = by_server_.find(server);
    if (it != by_server_.end() && it->second == id) by_server_.erase(it);
    loop_.Post([this, id] { connections_.erase(id); });
  }

  void PingAll() {
    const time_point now = loop_.Now();
    for (auto it = by_server_.begin(); it != by_server_.end();) {
      http2_session& session = *connections_[it->second].session;
      if (now - session.LastReceivedAt() < kSilenceLimit) {
        session.Ping();
        ++it;
        continue;
      }
      DropSilent(it->second);
      it = by_server_.erase(it);
    }
  }

  /// Ends what runs on a silent connection; new attempts get a new one.
  void DropSilent(uint64_t id) {
    for (const auto& [stream_id, attempt] : connections_[id].attempts) {
      End({attempt, attempt_result::kLost, 0, ""});
    }
    connections_.erase(id);
  }

  event_loop& loop_;
  task_mailboxes& board_;
  timer_watcher pinger_;
  std::map<uint64_t, server_connection> connections_;
  std::map<endpoint, uint64_t> by_server_;
  uint64_t last_connection_ = 0;
};

attempt_task::attempt_task(event_loop& loop, task_mailboxes& board)
    : impl_(std::make_unique<impl>(loop, board)) {}
attempt_task::~attempt_task() = default;

}  // namespace poplarstair
