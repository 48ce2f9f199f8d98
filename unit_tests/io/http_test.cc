#include <criterion/criterion.h>

#include <optional>
#include <string>
#include <vector>

#include "poplarstair/emulator/platform_emulator.h"
#include "poplarstair/io/http_client.h"
#include "poplarstair/io/http_server.h"
#include "poplarstair/io/socket.h"
#include "poplarstair/io/tcp_stream.h"
#include "poplarstair/object_store/platform_http.h"

using namespace poplarstair;

namespace {

const endpoint kAnyPort = endpoint::Parse("127.0.0.1:0");

/// Runs one call against a platform emulator on the same loop.
platform_reply CallOnLoop(event_loop& loop, http_client& client,
                          const endpoint& platform, platform_request request) {
  platform_reply result;
  client.Start(ToHttpCall(request, platform),
               [&](const std::optional<http_reply>& reply) {
                 result = FromHttpReply(request.id, reply);
                 loop.Stop();
               });
  loop.Run();
  return result;
}

}  // namespace

Test(platform_http, update_requires_the_current_version) {
  event_loop loop;
  platform_emulator platform(loop, kAnyPort);
  http_client client(loop);
  const auto call = [&](platform_operation operation, object_version version,
                        const std::string& body) {
    return CallOnLoop(loop, client, platform.Local(),
                      {1, operation, "a/b", version, body});
  };
  cr_assert_eq(call(platform_operation::kGet, 0, "").status,
               platform_status::kNotFound);
  cr_assert_eq(call(platform_operation::kPut, 0, "one").version, 1u);
  cr_assert_eq(call(platform_operation::kPut, 0, "two").status,
               platform_status::kConflict);
  cr_assert_eq(call(platform_operation::kPut, 1, "two").version, 2u);
  const platform_reply read = call(platform_operation::kWatch, 1, "");
  cr_assert_eq(read.status, platform_status::kOk);
  cr_assert_eq(read.body, "two");
}

Test(http_client, does_not_reuse_a_connection_after_a_timeout) {
  event_loop loop;
  std::vector<http_responder> unanswered;
  http_server server(loop, kAnyPort,
                     [&](const http_request& request, auto respond) {
                       // Gets no response, but the connection stays open.
                       if (request.path == "/silent")
                         return unanswered.push_back(respond);
                       respond({200, {}, request.path});
                     });
  http_client client(loop);
  std::vector<std::string> answers;
  const auto call = [&](const std::string& path) {
    http_call request_call;
    request_call.url = "http://" + server.Local().ToString() + path;
    request_call.timeout = std::chrono::milliseconds(50);
    client.Start(request_call, [&](const std::optional<http_reply>& reply) {
      answers.push_back(reply ? reply->body : "none");
      loop.Stop();
    });
    loop.Run();
  };
  call("/a");
  call("/silent");
  // The connection of the call that timed out is not used again.
  call("/b");
  call("/c");
  cr_assert_eq(answers, (std::vector<std::string>{"/a", "none", "/b", "/c"}));
  client.CloseIdle();
  call("/d");
  cr_assert_eq(answers.back(), "/d");
}

Test(http_server, answers_a_malformed_request_with_an_error) {
  event_loop loop;
  http_server server(loop, kAnyPort, [](const http_request&, auto respond) {
    respond({200, {}, ""});
  });
  std::string answer;
  tcp_stream client_stream(
      loop, ConnectTcp(server.Local()),
      {[&](std::string_view bytes) { answer += bytes; }, [&] { loop.Stop(); }});
  client_stream.Write("rubbish\r\n\r\n");
  loop.Run();
  cr_assert(answer.starts_with("HTTP/1.1 400 "));
}
