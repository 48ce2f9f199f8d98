// Fetches the parts of one generation's files from peers or the platform.
#ifndef POPLARSTAIR_CONFIG_PART_FETCHER_H_
#define POPLARSTAIR_CONFIG_PART_FETCHER_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "poplarstair/config/content_tree.h"
#include "poplarstair/core/ids.h"
#include "poplarstair/core/random.h"
#include "poplarstair/core/time.h"

namespace poplarstair {

/// A generation, with the names of the content of its files.
struct config_roots {
  generation number = 0;
  std::string base;
  std::string overlay;
};

/// Requests missing parts from random sources until all parts are present.
class part_fetcher {
 public:
  /// The source id that stands for the platform.
  static constexpr instance_id kPlatform{};
  /// Requests parts from `source`, which may never reply.
  using ask_hook =
      std::function<void(instance_id source, const std::vector<std::string>&)>;

  part_fetcher(duration timeout, ask_hook ask)
      : timeout_(timeout), ask_(std::move(ask)) {}

  /// Begins to fetch `target` in place of the previous target. Requests under
  /// way stay valid, because targets may share parts.
  void Begin(const config_roots& target);
  void Stop();
  bool IsActive() const { return target_.number > 0; }
  const config_roots& Target() const { return target_; }

  /// Adds `id`, which has the target's content, as a source.
  void AddSource(instance_id id);
  /// Records that a part has arrived. Returns true if it had been requested.
  bool OnPart(const std::string& hash);
  /// Requests missing parts. Returns true if `parts` has all of the target.
  bool Continue(time_point now, const part_map& parts, random_source& random);

 private:
  struct source {
    instance_id id;
    /// Number of successive requests that the source left unanswered.
    int late = 0;
  };

  source* FindSource(instance_id id);
  void DropLate(time_point now);

  const duration timeout_;
  const ask_hook ask_;
  config_roots target_;
  std::vector<source> sources_;
  struct asked {
    instance_id source;
    time_point give_up_at;
  };
  std::map<std::string, asked> in_flight_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_CONFIG_PART_FETCHER_H_
