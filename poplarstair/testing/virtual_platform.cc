#include "poplarstair/testing/virtual_platform.h"

#include <algorithm>
#include <utility>

namespace poplarstair {

virtual_platform::virtual_platform(event_queue& queue,
                                   const virtual_platform_settings& settings)
    : queue_(queue), settings_(settings) {}

void virtual_platform::Call(failure_domain_id domain,
                            const platform_request& request,
                            const answer_hook& answer) {
  ++calls_;
  const uint64_t id = request.id;
  if (!Hears(domain)) {
    queue_.After(settings_.call_timeout, [id, answer] {
      answer({id, platform_status::kUnavailable, 0, ""});
    });
    return;
  }
  queue_.After(settings_.call_delay / 2, [this, domain, request, answer] {
    if (request.operation == platform_operation::kWatch) {
      return Watch(domain, request, answer);
    }
    const platform_reply reply =
        Hears(domain)
            ? Perform(request)
            : platform_reply{request.id, platform_status::kUnavailable, 0, ""};
    queue_.After(settings_.call_delay / 2, [answer, reply] { answer(reply); });
  });
}

platform_reply virtual_platform::CallNow(const platform_request& request) {
  if (down_) return {request.id, platform_status::kUnavailable, 0, ""};
  return Perform(request);
}

void virtual_platform::SetDown(bool down) {
  down_ = down;
  if (!down) return;
  for (const waiting_watch& watch : std::list(watches_)) {
    queue_.After(settings_.call_timeout, [this, number = watch.number] {
      EndWatch(number, platform_status::kUnavailable);
    });
  }
}

void virtual_platform::SetReadsFrozen(bool frozen) {
  if (frozen) {
    frozen_ = objects_;
  } else {
    frozen_.reset();
  }
}

bool virtual_platform::Hears(failure_domain_id domain) const {
  return !down_ && !cut_.contains(domain);
}

const virtual_platform::stored_object& virtual_platform::Read(
    const std::string& key) const {
  static const stored_object kNone;
  const auto& objects = frozen_ ? *frozen_ : objects_;
  const auto it = objects.find(key);
  return it == objects.end() ? kNone : it->second;
}

platform_reply virtual_platform::Perform(const platform_request& request) {
  if (request.operation == platform_operation::kPut) return Put(request);
  const stored_object& object = Read(request.key);
  if (object.version == 0) {
    return {request.id, platform_status::kNotFound, 0, ""};
  }
  return {request.id, platform_status::kOk, object.version, object.body};
}

platform_reply virtual_platform::Put(const platform_request& request) {
  stored_object& object = objects_[request.key];
  if (request.body.size() > kMaxObjectBytes) {
    return {request.id, platform_status::kUnavailable, 0, ""};
  }
  if (object.version != request.version && !ignores_versions_) {
    return {request.id, platform_status::kConflict, object.version, ""};
  }
  ++object.version;
  object.body = request.body;
  largest_object_ = std::max(largest_object_, object.body.size());
  NotifyWatches(request.key);
  if (answers_to_lose_ > 0 && request.version > 0) {
    --answers_to_lose_;
    return {request.id, platform_status::kUnavailable, 0, ""};
  }
  return {request.id, platform_status::kOk, object.version, ""};
}

void virtual_platform::Watch(failure_domain_id domain,
                             const platform_request& request,
                             const answer_hook& answer) {
  const uint64_t number = ++last_watch_;
  watches_.push_back({number, domain, request, answer});
  const bool answers_now =
      Hears(domain) && Read(request.key).version != request.version;
  if (answers_now) return EndWatch(number, platform_status::kOk);
  queue_.After(settings_.watch_time, [this, number] {
    EndWatch(number, platform_status::kNotModified);
  });
}

void virtual_platform::EndWatch(uint64_t number, platform_status status) {
  const auto it =
      std::find_if(watches_.begin(), watches_.end(),
                   [&](const auto& watch) { return watch.number == number; });
  if (it == watches_.end()) return;
  const waiting_watch watch = std::move(*it);
  watches_.erase(it);
  platform_reply reply{watch.request.id, status, 0, ""};
  if (!Hears(watch.domain)) {
    reply.status = platform_status::kUnavailable;
  } else if (status == platform_status::kOk) {
    reply = Perform(watch.request);
  }
  queue_.After(settings_.call_delay / 2,
               [answer = watch.answer, reply] { answer(reply); });
}

void virtual_platform::NotifyWatches(const std::string& key) {
  if (frozen_) return;
  for (const waiting_watch& watch : std::list(watches_)) {
    if (watch.request.key == key && Hears(watch.domain)) {
      EndWatch(watch.number, platform_status::kOk);
    }
  }
}

}  // namespace poplarstair
