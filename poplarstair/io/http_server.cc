#include "poplarstair/io/http_server.h"

#include <http_parser.h>

#include <algorithm>
#include <cctype>

#include "poplarstair/io/socket.h"
#include "poplarstair/io/tcp_stream.h"

namespace poplarstair {

namespace {

constexpr size_t kMaxBodyBytes = 4 << 20;

std::string ToLower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

const char* ReasonOf(int status) {
  return http_status_str(static_cast<http_status>(status));
}

std::string Format(const http_response& response) {
  std::string text = "HTTP/1.1 " + std::to_string(response.status) + " " +
                     ReasonOf(response.status) + "\r\n";
  for (const auto& [name, value] : response.headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  text += "content-length: " + std::to_string(response.body.size()) + "\r\n";
  return text + "\r\n" + response.body;
}

void ParseQuery(const std::string& text, http_request& request) {
  size_t start = 0;
  while (start < text.size()) {
    const size_t end = std::min(text.find('&', start), text.size());
    const std::string pair = text.substr(start, end - start);
    const size_t equals = std::min(pair.find('='), pair.size());
    request.query[pair.substr(0, equals)] =
        equals < pair.size() ? pair.substr(equals + 1) : "";
    start = end + 1;
  }
}

void ParseTarget(const std::string& target, http_request& request) {
  const size_t question = std::min(target.find('?'), target.size());
  request.path = target.substr(0, question);
  if (question < target.size())
    ParseQuery(target.substr(question + 1), request);
}

/// A client's connection; parses its requests one after another.
class http_connection {
 public:
  http_connection(event_loop& loop, unique_fd connection,
                  const http_handler& handler, std::function<void()> closed)
      : handler_(handler),
        closed_(std::move(closed)),
        stream_(loop, std::move(connection),
                {[this](std::string_view bytes) { OnBytes(bytes); },
                 [this] { closed_(); }}) {
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
    http_parser_settings_init(&settings_);
    settings_.on_url = &OnUrl;
    settings_.on_header_field = &OnHeaderName;
    settings_.on_header_value = &OnHeaderValue;
    settings_.on_body = &OnBody;
    settings_.on_message_complete = &OnComplete;
  }

  void Respond(const http_response& response) {
    stream_.Write(Format(response));
  }

  /// Exists as long as the connection. Responders hold a weak pointer to it, so
  /// that they can tell whether the connection still exists.
  std::shared_ptr<http_connection*> AliveToken() const { return alive_token_; }

 private:
  static http_connection& Of(http_parser* parser) {
    return *static_cast<http_connection*>(parser->data);
  }

  static int OnUrl(http_parser* parser, const char* at, size_t length) {
    Of(parser).target_.append(at, length);
    return 0;
  }

  static int OnHeaderName(http_parser* parser, const char* at, size_t length) {
    http_connection& self = Of(parser);
    if (self.in_value_) self.EndHeader();
    self.header_name_.append(at, length);
    return 0;
  }

  static int OnHeaderValue(http_parser* parser, const char* at, size_t length) {
    http_connection& self = Of(parser);
    self.in_value_ = true;
    self.header_value_.append(at, length);
    return 0;
  }

  static int OnBody(http_parser* parser, const char* at, size_t length) {
    http_connection& self = Of(parser);
    self.request_.body.append(at, length);
    return self.request_.body.size() > kMaxBodyBytes ? 1 : 0;
  }

  static int OnComplete(http_parser* parser) {
    Of(parser).EndRequest();
    return 0;
  }

  void EndHeader() {
    request_.headers[ToLower(header_name_)] = header_value_;
    header_name_.clear();
    header_value_.clear();
    in_value_ = false;
  }

  void EndRequest() {
    if (in_value_) EndHeader();
    request_.method = http_method_str(static_cast<http_method>(parser_.method));
    ParseTarget(target_, request_);
    target_.clear();
    http_request finished;
    std::swap(finished, request_);
    const std::weak_ptr<http_connection*> alive_token = alive_token_;
    handler_(std::move(finished), [alive_token](const http_response& response) {
      if (const auto connection = alive_token.lock()) {
        (*connection)->Respond(response);
      }
    });
  }

  void OnBytes(std::string_view bytes) {
    const size_t parsed =
        http_parser_execute(&parser_, &settings_, bytes.data(), bytes.size());
    if (parsed == bytes.size()) return;
    Respond({400, {{"connection", "close"}}, "malformed request\n"});
    stream_.CloseAfterWrite();
  }

  const http_handler& handler_;
  std::function<void()> closed_;
  std::shared_ptr<http_connection*> alive_token_ =
      std::make_shared<http_connection*>(this);

  // State of the request that is being parsed.
  http_parser parser_{};
  http_parser_settings settings_{};
  http_request request_;
  std::string target_;
  std::string header_name_;
  std::string header_value_;
  bool in_value_ = false;

  tcp_stream stream_;
};

}  // namespace

class http_server::impl {
 public:
  impl(event_loop& loop, const endpoint& local, http_handler handler)
      : loop_(loop),
        handler_(std::move(handler)),
        listener_(ListenTcp(local)),
        watcher_(loop, listener_.Get(),
                 [this](io_watcher::readiness) { Accept(); }) {
    watcher_.WaitFor({true, false});
  }

  endpoint Local() const { return LocalEndpoint(listener_); }

 private:
  void Accept() {
    for (unique_fd fd = AcceptTcp(listener_); fd.IsOpen();
         fd = AcceptTcp(listener_)) {
      const uint64_t id = ++last_connection_;
      connections_[id] = std::make_unique<http_connection>(
          loop_, std::move(fd), handler_,
          [this, id] { loop_.Post([this, id] { connections_.erase(id); }); });
    }
  }

  event_loop& loop_;
  const http_handler handler_;
  unique_fd listener_;
  io_watcher watcher_;
  std::map<uint64_t, std::unique_ptr<http_connection>> connections_;
  uint64_t last_connection_ = 0;
};

http_server::http_server(event_loop& loop, const endpoint& local,
                         http_handler handler)
    : impl_(std::make_unique<impl>(loop, local, std::move(handler))) {}
http_server::~http_server() = default;
endpoint http_server::Local() const { return impl_->Local(); }

}  // namespace poplarstair
