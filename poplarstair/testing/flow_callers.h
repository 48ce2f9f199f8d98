// Callers that hold feeds and send uploads.
#ifndef POPLARSTAIR_TESTING_FLOW_CALLERS_H_
#define POPLARSTAIR_TESTING_FLOW_CALLERS_H_

#include <functional>
#include <map>

#include "poplarstair/core/flow_key.h"
#include "poplarstair/core/random.h"
#include "poplarstair/testing/deployment.h"
#include "poplarstair/testing/event_queue.h"
#include "poplarstair/testing/history.h"

namespace poplarstair {

/// A packet with what the fakes know of it and an instance does not.
struct flow_packet {
  uint64_t flow = 0;
  service_id service;
  packet_info info;
};

enum class packet_answer : uint8_t { kOpened, kTaken, kReset };

class flow_callers {
 public:
  struct hooks {
    std::function<void(const flow_packet&)> send;
    std::function<void(history_event)> record;
  };

  flow_callers(event_queue& queue, const deployment& site, uint64_t seed,
               hooks actions);

  /// For each service: `feeds` that stay open and `uploads` a second.
  void Start(uint32_t feeds, uint32_t uploads);
  /// A backend server's answer to a packet of `flow`.
  void OnAnswer(uint64_t flow, backend_server_id server, packet_answer kind);

 private:
  struct caller_flow {
    flow_packet packet;
    bool is_feed = true;
    bool is_open = false;
    backend_server_id server;
    time_point closes = kNever;
    time_point heard;
  };

  void Open(service_id service, bool is_feed);
  void SendNext(uint64_t flow);
  void Break(uint64_t flow);

  event_queue& queue_;
  const deployment& site_;
  random_source random_;
  const hooks hooks_;
  std::map<uint64_t, caller_flow> flows_;
  uint64_t last_flow_ = 0;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_TESTING_FLOW_CALLERS_H_
