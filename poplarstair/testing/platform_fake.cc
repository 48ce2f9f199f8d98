#include "poplarstair/testing/platform_fake.h"

namespace poplarstair {

namespace {

constexpr duration kCallTimeout = std::chrono::seconds(1);
constexpr duration kWatchLength = std::chrono::seconds(10);

}  // namespace

void platform_fake::Call(const platform_request& request,
                         const std::function<bool()>& is_reachable,
                         const reply_hook& reply) {
  ++calls_;
  queue_.After(one_way_, [this, request, is_reachable, reply] {
    if (is_down_ || !is_reachable()) {
      queue_.After(kCallTimeout, [request, reply] {
        reply({request.id, platform_status::kUnavailable, 0, ""});
      });
      return;
    }
    const auto send_back = [this, is_reachable,
                            reply](const platform_reply& answer) {
      queue_.After(one_way_, [is_reachable, reply, answer] {
        const bool arrives = is_reachable();
        reply(arrives ? answer
                      : platform_reply{answer.id, platform_status::kUnavailable,
                                       0, ""});
      });
    };
    if (request.operation == platform_operation::kWatch) {
      return Wait(request, send_back);
    }
    send_back(Answer(request));
  });
}

platform_reply platform_fake::CallNow(const platform_request& request) {
  ++calls_;
  if (is_down_) return {request.id, platform_status::kUnavailable, 0, ""};
  return Answer(request);
}

void platform_fake::Write(const std::string& key, const std::string& body) {
  objects_[key].push_back(body);
  Notify(key);
}

platform_reply platform_fake::Answer(const platform_request& request) {
  return request.operation == platform_operation::kPut ? Update(request)
                                                       : Read(request);
}

platform_reply platform_fake::Read(const platform_request& request) {
  const auto found = objects_.find(request.key);
  if (found == objects_.end()) {
    return {request.id, platform_status::kNotFound, 0, ""};
  }
  const std::vector<std::string>& versions = found->second;
  const bool is_old = is_old_ && ++old_reads_ % 2 == 1;
  const size_t version =
      is_old && versions.size() > 1 ? versions.size() - 1 : versions.size();
  return {request.id, platform_status::kOk, version, versions[version - 1]};
}

platform_reply platform_fake::Update(const platform_request& request) {
  std::vector<std::string>& versions = objects_[request.key];
  if (versions.size() != request.version) {
    return {request.id, platform_status::kConflict, versions.size(), ""};
  }
  versions.push_back(request.body);
  const object_version version = versions.size();
  Notify(request.key);
  if (answers_to_lose_ > 0 && request.version > 0) {
    --answers_to_lose_;
    return {request.id, platform_status::kUnavailable, 0, ""};
  }
  return {request.id, platform_status::kOk, version, ""};
}

void platform_fake::Wait(const platform_request& request,
                         const reply_hook& reply) {
  const platform_reply current = Read(request);
  if (current.version != request.version) return reply(current);
  const uint64_t ticket = ++last_ticket_;
  watches_.push_back({request.key, request.version, ticket,
                      [reply, id = request.id](const platform_reply& news) {
                        platform_reply own = news;
                        own.id = id;
                        reply(own);
                      }});
  queue_.After(kWatchLength, [this, ticket] {
    watches_.remove_if([&](const waiting_watch& watch) {
      if (watch.ticket != ticket) return false;
      const auto status = is_down_ ? platform_status::kUnavailable
                                   : platform_status::kNotModified;
      watch.reply({0, status, watch.known, ""});
      return true;
    });
  });
}

void platform_fake::Notify(const std::string& key) {
  if (is_down_) return;
  const platform_reply news = Read({0, platform_operation::kGet, key, 0, ""});
  watches_.remove_if([&](const waiting_watch& watch) {
    if (watch.key != key || watch.known == news.version) return false;
    watch.reply(news);
    return true;
  });
}

}  // namespace poplarstair
