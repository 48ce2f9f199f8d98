#include "poplarstair/io/http2_session.h"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <vector>

#include "poplarstair/core/assert.h"
#include "poplarstair/io/tcp_stream.h"

namespace poplarstair {

namespace {

constexpr uint32_t kMaxConcurrentStreams = 10'000;
constexpr uint32_t kInitialWindowBytes = 4 << 20;
constexpr size_t kMaxBodyBytes = 16 << 20;

std::vector<nghttp2_nv> ToNameValues(const http2_headers& headers) {
  std::vector<nghttp2_nv> pairs;
  pairs.reserve(headers.size());
  // nghttp2 only reads the strings, but its structure is not const-correct.
  for (const auto& [name, value] : headers) {
    pairs.push_back(
        {reinterpret_cast<uint8_t*>(const_cast<char*>(name.data())),
         reinterpret_cast<uint8_t*>(const_cast<char*>(value.data())),
         name.size(), value.size(), NGHTTP2_NV_FLAG_NONE});
  }
  return pairs;
}

/// A stream that has not ended.
struct open_stream {
  http2_message incoming;
  std::string outgoing_body;
  size_t sent = 0;
  /// Client: bytes that were written to the connection before the first byte
  /// of this stream.
  uint64_t bytes_before = 0;
  /// A frame with END_STREAM was received.
  bool is_complete = false;
  /// Server: the request was passed to the request hook.
  bool is_delivered = false;
};

}  // namespace

std::string http2_message::Header(const std::string& name) const {
  const auto it = headers.find(name);
  return it == headers.end() ? "" : it->second;
}

class http2_session::impl {
 public:
  impl(event_loop& loop, unique_fd connection, hooks handlers, bool is_server)
      : loop_(loop),
        handlers_(std::move(handlers)),
        is_server_(is_server),
        last_heard_(loop.Now()),
        connection_(loop, std::move(connection),
                    {[this](std::string_view bytes) { OnBytes(bytes); },
                     [this] { OnClosed(); }}) {
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks,
                                                            &OnBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, &OnHeader);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks,
                                                              &OnData);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &OnFrame);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                           &OnStreamClose);
    if (is_server) {
      nghttp2_session_server_new(&session_, callbacks, this);
    } else {
      nghttp2_session_client_new(&session_, callbacks, this);
    }
    nghttp2_session_callbacks_del(callbacks);
    const nghttp2_settings_entry settings[] = {
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxConcurrentStreams},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kInitialWindowBytes}};
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings,
                            std::size(settings));
    Flush();
  }

  ~impl() { nghttp2_session_del(session_); }

  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  int32_t Send(const http2_message& request) {
    if (is_closed_) return -1;
    const uint64_t bytes_before =
        connection_.SentBytes() + connection_.UnsentBytes();
    const auto pairs = ToNameValues(request.headers);
    const nghttp2_data_provider provider = BodyProvider();
    const int32_t id = nghttp2_submit_request(
        session_, nullptr, pairs.data(), pairs.size(),
        request.body.empty() ? nullptr : &provider, nullptr);
    if (id < 0) return id;
    streams_[id].outgoing_body = request.body;
    streams_[id].bytes_before = bytes_before;
    Flush();
    return id;
  }

  void Cancel(int32_t stream_id) { Reset(stream_id, NGHTTP2_CANCEL); }

  void Ping() {
    nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
    Flush();
  }

  void Respond(int32_t stream_id, const http2_message& response) {
    const auto it = streams_.find(stream_id);
    if (is_closed_ || it == streams_.end()) return;
    it->second.outgoing_body = response.body;
    const auto pairs = ToNameValues(response.headers);
    const nghttp2_data_provider provider = BodyProvider();
    nghttp2_submit_response(session_, stream_id, pairs.data(), pairs.size(),
                            response.body.empty() ? nullptr : &provider);
    Flush();
  }

  void Refuse(int32_t stream_id) { Reset(stream_id, NGHTTP2_REFUSED_STREAM); }

  void BeginShutdown() {
    const int32_t last = nghttp2_session_get_last_proc_stream_id(session_);
    nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE, last, NGHTTP2_NO_ERROR,
                          nullptr, 0);
    Flush();
  }

  time_point LastReceivedAt() const { return last_heard_; }
  size_t OpenStreams() const { return streams_.size(); }

 private:
  static impl& Of(void* self) { return *static_cast<impl*>(self); }

  static int OnBeginHeaders(nghttp2_session* /*session*/,
                            const nghttp2_frame* frame, void* self) {
    Of(self).streams_.try_emplace(frame->hd.stream_id);
    return 0;
  }

  static int OnHeader(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                      const uint8_t* name, size_t name_length,
                      const uint8_t* value, size_t value_length,
                      uint8_t /*flags*/, void* self) {
    auto& incoming = Of(self).streams_[frame->hd.stream_id].incoming;
    incoming.headers[std::string(reinterpret_cast<const char*>(name),
                                 name_length)] =
        std::string(reinterpret_cast<const char*>(value), value_length);
    return 0;
  }

  static int OnData(nghttp2_session* /*session*/, uint8_t /*flags*/,
                    int32_t stream_id, const uint8_t* data, size_t length,
                    void* self) {
    impl& me = Of(self);
    const auto it = me.streams_.find(stream_id);
    if (it == me.streams_.end()) return 0;
    std::string& body = it->second.incoming.body;
    if (body.size() + length > kMaxBodyBytes) {
      nghttp2_submit_rst_stream(me.session_, NGHTTP2_FLAG_NONE, stream_id,
                                NGHTTP2_ENHANCE_YOUR_CALM);
      return 0;
    }
    body.append(reinterpret_cast<const char*>(data), length);
    return 0;
  }

  static int OnFrame(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                     void* self) {
    impl& me = Of(self);
    const auto it = me.streams_.find(frame->hd.stream_id);
    const bool ends = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    const bool carries_message =
        frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA;
    if (it == me.streams_.end() || !ends || !carries_message) return 0;
    it->second.is_complete = true;
    if (me.is_server_) {
      it->second.is_delivered = true;
      me.handlers_.request(frame->hd.stream_id, std::move(it->second.incoming));
    }
    return 0;
  }

  static int OnStreamClose(nghttp2_session* /*session*/, int32_t stream_id,
                           uint32_t error_code, void* self) {
    Of(self).EndStream(stream_id, error_code);
    return 0;
  }

  static ssize_t ReadBody(nghttp2_session* /*session*/, int32_t stream_id,
                          uint8_t* out, size_t room, uint32_t* flags,
                          nghttp2_data_source* /*source*/, void* self) {
    open_stream& s = Of(self).streams_[stream_id];
    const size_t length = std::min(room, s.outgoing_body.size() - s.sent);
    std::copy_n(s.outgoing_body.data() + s.sent, length, out);
    s.sent += length;
    if (s.sent == s.outgoing_body.size()) *flags |= NGHTTP2_DATA_FLAG_EOF;
    return static_cast<ssize_t>(length);
  }

  static nghttp2_data_provider BodyProvider() {
    nghttp2_data_provider provider{};
    provider.read_callback = &ReadBody;
    return provider;
  }

  void EndStream(int32_t stream_id, uint32_t error_code) {
    const auto it = streams_.find(stream_id);
    if (it == streams_.end()) return;
    open_stream ended = std::move(it->second);
    streams_.erase(it);
    if (is_server_) {
      if (ended.is_delivered && error_code != NGHTTP2_NO_ERROR) {
        handlers_.cancelled(stream_id);
      }
      return;
    }
    const bool was_sent = connection_.SentBytes() > ended.bytes_before;
    stream_end how = stream_end::kLost;
    if (error_code == NGHTTP2_REFUSED_STREAM || !was_sent) {
      how = stream_end::kNotProcessed;
    } else if (error_code == NGHTTP2_NO_ERROR && ended.is_complete) {
      how = stream_end::kComplete;
    }
    handlers_.ended(stream_id, how, std::move(ended.incoming));
  }

  void Reset(int32_t stream_id, uint32_t error_code) {
    if (is_closed_ || !streams_.contains(stream_id)) return;
    nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream_id,
                              error_code);
    Flush();
  }

  void OnBytes(std::string_view bytes) {
    last_heard_ = loop_.Now();
    const ssize_t used = nghttp2_session_mem_recv(
        session_, reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size());
    if (used < 0) return connection_.CloseAfterWrite();
    Flush();
  }

  /// Writes nghttp2's output to the TCP connection. A nested call, made from an
  /// nghttp2 callback, returns at once; the outermost call writes its output.
  void Flush() {
    if (is_flushing_ || is_closed_) return;
    is_flushing_ = true;
    const uint8_t* data = nullptr;
    for (ssize_t n = nghttp2_session_mem_send(session_, &data); n > 0;
         n = nghttp2_session_mem_send(session_, &data)) {
      connection_.Write(
          {reinterpret_cast<const char*>(data), static_cast<size_t>(n)});
    }
    is_flushing_ = false;
    const bool finished = nghttp2_session_want_read(session_) == 0 &&
                          nghttp2_session_want_write(session_) == 0;
    if (finished) connection_.CloseAfterWrite();
  }

  void OnClosed() {
    if (is_closed_) return;
    is_closed_ = true;
    std::vector<int32_t> open_ids;
    for (const auto& [id, s] : streams_) open_ids.push_back(id);
    for (const int32_t id : open_ids) EndStream(id, NGHTTP2_INTERNAL_ERROR);
    handlers_.closed();
  }

  event_loop& loop_;
  const hooks handlers_;
  const bool is_server_;
  nghttp2_session* session_ = nullptr;
  std::map<int32_t, open_stream> streams_;
  time_point last_heard_;
  bool is_flushing_ = false;
  bool is_closed_ = false;
  tcp_stream connection_;
};

http2_session::http2_session(std::unique_ptr<impl> implementation)
    : impl_(std::move(implementation)) {}
http2_session::~http2_session() = default;

std::unique_ptr<http2_session> http2_session::Server(event_loop& loop,
                                                     unique_fd connection,
                                                     hooks handlers) {
  return std::unique_ptr<http2_session>(new http2_session(
      std::make_unique<impl>(loop, std::move(connection), std::move(handlers),
                             /*is_server=*/true)));
}

std::unique_ptr<http2_session> http2_session::Client(event_loop& loop,
                                                     unique_fd connection,
                                                     hooks handlers) {
  return std::unique_ptr<http2_session>(new http2_session(
      std::make_unique<impl>(loop, std::move(connection), std::move(handlers),
                             /*is_server=*/false)));
}

int32_t http2_session::Send(const http2_message& request) {
  return impl_->Send(request);
}
void http2_session::Cancel(int32_t stream_id) { impl_->Cancel(stream_id); }
void http2_session::Ping() { impl_->Ping(); }
void http2_session::Respond(int32_t stream_id, const http2_message& response) {
  impl_->Respond(stream_id, response);
}
void http2_session::Refuse(int32_t stream_id) { impl_->Refuse(stream_id); }
void http2_session::BeginShutdown() { impl_->BeginShutdown(); }
time_point http2_session::LastReceivedAt() const {
  return impl_->LastReceivedAt();
}
size_t http2_session::OpenStreams() const { return impl_->OpenStreams(); }

}  // namespace poplarstair
