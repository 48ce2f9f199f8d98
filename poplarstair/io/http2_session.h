// One HTTP/2 connection on the event loop, as client or server.
#ifndef POPLARSTAIR_IO_HTTP2_SESSION_H_
#define POPLARSTAIR_IO_HTTP2_SESSION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "poplarstair/io/event_loop.h"
#include "poplarstair/io/socket.h"

namespace poplarstair {

using http2_headers = std::map<std::string, std::string>;

/// A complete request or response. `headers` includes the pseudo-headers
/// (":path", ":status").
struct http2_message {
  http2_headers headers;
  std::string body;

  /// The value of header `name`; empty if the message has no such header.
  std::string Header(const std::string& name) const;
};

/// How a stream that this side opened ended.
enum class stream_end : uint8_t {
  /// A complete response was received.
  kComplete,
  /// The server certainly did not process the request: it was never written,
  /// the server refused it, or its stream id is above the last one that the
  /// server's GOAWAY lists as processed.
  kNotProcessed,
  /// The stream ended without a complete response; the server may have
  /// processed the request.
  kLost,
};

/// One HTTP/2 connection. Streams are identified by their HTTP/2 stream id. A
/// hook must not destroy the session; it can post the destruction to the event
/// loop instead.
class http2_session {
 public:
  struct hooks {
    /// Server: a complete request was received.
    std::function<void(int32_t, http2_message)> request;
    /// Server: the client cancelled the request, or its connection ended.
    std::function<void(int32_t)> cancelled;
    /// Client: a request ended.
    std::function<void(int32_t, stream_end, http2_message)> ended;
    /// The connection ended. Called once, after all streams have ended.
    std::function<void()> closed;
  };

  static std::unique_ptr<http2_session> Server(event_loop& loop,
                                               unique_fd connection,
                                               hooks handlers);
  static std::unique_ptr<http2_session> Client(event_loop& loop,
                                               unique_fd connection,
                                               hooks handlers);
  ~http2_session();

  // Client.
  /// Opens a stream and returns its id, or a negative number if the session
  /// accepts no new streams.
  int32_t Send(const http2_message& request);
  void Cancel(int32_t stream_id);
  /// Sends a PING; LastReceivedAt shows whether the server has replied.
  void Ping();

  // Server.
  void Respond(int32_t stream_id, const http2_message& response);
  /// Resets the stream with REFUSED_STREAM, which tells the client that the
  /// request was not processed.
  void Refuse(int32_t stream_id);
  /// Sends GOAWAY, so that the client opens no new streams. Open streams
  /// continue.
  void BeginShutdown();

  /// When bytes were last received; initially the creation time.
  time_point LastReceivedAt() const;
  size_t OpenStreams() const;

 private:
  class impl;
  explicit http2_session(std::unique_ptr<impl> implementation);
  std::unique_ptr<impl> impl_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_IO_HTTP2_SESSION_H_
