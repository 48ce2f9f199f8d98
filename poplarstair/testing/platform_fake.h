// The platform's object API in virtual time; goes wrong as told.
#ifndef POPLARSTAIR_TESTING_PLATFORM_FAKE_H_
#define POPLARSTAIR_TESTING_PLATFORM_FAKE_H_

#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

#include "poplarstair/object_store/platform_message.h"
#include "poplarstair/testing/event_queue.h"

namespace poplarstair {

class platform_fake {
 public:
  using reply_hook = std::function<void(const platform_reply&)>;

  explicit platform_fake(event_queue& queue) : queue_(queue) {}

  /// An instance's call; `is_reachable` is asked when it would arrive.
  void Call(const platform_request& request,
            const std::function<bool()>& is_reachable, const reply_hook& reply);
  /// An operator's call, answered at once.
  platform_reply CallNow(const platform_request& request);
  /// The platform's own objects.
  void Write(const std::string& key, const std::string& body);

  // Faults.
  void SetDown(bool is_down) { is_down_ = is_down; }
  /// Every other read gives the object's second-newest version.
  void SetOld(bool is_old) { is_old_ = is_old; }
  /// The next `count` updates of existing objects get no answer, though they
  /// take effect.
  void LoseAnswers(uint64_t count) { answers_to_lose_ = count; }
  void SetDelay(duration one_way) { one_way_ = one_way; }

  uint64_t Calls() const { return calls_; }

 private:
  struct waiting_watch {
    std::string key;
    object_version known = 0;
    uint64_t ticket = 0;
    reply_hook reply;
  };

  platform_reply Answer(const platform_request& request);
  platform_reply Read(const platform_request& request);
  platform_reply Update(const platform_request& request);
  void Wait(const platform_request& request, const reply_hook& reply);
  void Notify(const std::string& key);

  event_queue& queue_;
  /// Every version's body, from version 1.
  std::map<std::string, std::vector<std::string>> objects_;
  std::list<waiting_watch> watches_;
  uint64_t last_ticket_ = 0;
  duration one_way_ = std::chrono::milliseconds(2);
  bool is_down_ = false;
  bool is_old_ = false;
  uint64_t old_reads_ = 0;
  uint64_t answers_to_lose_ = 0;
  uint64_t calls_ = 0;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_TESTING_PLATFORM_FAKE_H_
