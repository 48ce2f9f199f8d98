// What an instance reports of the backend servers, to other instances and to
// operators.
#ifndef POPLARSTAIR_STEERING_SERVER_REPORTER_H_
#define POPLARSTAIR_STEERING_SERVER_REPORTER_H_

#include <string>
#include <vector>

#include "poplarstair/admission/server_estimates.h"
#include "poplarstair/steering/server_report.h"
#include "poplarstair/steering/server_set.h"

namespace poplarstair {

/// Makes the reports of digests.
class server_reporter {
 public:
  /// Servers with work in progress, or silent, and a few others with samples of
  /// their work time, in turn.
  std::vector<server_report> Reports(time_point now, const server_set& servers,
                                     const server_estimates& estimates);

 private:
  void AddWorkTimes(time_point now, const server_set& servers,
                    const server_estimates& estimates,
                    std::vector<server_report>& reports);

  /// The server whose work time was reported last.
  server_row last_reported_ = 0;
};

/// What an instance believes of a backend server.
struct server_belief {
  backend_server_id id;
  std::string service;
  std::string failure_domain;
  /// Work time of a request, and how many samples of it count.
  work_time_samples work;
  /// Work in progress that this instance sees.
  double load = 0;
  bool is_silent = false;
  bool takes_flows = false;
};

/// At most `most` servers, those with the longest work time first.
std::vector<server_belief> SlowestServers(time_point now,
                                          const server_set& servers,
                                          const server_estimates& estimates,
                                          size_t most);

}  // namespace poplarstair

#endif  // POPLARSTAIR_STEERING_SERVER_REPORTER_H_
