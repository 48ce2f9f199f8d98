#include "poplarstair/emulator/platform_emulator.h"

#include <charconv>
#include <list>
#include <map>

#include "poplarstair/io/http_server.h"
#include "poplarstair/object_store/platform_http.h"

namespace poplarstair {

namespace {

struct stored_object {
  object_version version = 0;
  std::string body;
};

struct waiting_watch {
  std::string key;
  object_version known = 0;
  time_point answer_at;
  http_responder respond;
};

constexpr duration kWatchCheckInterval = std::chrono::milliseconds(50);

uint64_t ToNumber(std::string_view text) {
  if (!text.empty() && text.front() == '"') text.remove_prefix(1);
  uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

std::string QueryParameter(const http_request& request,
                           const std::string& name) {
  const auto it = request.query.find(name);
  return it == request.query.end() ? "" : it->second;
}

http_response VersionedResponse(int status, const stored_object& object,
                                const std::string& body) {
  return {
      status, {{"etag", "\"" + std::to_string(object.version) + "\""}}, body};
}

}  // namespace

class platform_emulator::impl {
 public:
  impl(event_loop& loop, const endpoint& local)
      : loop_(loop),
        watch_timer_(loop, [this] { EndOldWatches(); }),
        server_(
            loop, local,
            [this](const http_request& request, const http_responder& respond) {
              Handle(request, respond);
            }) {
    watch_timer_.StartRepeating(kWatchCheckInterval);
  }

  endpoint Local() const { return server_.Local(); }

 private:
  void Handle(const http_request& request, const http_responder& respond) {
    if (request.path.starts_with("/control/")) {
      return respond(Control(request));
    }
    ++calls_;
    // During an outage, calls get no answer and have no effect.
    if (loop_.Now() < outage_until_) return;
    if (!request.path.starts_with(kObjectPath)) return respond({404, {}, ""});
    const std::string key = request.path.substr(kObjectPath.size());
    if (request.method == "PUT") return Put(key, request, respond);
    if (request.method == "GET") return Get(key, request, respond);
    respond({405, {}, ""});
  }

  http_response Control(const http_request& request) {
    if (request.path == "/control/outage") {
      const auto length =
          std::chrono::milliseconds(ToNumber(QueryParameter(request, "ms")));
      outage_until_ = loop_.Now() + length;
      return {200, {}, "ok\n"};
    }
    if (request.path == "/control/lose_answers") {
      answers_to_lose_ = ToNumber(QueryParameter(request, "count"));
      return {200, {}, "ok\n"};
    }
    if (request.path == "/control/calls") {
      return {200, {}, std::to_string(calls_) + "\n"};
    }
    return {404, {}, "known: outage, lose_answers, calls\n"};
  }

  void Get(const std::string& key, const http_request& request,
           const http_responder& respond) {
    const stored_object& object = objects_[key];
    const std::string watch = QueryParameter(request, "watch");
    if (!watch.empty() && ToNumber(watch) == object.version) {
      const auto wait =
          std::chrono::seconds(ToNumber(QueryParameter(request, "wait")));
      watches_.push_back({key, object.version, loop_.Now() + wait, respond});
      return;
    }
    if (object.version == 0) return respond({404, {}, ""});
    respond(VersionedResponse(200, object, object.body));
  }

  void Put(const std::string& key, const http_request& request,
           const http_responder& respond) {
    stored_object& object = objects_[key];
    const auto if_match = request.headers.find("if-match");
    const bool must_be_new = request.headers.contains("if-none-match");
    const bool matches = must_be_new
                             ? object.version == 0
                             : if_match == request.headers.end() ||
                                   ToNumber(if_match->second) == object.version;
    if (request.body.size() > kMaxObjectBytes) return respond({413, {}, ""});
    if (!matches) return respond(VersionedResponse(412, object, ""));
    ++object.version;
    object.body = request.body;
    NotifyWatches(key, object);
    if (answers_to_lose_ > 0) {
      --answers_to_lose_;
      return;
    }
    respond(VersionedResponse(200, object, ""));
  }

  void NotifyWatches(const std::string& key, const stored_object& object) {
    watches_.remove_if([&](const waiting_watch& watch) {
      if (watch.key != key) return false;
      watch.respond(VersionedResponse(200, object, object.body));
      return true;
    });
  }

  void EndOldWatches() {
    const time_point now = loop_.Now();
    watches_.remove_if([&](const waiting_watch& watch) {
      if (watch.answer_at > now) return false;
      watch.respond(VersionedResponse(304, objects_[watch.key], ""));
      return true;
    });
  }

  event_loop& loop_;
  std::map<std::string, stored_object> objects_;
  std::list<waiting_watch> watches_;
  timer_watcher watch_timer_;
  time_point outage_until_{};
  uint64_t answers_to_lose_ = 0;
  uint64_t calls_ = 0;
  http_server server_;
};

platform_emulator::platform_emulator(event_loop& loop, const endpoint& local)
    : impl_(std::make_unique<impl>(loop, local)) {}
platform_emulator::~platform_emulator() = default;
endpoint platform_emulator::Local() const { return impl_->Local(); }

}  // namespace poplarstair
