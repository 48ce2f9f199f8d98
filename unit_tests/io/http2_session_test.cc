#include "poplarstair/io/http2_session.h"

#include <criterion/criterion.h>

#include <optional>

using namespace poplarstair;

namespace {

const endpoint kAnyPort = endpoint::Parse("127.0.0.1:0");

http2_message SampleRequest() {
  return {{{":method", "POST"},
           {":scheme", "http"},
           {":authority", "test"},
           {":path", "/"}},
          "question"};
}

/// A client and a server that handles each request with the given function.
class session_pair {
 public:
  using request_handler = std::function<void(http2_session&, int32_t)>;

  explicit session_pair(request_handler on_request)
      : on_request_(std::move(on_request)),
        listener_(ListenTcp(kAnyPort)),
        watcher_(loop_, listener_.Get(),
                 [this](io_watcher::readiness) { Accept(); }),
        client_(http2_session::Client(
            loop_, ConnectTcp(LocalEndpoint(listener_)), ClientHooks())) {
    watcher_.WaitFor({true, false});
  }

  stream_end RunOneRequest() {
    stream_id_ = client_->Send(SampleRequest());
    loop_.Run();
    return *end_;
  }

  const http2_message& Response() const { return response_; }
  void DropServer() {
    loop_.Post([this] { server_.reset(); });
  }

 private:
  http2_session::hooks ClientHooks() {
    http2_session::hooks handlers;
    handlers.ended = [this](int32_t, stream_end how, http2_message message) {
      end_ = how;
      response_ = std::move(message);
      loop_.Stop();
    };
    handlers.closed = [] {};
    return handlers;
  }

  void Accept() {
    http2_session::hooks handlers;
    handlers.request = [this](int32_t stream_id, const http2_message&) {
      on_request_(*server_, stream_id);
    };
    handlers.cancelled = [](int32_t) {};
    handlers.closed = [] {};
    server_ =
        http2_session::Server(loop_, AcceptTcp(listener_), std::move(handlers));
  }

  event_loop loop_;
  request_handler on_request_;
  unique_fd listener_;
  io_watcher watcher_;
  std::unique_ptr<http2_session> server_;
  std::optional<stream_end> end_;
  http2_message response_;
  int32_t stream_id_ = 0;
  std::unique_ptr<http2_session> client_;
};

}  // namespace

Test(http2_session, receives_a_large_response_completely) {
  const std::string body(3 << 20, 'x');
  session_pair pair([&](http2_session& server, int32_t stream_id) {
    server.Respond(stream_id, {{{":status", "200"}}, body});
  });
  cr_assert_eq(pair.RunOneRequest(), stream_end::kComplete);
  cr_assert_eq(pair.Response().Header(":status"), "200");
  cr_assert(pair.Response().body == body);
}

Test(http2_session, distinguishes_a_refused_request_from_a_lost_one) {
  session_pair refusing([](http2_session& server, int32_t stream_id) {
    server.Refuse(stream_id);
  });
  cr_assert_eq(refusing.RunOneRequest(), stream_end::kNotProcessed);

  session_pair* self = nullptr;
  session_pair dying([&](http2_session&, int32_t) { self->DropServer(); });
  self = &dying;
  cr_assert_eq(dying.RunOneRequest(), stream_end::kLost);
}

Test(http2_session, reports_not_processed_when_the_connection_is_refused) {
  event_loop loop;
  unique_fd listener = ListenTcp(kAnyPort);
  const endpoint closed_port = LocalEndpoint(listener);
  listener.Reset();
  std::optional<stream_end> end;
  http2_session::hooks handlers;
  handlers.ended = [&](int32_t, stream_end how, const http2_message&) {
    end = how;
  };
  handlers.closed = [&] { loop.Stop(); };
  const auto client =
      http2_session::Client(loop, ConnectTcp(closed_port), std::move(handlers));
  client->Send(SampleRequest());
  loop.Run();
  cr_assert_eq(*end, stream_end::kNotProcessed);
}
