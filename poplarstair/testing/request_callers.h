// Callers that send requests, and ask again when they may.
#ifndef POPLARSTAIR_TESTING_REQUEST_CALLERS_H_
#define POPLARSTAIR_TESTING_REQUEST_CALLERS_H_

#include <functional>
#include <map>

#include "poplarstair/core/random.h"
#include "poplarstair/requests/request.h"
#include "poplarstair/testing/deployment.h"
#include "poplarstair/testing/event_queue.h"

namespace poplarstair {

class request_callers {
 public:
  struct hooks {
    std::function<void(call_id, const request&)> send;
    /// The caller waits no longer.
    std::function<void(call_id)> give_up;
  };

  request_callers(event_queue& queue, const deployment& site, uint64_t seed,
                  hooks actions);

  /// For each service, `rate` requests a second.
  void Start(uint32_t rate);
  /// This share of requests is sent twice at once.
  void DuplicateShare(double share) { duplicates_ = share; }

  void OnAnswer(call_id call, const answer& result);
  /// The connection ended without an answer.
  void OnConnectionLost(call_id call);

 private:
  struct waiting_call {
    request wanted;
    int tries = 0;
  };

  void Begin(service_id service);
  void Send(const request& wanted, int tries);
  void SendAgain(const waiting_call& call);

  event_queue& queue_;
  const deployment& site_;
  random_source random_;
  const hooks hooks_;
  std::map<call_id, waiting_call> waiting_;
  uint64_t last_call_ = 0;
  uint64_t last_request_ = 0;
  double duplicates_ = 0;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_TESTING_REQUEST_CALLERS_H_
