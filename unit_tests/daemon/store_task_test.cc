#include "poplarstair/daemon/store_task.h"

#include <memory>
#include <string>
#include <vector>

#include "poplarstair/io/socket.h"
#include "poplarstair/io/tcp_stream.h"

// Its macros clash with Abseil's headers, so it comes last.
#include <criterion/criterion.h>

using namespace poplarstair;

namespace {

/// A store that answers with the path that was asked for, and sends a second
/// copy of each answer when the connection is used again.
class copying_store {
 public:
  explicit copying_store(event_loop& loop)
      : loop_(loop),
        listener_(ListenTcp(endpoint::Parse("127.0.0.1:0"))),
        watcher_(loop, listener_.Get(),
                 [this](io_watcher::readiness) { Accept(); }) {
    watcher_.WaitFor({true, false});
  }

  endpoint Local() const { return LocalEndpoint(listener_); }

 private:
  struct caller {
    std::unique_ptr<tcp_stream> stream;
    std::string last_answer;
  };

  void Accept() {
    unique_fd accepted = AcceptTcp(listener_);
    if (!accepted.IsOpen()) return;
    callers_.push_back(std::make_unique<caller>());
    caller* added = callers_.back().get();
    added->stream = std::make_unique<tcp_stream>(
        loop_, std::move(accepted),
        tcp_stream::hooks{
            [added](std::string_view bytes) { Answer(*added, bytes); }, [] {}});
  }

  static void Answer(caller& to, std::string_view request) {
    const size_t begin = request.find(' ') + 1;
    const std::string path(
        request.substr(begin, request.find(' ', begin) - begin));
    const std::string answer =
        "HTTP/1.1 200 OK\r\ncontent-length: " + std::to_string(path.size()) +
        "\r\n\r\n" + path;
    if (!to.last_answer.empty()) to.stream->Write(to.last_answer);
    to.stream->Write(answer);
    to.last_answer = answer;
  }

  event_loop& loop_;
  unique_fd listener_;
  io_watcher watcher_;
  std::vector<std::unique_ptr<caller>> callers_;
};

/// A store task that is asked for one collection after the other.
struct store_task_bench {
  event_loop loop;
  entry_mailboxes board;
  copying_store store{loop};
  std::vector<collection> wanted;
  std::vector<std::string> answers;
  store_task subject{loop, store.Local(), Hooks(), board};

  platform_hooks Hooks() {
    platform_hooks hooks;
    hooks.to_store_call = [](const store_request& request,
                             const endpoint& remote) {
      http_call call;
      call.url = "http://" + remote.ToString() + "/" +
                 std::string(NameOf(request.what));
      return call;
    };
    hooks.from_store_answer = [this](time_point, const store_request& request,
                                     const std::optional<http_reply>& answer) {
      answers.push_back(answer ? answer->body : "none");
      AskNext();
      return store_reply{request.id, store_status::kOk, 1, {}, false};
    };
    return hooks;
  }

  void AskNext() {
    if (answers.size() == wanted.size()) return loop.Stop();
    store_request request;
    request.what = wanted[answers.size()];
    board.store.Post(request);
  }
};

}  // namespace

Test(store_task, a_late_copy_is_not_another_collections_answer) {
  store_task_bench bench;
  bench.wanted = {collection::kServers, collection::kRoutes,
                  collection::kWithdrawals};
  bench.AskNext();
  bench.loop.Run();
  const std::vector<std::string> expected = {"/servers", "/routes",
                                             "/withdrawals"};
  cr_assert_eq(bench.answers, expected);
}
