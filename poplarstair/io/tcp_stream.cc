#include "poplarstair/io/tcp_stream.h"

#include <sys/socket.h>

#include <array>
#include <cerrno>

namespace poplarstair {

namespace {

constexpr size_t kReadBytes = 64 << 10;

bool WouldBlock() { return errno == EAGAIN || errno == EINTR; }

}  // namespace

class tcp_stream::impl {
 public:
  impl(event_loop& loop, unique_fd connection, hooks handlers)
      : connection_(std::move(connection)),
        handlers_(std::move(handlers)),
        watcher_(loop, connection_.Get(),
                 [this](io_watcher::readiness ready) { OnReady(ready); }) {
    // The socket becomes writable when the connection attempt has succeeded or
    // failed.
    watcher_.WaitFor({true, true});
  }

  void Write(std::string_view bytes) {
    if (is_closed_) return;
    output_.append(bytes);
    watcher_.WaitFor({true, true});
  }

  size_t UnsentBytes() const { return output_.size() - sent_; }
  uint64_t SentBytes() const { return total_sent_; }

  void CloseAfterWrite() {
    closing_ = true;
    if (UnsentBytes() == 0) Close();
  }

 private:
  void OnReady(io_watcher::readiness ready) {
    if (ready.writable) Flush();
    if (ready.readable && !is_closed_) Read();
  }

  void Flush() {
    while (UnsentBytes() > 0) {
      const ssize_t n = send(connection_.Get(), output_.data() + sent_,
                             UnsentBytes(), MSG_NOSIGNAL);
      if (n < 0) {
        if (WouldBlock()) return;
        return Close();
      }
      sent_ += static_cast<size_t>(n);
      total_sent_ += static_cast<uint64_t>(n);
    }
    output_.clear();
    sent_ = 0;
    if (closing_) return Close();
    watcher_.WaitFor({true, false});
  }

  void Read() {
    std::array<char, kReadBytes> buffer;
    const ssize_t n = recv(connection_.Get(), buffer.data(), buffer.size(), 0);
    if (n < 0 && WouldBlock()) return;
    if (n <= 0) return Close();
    handlers_.received(std::string_view(buffer.data(), static_cast<size_t>(n)));
  }

  void Close() {
    if (is_closed_) return;
    is_closed_ = true;
    watcher_.WaitFor({false, false});
    handlers_.closed();
  }

  unique_fd connection_;
  hooks handlers_;
  io_watcher watcher_;
  std::string output_;
  size_t sent_ = 0;
  uint64_t total_sent_ = 0;
  bool closing_ = false;
  bool is_closed_ = false;
};

tcp_stream::tcp_stream(event_loop& loop, unique_fd connection, hooks handlers)
    : impl_(std::make_unique<impl>(loop, std::move(connection),
                                   std::move(handlers))) {}
tcp_stream::~tcp_stream() = default;
void tcp_stream::Write(std::string_view bytes) { impl_->Write(bytes); }
size_t tcp_stream::UnsentBytes() const { return impl_->UnsentBytes(); }
uint64_t tcp_stream::SentBytes() const { return impl_->SentBytes(); }
void tcp_stream::CloseAfterWrite() { impl_->CloseAfterWrite(); }

}  // namespace poplarstair
