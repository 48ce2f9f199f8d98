// The operator's commands.
#ifndef POPLARSTAIR_CTL_CTL_H_
#define POPLARSTAIR_CTL_CTL_H_

#include <string>
#include <vector>

#include "poplarstair/core/endpoint.h"
#include "poplarstair/core/error.h"
#include "poplarstair/core/time.h"

namespace poplarstair {

struct ctl_options {
  std::string site;
  std::string base_file;
  std::string overlay_file;
  std::string platform;
  /// The generation that the files were fetched from; 0 for the first apply.
  uint64_t based_on = 0;
  /// How long `apply` waits for the instances.
  duration wait = std::chrono::seconds(10);
  bool json = false;
  /// The flow that `explain` is asked about.
  std::string caller;
  std::string address;
  bool is_udp = false;
  /// The failed request that `explain` is asked about: its flow or its id, the
  /// instances' logs, when it was asked (as in the logs; empty: at the last
  /// line about it), and how long its caller waited.
  std::string flow;
  std::vector<std::string> log_files;
  std::string asked_at;
  duration waited = std::chrono::seconds(2);
};

/// An option of the command line has a value that can't be read.
class bad_option : public error {
 public:
  bad_option(const std::string& name, const std::string& value)
      : error("bad_option",
              "--" + name + "=\"" + value + "\" is missing or can't be read") {}
};

/// A command needs accepted files and there are none.
class nothing_accepted : public error {
 public:
  explicit nothing_accepted(const std::string& site)
      : error("nothing_accepted",
              "nothing has been accepted for site \"" + site + "\"") {}
};

// Each returns the exit code and throws the errors that it meets.

/// Checks the files without touching anything.
int RunCheck(const ctl_options& options);
/// Publishes the files and waits until every listed instance has them in
/// force; fails when some have not been heard.
int RunApply(const ctl_options& options);
/// Writes the accepted files over the named ones, and prints the generation
/// that an edit of them is to be based on.
int RunFetch(const ctl_options& options);
/// Shows each value with the file and line that it came from.
int RunRender(const ctl_options& options);
/// Shows where the named files differ from the accepted ones.
int RunDiff(const ctl_options& options);
/// Shows the latest accepted edits.
int RunHistory(const ctl_options& options);
/// Shows what the configuration decides about a flow.
int RunExplain(const ctl_options& options);
/// Names the cause of a failed request, with the log lines that show it; fails
/// if they don't.
int RunExplainFailure(const ctl_options& options);
/// Shows which instance has which generation in force.
int RunStatus(const ctl_options& options);

}  // namespace poplarstair

#endif  // POPLARSTAIR_CTL_CTL_H_
