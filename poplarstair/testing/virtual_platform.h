// A stand-in for the platform's object API in virtual time.
#ifndef POPLARSTAIR_TESTING_VIRTUAL_PLATFORM_H_
#define POPLARSTAIR_TESTING_VIRTUAL_PLATFORM_H_

#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "poplarstair/core/ids.h"
#include "poplarstair/object_store/platform_message.h"
#include "poplarstair/testing/event_queue.h"

namespace poplarstair {

struct virtual_platform_settings {
  /// From a call to its answer.
  duration call_delay = std::chrono::milliseconds(4);
  /// After this a caller gives a call up.
  duration call_timeout = std::chrono::seconds(3);
  duration watch_time = std::chrono::seconds(20);
};

/// Objects with versions, conditional updates and watches; counts each call.
class virtual_platform {
 public:
  using answer_hook = std::function<void(const platform_reply&)>;

  virtual_platform(event_queue& queue,
                   const virtual_platform_settings& settings);

  /// A call from an instance of `domain`.
  void Call(failure_domain_id domain, const platform_request& request,
            const answer_hook& answer);
  /// A call of the operator's tool; answered at once.
  platform_reply CallNow(const platform_request& request);

  // Faults.
  /// While it is down nothing is answered and nothing takes effect.
  void SetDown(bool down);
  /// Calls from `domain` are not answered until Heal.
  void Cut(failure_domain_id domain) { cut_.insert(domain); }
  void Heal() { cut_.clear(); }
  /// Answers to the next `count` updates of the head are lost.
  void LoseAnswers(uint64_t count) { answers_to_lose_ = count; }
  /// Planted fault: updates take effect whatever version they are against.
  void IgnoreVersions() { ignores_versions_ = true; }
  /// While frozen, reads answer with what is stored at this moment.
  void SetReadsFrozen(bool frozen);

  /// Instances' calls so far, a waiting watch as one.
  uint64_t Calls() const { return calls_; }
  /// The largest object that was ever stored, in bytes.
  size_t LargestObject() const { return largest_object_; }

 private:
  struct stored_object {
    object_version version = 0;
    std::string body;
  };
  struct waiting_watch {
    uint64_t number = 0;
    failure_domain_id domain;
    platform_request request;
    answer_hook answer;
  };

  bool Hears(failure_domain_id domain) const;
  const stored_object& Read(const std::string& key) const;
  platform_reply Perform(const platform_request& request);
  platform_reply Put(const platform_request& request);
  void Watch(failure_domain_id domain, const platform_request& request,
             const answer_hook& answer);
  void EndWatch(uint64_t number, platform_status status);
  void NotifyWatches(const std::string& key);

  event_queue& queue_;
  const virtual_platform_settings settings_;
  std::map<std::string, stored_object> objects_;
  std::optional<std::map<std::string, stored_object>> frozen_;
  std::list<waiting_watch> watches_;
  std::set<failure_domain_id> cut_;
  bool down_ = false;
  bool ignores_versions_ = false;
  uint64_t answers_to_lose_ = 0;
  uint64_t calls_ = 0;
  uint64_t last_watch_ = 0;
  size_t largest_object_ = 0;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_TESTING_VIRTUAL_PLATFORM_H_
