// Event loop and small HTTP/1.1 ends for the stand-ins. POSIX only.
#ifndef REVIEW_STANDIN_NET_HPP_
#define REVIEW_STANDIN_NET_HPP_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <ctime>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace standin {

/// IPv4 address and port in host byte order.
struct address {
  uint32_t ip = 0;
  uint16_t port = 0;
  auto operator<=>(const address&) const = default;

  std::string Text() const {
    const in_addr a{htonl(ip)};
    return std::string(inet_ntoa(a)) + ":" + std::to_string(port);
  }
  sockaddr_in Native() const {
    sockaddr_in s{};
    s.sin_family = AF_INET;
    s.sin_addr.s_addr = htonl(ip);
    s.sin_port = htons(port);
    return s;
  }
};

/// Calls handlers of descriptors and timers; times are seconds.
class event_loop {
 public:
  double Now() const {
    timespec t{};
    clock_gettime(CLOCK_MONOTONIC, &t);
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) / 1e9;
  }
  void Watch(int fd, short events, std::function<void(short)> handler) {
    watched_[fd] = {events, std::move(handler)};
  }
  void Forget(int fd) { watched_.erase(fd); }
  void After(double seconds, std::function<void()> action) {
    timers_.emplace(Now() + seconds, std::move(action));
  }
  void Stop() { is_stopped_ = true; }

  void Run() {
    while (!is_stopped_) {
      while (!timers_.empty() && timers_.begin()->first <= Now()) {
        auto action = std::move(timers_.begin()->second);
        timers_.erase(timers_.begin());
        action();
        if (is_stopped_) return;
      }
      int wait_ms = 50;
      if (!timers_.empty()) {
        const double left = timers_.begin()->first - Now();
        wait_ms = left <= 0 ? 0 : static_cast<int>(left * 1000) + 1;
        if (wait_ms > 50) wait_ms = 50;
      }
      std::vector<pollfd> polled;
      for (const auto& [fd, w] : watched_) polled.push_back({fd, w.events, 0});
      if (poll(polled.data(), polled.size(), wait_ms) <= 0) continue;
      for (const pollfd& p : polled) {
        const auto it = watched_.find(p.fd);
        if (p.revents == 0 || it == watched_.end()) continue;
        const auto handler = it->second.handler;
        handler(p.revents);
      }
    }
  }

 private:
  struct watched {
    short events = 0;
    std::function<void(short)> handler;
  };
  std::map<int, watched> watched_;
  std::multimap<double, std::function<void()>> timers_;
  bool is_stopped_ = false;
};

inline void SetNonblocking(int fd) {
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
}

/// -1 if the address can't be bound.
inline int BindSocket(const address& local, int type) {
  const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const int on = 1;
  if (type == SOCK_STREAM) {
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  }
  const sockaddr_in s = local.Native();
  if (bind(fd, reinterpret_cast<const sockaddr*>(&s), sizeof(s)) != 0 ||
      (type == SOCK_STREAM && listen(fd, 128) != 0)) {
    close(fd);
    return -1;
  }
  SetNonblocking(fd);
  return fd;
}

/// Answers GET requests on kept connections.
class http_server {
 public:
  /// Sends the answer of one request; does nothing once the connection is
  /// gone. An answer that is never sent leaves the connection open and silent.
  using responder = std::function<void(int status, const std::string& body)>;
  using handler =
      std::function<void(const std::string& target, const responder&)>;

  http_server(event_loop& loop, const address& local, handler on_request)
      : loop_(loop), on_request_(std::move(on_request)) {
    listener_ = BindSocket(local, SOCK_STREAM);
    if (listener_ < 0) return;
    loop_.Watch(listener_, POLLIN, [this](short) { AcceptAll(); });
  }
  bool IsOpen() const { return listener_ >= 0; }
  /// Takes no connections any more and closes those that there are.
  void ShutDown() {
    if (listener_ < 0) return;
    loop_.Forget(listener_);
    close(listener_);
    listener_ = -1;
    while (!open_.empty()) Drop(open_.begin()->first);
  }

 private:
  void AcceptAll() {
    for (;;) {
      const int fd =
          accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0) return;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      open_[fd] = {++last_id_, ""};
      loop_.Watch(fd, POLLIN, [this, fd](short) { ReadAll(fd); });
    }
  }
  void Drop(int fd) {
    loop_.Forget(fd);
    open_.erase(fd);
    close(fd);
  }
  void ReadAll(int fd) {
    char buffer[4096];
    const ssize_t n = read(fd, buffer, sizeof(buffer));
    if (n == 0 || (n < 0 && errno != EAGAIN)) return Drop(fd);
    if (n < 0) return;
    std::string& input = open_[fd].second;
    input.append(buffer, static_cast<size_t>(n));
    size_t end = 0;
    while ((end = input.find("\r\n\r\n")) != std::string::npos) {
      const std::string head = input.substr(0, end);
      input.erase(0, end + 4);
      const size_t first = head.find(' ');
      const size_t second = head.find(' ', first + 1);
      const uint64_t id = open_[fd].first;
      on_request_(head.substr(first + 1, second - first - 1),
                  [this, fd, id](int status, const std::string& body) {
                    Respond(fd, id, status, body);
                  });
      if (!open_.contains(fd)) return;
    }
  }
  void Respond(int fd, uint64_t id, int status, const std::string& body) {
    const auto it = open_.find(fd);
    if (it == open_.end() || it->second.first != id) return;
    const std::string text =
        "HTTP/1.1 " + std::to_string(status) +
        " -\r\ncontent-type: application/json\r\ncontent-length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body;
    // Answers are far smaller than a socket's buffer.
    if (write(fd, text.data(), text.size()) < 0) Drop(fd);
  }

  event_loop& loop_;
  const handler on_request_;
  int listener_ = -1;
  uint64_t last_id_ = 0;
  std::map<int, std::pair<uint64_t, std::string>> open_;
};

/// One GET on a connection of its own; `on_status` gets 0 without an answer.
inline void HttpGet(event_loop& loop, const address& remote,
                    const std::string& target, double timeout,
                    std::function<void(int status)> on_status) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in s = remote.Native();
  connect(fd, reinterpret_cast<const sockaddr*>(&s), sizeof(s));
  struct state {
    bool is_sent = false;
    bool is_done = false;
    std::string input;
  };
  auto shared = std::make_shared<state>();
  auto finish = [&loop, fd, shared, on_status](int status) {
    if (shared->is_done) return;
    shared->is_done = true;
    loop.Forget(fd);
    close(fd);
    on_status(status);
  };
  loop.Watch(fd, POLLIN | POLLOUT,
             [&loop, fd, shared, finish, target](short events) {
               if (!shared->is_sent && (events & POLLOUT) != 0) {
                 shared->is_sent = true;
                 const std::string text =
                     "GET " + target + " HTTP/1.1\r\nhost: x\r\n\r\n";
                 if (write(fd, text.data(), text.size()) < 0) return finish(0);
                 const short only_in = POLLIN;
                 auto again = [fd, shared, finish](short) {
                   char buffer[2048];
                   const ssize_t n = read(fd, buffer, sizeof(buffer));
                   if (n < 0 && errno == EAGAIN) return;
                   if (n <= 0) return finish(0);
                   shared->input.append(buffer, static_cast<size_t>(n));
                   if (shared->input.find("\r\n\r\n") == std::string::npos) {
                     return;
                   }
                   finish(std::atoi(shared->input.c_str() + 9));
                 };
                 loop.Watch(fd, only_in, again);
                 return;
               }
               if ((events & (POLLERR | POLLHUP)) != 0) finish(0);
             });
  loop.After(timeout, [finish] { finish(0); });
}

}  // namespace standin

#endif  // REVIEW_STANDIN_NET_HPP_
