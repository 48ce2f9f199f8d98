// A small HTTP/1.1 server on the event loop, for the endpoints of daemons and
// emulators.
#ifndef POPLARSTAIR_IO_HTTP_SERVER_H_
#define POPLARSTAIR_IO_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "poplarstair/core/endpoint.h"
#include "poplarstair/io/event_loop.h"

namespace poplarstair {

/// A parsed HTTP request.
struct http_request {
  std::string method;
  /// The path without the query string.
  std::string path;
  std::map<std::string, std::string> query;
  /// Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
};

/// An HTTP response; the server adds content-length.
struct http_response {
  int status = 200;
  std::map<std::string, std::string> headers;
  std::string body;
};

/// Sends the response to one request. The handler may keep a copy and call it
/// later. Does nothing if the client's connection has closed.
using http_responder = std::function<void(const http_response&)>;
using http_handler = std::function<void(http_request, http_responder)>;

/// Listens on a TCP port and passes each request to a handler.
class http_server {
 public:
  /// Listens on `local`; port 0 lets the kernel choose. Throws system_failure
  /// if the socket cannot be created or bound.
  http_server(event_loop& loop, const endpoint& local, http_handler handler);
  ~http_server();

  /// The address and port that the server listens on.
  endpoint Local() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_IO_HTTP_SERVER_H_
