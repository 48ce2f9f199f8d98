// What an instance tells others of one backend server.
#ifndef POPLARSTAIR_STEERING_SERVER_REPORT_H_
#define POPLARSTAIR_STEERING_SERVER_REPORT_H_

#include "poplarstair/admission/work_time.h"
#include "poplarstair/core/ids.h"
#include "poplarstair/steering/segment.h"

namespace poplarstair {

/// What one instance observed of a backend server; sent to other instances.
struct server_report {
  backend_server_id server;
  /// Smoothed number of requests in progress.
  double load = 0;
  /// Number of flows of the instance's own clients that the server has left
  /// unanswered; in a sum over instances, the number of instances that have
  /// such flows.
  uint32_t witnesses = 0;
  /// Work time of requests of the instance's own clients.
  work_time_samples work = {};
  /// Names the server at instances of earlier versions, and from these.
  flow_cookie cookie = 0;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_STEERING_SERVER_REPORT_H_
