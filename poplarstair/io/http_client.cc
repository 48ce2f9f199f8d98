#include "poplarstair/io/http_client.h"

#include <http_parser.h>

#include <algorithm>
#include <cctype>
#include <string_view>
#include <utility>

#include "poplarstair/core/endpoint.h"
#include "poplarstair/core/error.h"
#include "poplarstair/io/socket.h"
#include "poplarstair/io/tcp_stream.h"

namespace poplarstair {

namespace {

/// Parsing fails for larger response bodies. All objects and pages that this
/// client fetches are far smaller.
constexpr size_t kMaxBodyBytes = 16 << 20;

/// The parts of a call's URL.
struct url_parts {
  endpoint remote;
  std::string path;
};

url_parts ParseUrl(const std::string& url) {
  constexpr std::string_view kScheme = "http://";
  if (!url.starts_with(kScheme)) throw invalid_address(url);
  const size_t slash = std::min(url.find('/', kScheme.size()), url.size());
  url_parts target;
  target.remote =
      endpoint::Parse(url.substr(kScheme.size(), slash - kScheme.size()));
  target.path = slash == url.size() ? "/" : url.substr(slash);
  return target;
}

std::string FormatRequest(const http_call& call, const url_parts& target) {
  std::string text = call.method + " " + target.path +
                     " HTTP/1.1\r\nhost: " + target.remote.ToString() + "\r\n";
  for (const std::string& header : call.headers) text += header + "\r\n";
  if (!call.body.empty() || call.method != "GET") {
    text += "content-length: " + std::to_string(call.body.size()) + "\r\n";
  }
  return text + "\r\n" + call.body;
}

/// A connection that handles one call at a time.
class connection {
 public:
  /// Receives the response, and whether the connection can be reused.
  using finish_handler = std::function<void(std::optional<http_reply>, bool)>;

  connection(event_loop& loop, const endpoint& remote)
      : timer_(loop, [this] { Finish(std::nullopt, false); }),
        stream_(loop, OpenSocket(remote),
                {[this](std::string_view bytes) { OnBytes(bytes); },
                 [this] { OnClosed(); }}) {
    http_parser_settings_init(&settings_);
    settings_.on_header_field = &OnHeaderName;
    settings_.on_header_value = &OnHeaderValue;
    settings_.on_body = &OnBody;
    settings_.on_message_complete = &OnComplete;
  }

  void Start(const std::string& request, duration timeout,
             finish_handler on_finish) {
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    reply_ = {};
    complete_ = false;
    on_finish_ = std::move(on_finish);
    stream_.Write(request);
    timer_.StartOnce(timeout);
  }

  bool IsBroken() const { return is_broken_; }

 private:
  static unique_fd OpenSocket(const endpoint& remote) {
    unique_fd opened = ConnectTcp(remote);
    EnableFastKeepAlive(opened);
    return opened;
  }

  static connection& Of(http_parser* parser) {
    return *static_cast<connection*>(parser->data);
  }

  static int OnHeaderName(http_parser* parser, const char* at, size_t length) {
    connection& self = Of(parser);
    if (self.in_value_) self.EndHeader();
    self.header_name_.append(at, length);
    return 0;
  }

  static int OnHeaderValue(http_parser* parser, const char* at, size_t length) {
    connection& self = Of(parser);
    self.in_value_ = true;
    self.header_value_.append(at, length);
    return 0;
  }

  static int OnBody(http_parser* parser, const char* at, size_t length) {
    std::string& body = Of(parser).reply_.body;
    body.append(at, length);
    return body.size() > kMaxBodyBytes ? 1 : 0;
  }

  static int OnComplete(http_parser* parser) {
    connection& self = Of(parser);
    if (self.in_value_) self.EndHeader();
    self.reply_.status = static_cast<int>(parser->status_code);
    self.complete_ = true;
    self.reusable_ = http_should_keep_alive(parser) != 0;
    http_parser_pause(parser, 1);
    return 0;
  }

  void EndHeader() {
    std::transform(header_name_.begin(), header_name_.end(),
                   header_name_.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    reply_.headers[header_name_] = header_value_;
    header_name_.clear();
    header_value_.clear();
    in_value_ = false;
  }

  void OnBytes(std::string_view bytes) {
    // Bytes received outside a call cannot be attributed to any request, so
    // the connection is not reused.
    if (!on_finish_) {
      is_broken_ = true;
      return;
    }
    const size_t parsed =
        http_parser_execute(&parser_, &settings_, bytes.data(), bytes.size());
    if (complete_) {
      // When the parser pauses in OnComplete, its count excludes the last byte
      // of the message.
      return Finish(std::move(reply_), reusable_ && parsed + 1 >= bytes.size());
    }
    if (parsed != bytes.size()) Finish(std::nullopt, false);
  }

  void OnClosed() {
    is_broken_ = true;
    if (!on_finish_) return;
    // The end of the connection completes a response without a length.
    http_parser_execute(&parser_, &settings_, nullptr, 0);
    if (complete_) return Finish(std::move(reply_), false);
    Finish(std::nullopt, false);
  }

  void Finish(std::optional<http_reply> reply, bool reusable) {
    timer_.Stop();
    const finish_handler on_finish = std::exchange(on_finish_, nullptr);
    if (on_finish) on_finish(std::move(reply), reusable && !is_broken_);
  }

  timer_watcher timer_;
  http_parser parser_{};
  http_parser_settings settings_{};
  http_reply reply_;
  std::string header_name_;
  std::string header_value_;
  bool in_value_ = false;
  bool complete_ = false;
  bool reusable_ = false;
  bool is_broken_ = false;
  finish_handler on_finish_;
  tcp_stream stream_;
};

}  // namespace

class http_client::impl {
 public:
  explicit impl(event_loop& loop) : loop_(loop) {}

  void Start(const http_call& call, http_reply_handler on_reply) {
    const url_parts target = ParseUrl(call.url);
    const uint64_t id = ++last_id_;
    std::unique_ptr<connection> used_connection;
    try {
      used_connection = TakeConnection(target.remote);
    } catch (const system_failure&) {
      // Reported like any other missing response, after this handler returns.
      loop_.Post([on_reply = std::move(on_reply)] { on_reply(std::nullopt); });
      return;
    }
    connection& started = *used_connection;
    running_[id] = std::move(used_connection);
    started.Start(
        FormatRequest(call, target), call.timeout,
        [this, id, remote = target.remote, on_reply = std::move(on_reply)](
            std::optional<http_reply> reply, bool reusable) mutable {
          // The connection is still on the call stack, so it must be released
          // after this handler returns.
          loop_.Post([this, id, remote, reusable, reply = std::move(reply),
                      on_reply = std::move(on_reply)]() mutable {
            Release(id, remote, reusable);
            on_reply(std::move(reply));
          });
        });
  }

  void CloseIdle() { idle_.clear(); }

 private:
  std::unique_ptr<connection> TakeConnection(const endpoint& remote) {
    auto& idle_connections = idle_[remote];
    while (!idle_connections.empty()) {
      std::unique_ptr<connection> taken = std::move(idle_connections.back());
      idle_connections.pop_back();
      if (!taken->IsBroken()) return taken;
    }
    return std::make_unique<connection>(loop_, remote);
  }

  void Release(uint64_t id, const endpoint& remote, bool reusable) {
    const auto it = running_.find(id);
    if (it == running_.end()) return;
    std::unique_ptr<connection> used_connection = std::move(it->second);
    running_.erase(it);
    auto& idle_connections = idle_[remote];
    if (reusable && idle_connections.size() < kMaxIdleConnections) {
      idle_connections.push_back(std::move(used_connection));
    }
  }

  /// Idle connections kept open for each remote endpoint; others are closed.
  static constexpr size_t kMaxIdleConnections = 4;

  event_loop& loop_;
  uint64_t last_id_ = 0;
  std::map<uint64_t, std::unique_ptr<connection>> running_;
  std::map<endpoint, std::vector<std::unique_ptr<connection>>> idle_;
};

http_client::http_client(event_loop& loop)
    : impl_(std::make_unique<impl>(loop)) {}
http_client::~http_client() = default;
void http_client::Start(const http_call& call, http_reply_handler on_reply) {
  impl_->Start(call, std::move(on_reply));
}
void http_client::CloseIdle() { impl_->CloseIdle(); }

std::optional<http_reply> CallHttp(const http_call& call) {
  event_loop loop;
  http_client client(loop);
  std::optional<http_reply> result;
  client.Start(call, [&](std::optional<http_reply> reply) {
    result = std::move(reply);
    loop.Stop();
  });
  loop.Run();
  return result;
}

}  // namespace poplarstair
