// The platform's metadata store, as far as the instances call it: lists and
// watches of objects (PROTOCOL.md, "The platform's metadata store").
#ifndef REVIEW_STANDINS_2_STORE_HPP_
#define REVIEW_STANDINS_2_STORE_HPP_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "packet.hpp"

namespace review {

class store {
 public:
  /// Serves at each of the addresses.
  store(event_loop& loop, const std::vector<address>& locals) : loop_(loop) {
    for (const address& local : locals) {
      const int listener = BindSocket(local, SOCK_STREAM);
      if (listener < 0) CannotRun("bind store " + Text(local));
      loop_.OnReadable(listener,
                       [this, listener, local] { Accept(listener, local); });
    }
  }

  /// Writes an object; false if the store is down.
  bool Put(const std::string& kind, const std::string& name,
           const std::string& spec) {
    if (is_down_) return false;
    object& o = objects_[kind][name];
    if (o.revision != 0 && o.spec == spec) return true;
    o.revision = ++revision_;
    if (o.created == 0) o.created = o.revision;
    o.spec = spec;
    Note(kind, name, o, false);
    return true;
  }
  bool Delete(const std::string& kind, const std::string& name) {
    if (is_down_) return false;
    const auto it = objects_[kind].find(name);
    if (it == objects_[kind].end()) return true;
    object o = it->second;
    objects_[kind].erase(it);
    o.revision = ++revision_;
    Note(kind, name, o, true);
    return true;
  }

  /// While down it answers nothing; channels with an unanswered call stay
  /// silent for good.
  void SetDown(bool is_down) {
    is_down_ = is_down;
    if (!is_down) return;
    for (auto& [fd, c] : channels_) {
      if (c->is_waiting) c->is_silent = true;
    }
  }
  /// The open channels to `local` whose last call was a watch of `kind` go
  /// silent for good. Returns their number.
  size_t SilenceWatches(const std::string& kind, const address& local) {
    size_t count = 0;
    for (auto& [fd, c] : channels_) {
      if (!c->is_waiting || c->kind != kind || c->local != local) continue;
      c->is_silent = true;
      ++count;
    }
    return count;
  }

 private:
  struct object {
    uint64_t revision = 0;
    uint64_t created = 0;
    std::string spec;
  };
  struct event {
    uint64_t revision = 0;
    std::string kind;
    std::string text;
  };
  struct channel {
    int fd = -1;
    address local;
    std::string received;
    bool is_waiting = false;
    bool is_silent = false;
    std::string kind;
    uint64_t since = 0;
    uint64_t timer = 0;
  };

  static std::string ObjectText(const std::string& name, const object& o) {
    return "{\"meta\":{\"name\":\"" + name +
           "\",\"revision\":" + std::to_string(o.revision) +
           ",\"created_rev\":" + std::to_string(o.created) +
           ",\"finalizers\":[],\"deletion_pending\":false},\"spec\":" + o.spec +
           ",\"status\":null}";
  }

  void Note(const std::string& kind, const std::string& name, const object& o,
            bool is_deleted) {
    events_.push_back({o.revision, kind,
                       std::string("{\"deleted\":") +
                           (is_deleted ? "true" : "false") +
                           ",\"object\":" + ObjectText(name, o) + "}"});
    std::vector<int> waiting;
    for (const auto& [fd, c] : channels_) {
      if (c->is_waiting && !c->is_silent && c->kind == kind) {
        waiting.push_back(fd);
      }
    }
    for (const int fd : waiting) AnswerWatch(*channels_.at(fd));
  }

  void Accept(int listener, const address& local) {
    for (;;) {
      const int fd =
          accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0) return;
      auto c = std::make_unique<channel>();
      c->fd = fd;
      c->local = local;
      channels_[fd] = std::move(c);
      loop_.OnReadable(fd, [this, fd] { Read(fd); });
    }
  }

  void Read(int fd) {
    channel& c = *channels_.at(fd);
    char buffer[4096];
    for (;;) {
      const ssize_t got = read(fd, buffer, sizeof(buffer));
      if (got < 0 && errno == EAGAIN) break;
      if (got <= 0) return CloseChannel(fd);
      c.received.append(buffer, static_cast<size_t>(got));
    }
    const size_t end = c.received.find("\r\n\r\n");
    if (end == std::string::npos) return;
    const std::string line = c.received.substr(0, c.received.find("\r\n"));
    c.received.erase(0, end + 4);
    Handle(c, line);
  }

  void CloseChannel(int fd) {
    loop_.Cancel(channels_.at(fd)->timer);
    loop_.Forget(fd);
    close(fd);
    channels_.erase(fd);
  }

  static std::string QueryValue(const std::string& target,
                                const std::string& name) {
    const size_t question = target.find('?');
    if (question == std::string::npos) return "";
    const std::string query = "&" + target.substr(question + 1) + "&";
    const size_t at = query.find("&" + name + "=");
    if (at == std::string::npos) return "";
    const size_t begin = at + name.size() + 2;
    return query.substr(begin, query.find('&', begin) - begin);
  }

  void Handle(channel& c, const std::string& line) {
    if (is_down_) c.is_silent = true;
    if (c.is_silent) return;
    const size_t begin = line.find(' ') + 1;
    const std::string target =
        line.substr(begin, line.find(' ', begin) - begin);
    const std::string prefix = "/objects/";
    if (line.rfind("GET " + prefix, 0) != 0) return Answer(c, 404, "{}");
    c.kind =
        target.substr(prefix.size(), target.find('?') == std::string::npos
                                         ? std::string::npos
                                         : target.find('?') - prefix.size());
    const std::string watch = QueryValue(target, "watch");
    if (watch.empty()) return AnswerList(c, QueryValue(target, "after"));
    c.since = std::stoull(watch);
    const std::string wait = QueryValue(target, "wait_ms");
    c.is_waiting = true;
    for (const event& e : events_) {
      if (e.kind == c.kind && e.revision > c.since) return AnswerWatch(c);
    }
    c.timer =
        loop_.After(wait.empty() ? 0 : std::stod(wait),
                    [this, fd = c.fd] { AnswerWatch(*channels_.at(fd)); });
  }

  void AnswerWatch(channel& c) {
    loop_.Cancel(c.timer);
    if (is_down_) c.is_silent = true;
    if (c.is_silent) return;
    c.is_waiting = false;
    std::string body;
    for (const event& e : events_) {
      if (e.kind != c.kind || e.revision <= c.since) continue;
      body += (body.empty() ? "" : ",") + e.text;
    }
    Answer(c, 200,
           "{\"events\":[" + body +
               "],\"at_rev\":" + std::to_string(revision_) + "}");
  }

  void AnswerList(channel& c, const std::string& after) {
    std::string body;
    for (const auto& [name, o] : objects_[c.kind]) {
      if (!after.empty() && name <= after) continue;
      body += (body.empty() ? "" : ",") + ObjectText(name, o);
    }
    Answer(c, 200,
           "{\"items\":[" + body + "],\"has_more\":false,\"at_rev\":" +
               std::to_string(revision_) + "}");
  }

  /// As the platform's store, 4 ms an answer.
  void Answer(channel& c, int status, const std::string& body) {
    const std::string text = "HTTP/1.1 " + std::to_string(status) +
                             " OK\r\ncontent-type: application/json\r\n"
                             "content-length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body;
    c.timer = loop_.After(4, [this, fd = c.fd, text] {
      const auto it = channels_.find(fd);
      if (it == channels_.end() || it->second->is_silent) return;
      if (write(fd, text.data(), text.size()) < 0) it->second->is_silent = true;
    });
  }

  event_loop& loop_;
  bool is_down_ = false;
  /// Revisions start above 0.
  uint64_t revision_ = 100;
  std::map<std::string, std::map<std::string, object>> objects_;
  std::vector<event> events_;
  std::map<int, std::unique_ptr<channel>> channels_;
};

}  // namespace review

#endif  // REVIEW_STANDINS_2_STORE_HPP_
