// HTTP/1.1 calls on the event loop, and one at a time. Answers are parsed by
// http_parser; connections are kept and reused.
#ifndef POPLARSTAIR_IO_HTTP_CLIENT_H_
#define POPLARSTAIR_IO_HTTP_CLIENT_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "poplarstair/core/time.h"
#include "poplarstair/io/event_loop.h"

namespace poplarstair {

struct http_call {
  std::string method = "GET";
  std::string url;
  std::vector<std::string> headers;
  std::string body;
  duration timeout = std::chrono::seconds(5);
};

struct http_reply {
  int status = 0;
  /// Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
};

/// Nothing when there was no whole answer within the call's timeout.
using http_reply_handler = std::function<void(std::optional<http_reply>)>;

/// Calls that don't block the loop.
class http_client {
 public:
  explicit http_client(event_loop& loop);
  ~http_client();

  /// Throws invalid_address for a URL that is not http://ADDRESS:PORT/PATH.
  void Start(const http_call& call, http_reply_handler on_reply);
  /// Closes connections that carry no call, e.g. because they may have gone
  /// silent.
  void CloseIdle();

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

/// Calls and waits; for the command-line tool.
std::optional<http_reply> CallHttp(const http_call& call);

}  // namespace poplarstair

#endif  // POPLARSTAIR_IO_HTTP_CLIENT_H_
