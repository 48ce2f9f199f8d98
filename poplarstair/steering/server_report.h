// What an instance tells others of one backend server.
#ifndef POPLARSTAIR_STEERING_SERVER_REPORT_H_
#define POPLARSTAIR_STEERING_SERVER_REPORT_H_

#include "poplarstair/steering/segment.h"

namespace poplarstair {

struct server_report {
  flow_cookie server = 0;
  /// Smoothed work in progress.
  double load = 0;
  /// Flows of the instance's own callers that have waited for it in vain; in a
  /// sum over instances, the instances that have such flows.
  uint32_t witnesses = 0;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_STEERING_SERVER_REPORT_H_
