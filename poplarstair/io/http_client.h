// An HTTP/1.1 client on the event loop, and a blocking call. Responses are
// parsed by http_parser; connections are kept open and reused.
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

/// An HTTP request to send.
struct http_call {
  std::string method = "GET";
  /// http://ADDRESS:PORT/PATH
  std::string url;
  /// Whole header lines without the line end, such as "accept: text/plain".
  std::vector<std::string> headers;
  std::string body;
  duration timeout = std::chrono::seconds(5);
};

/// An HTTP response.
struct http_reply {
  int status = 0;
  /// Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
};

/// Receives the response, or nullopt if no complete response arrived within the
/// call's timeout.
using http_reply_handler = std::function<void(std::optional<http_reply>)>;

/// Sends HTTP requests without blocking the loop.
class http_client {
 public:
  explicit http_client(event_loop& loop);
  ~http_client();

  /// Sends the request and later calls `on_reply`, never before Start returns.
  /// Throws invalid_address for a URL that is not http://ADDRESS:PORT/PATH.
  void Start(const http_call& call, http_reply_handler on_reply);
  /// Closes the idle connections, for example because their servers may no
  /// longer respond.
  void CloseIdle();

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

/// Sends a request and blocks until the response or the timeout. For
/// command-line tools.
std::optional<http_reply> CallHttp(const http_call& call);

}  // namespace poplarstair

#endif  // POPLARSTAIR_IO_HTTP_CLIENT_H_
