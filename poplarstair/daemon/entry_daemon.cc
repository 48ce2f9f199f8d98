#include "poplarstair/daemon/entry_daemon.h"

#include <csignal>

#include "poplarstair/core/error.h"
#include "poplarstair/core/file.h"
#include "poplarstair/daemon/daemon_log.h"
#include "poplarstair/daemon/digest_task.h"
#include "poplarstair/daemon/entry_http_task.h"
#include "poplarstair/daemon/server_check_task.h"
#include "poplarstair/daemon/steering_task.h"
#include "poplarstair/daemon/store_task.h"
#include "poplarstair/daemon/supervisor.h"

namespace poplarstair {

namespace {

/// The settings file may change without a signal.
constexpr duration kLookInterval = std::chrono::seconds(5);

/// Follows the settings file of a running instance.
class settings_watch {
 public:
  settings_watch(entry_daemon_settings running, std::string file,
                 const platform_facts& platform, entry_mailboxes& board,
                 log_hook log)
      : running_(std::move(running)),
        platform_(platform),
        file_(std::move(file)),
        board_(board),
        log_(std::move(log)) {}

  /// `asked` is set when an operator wants to see the outcome.
  void Look(bool asked) {
    std::string text;
    try {
      text = ReadFile(file_);
      if (text == text_ && !asked) return;
      text_ = text;
      Take(ParseEntryDaemonSettings(text, file_, platform_), asked);
    } catch (const error& failure) {
      log_(log_record("settings_rejected", log_level::kError)
               .With("file", file_)
               .With("kind", failure.Kind())
               .With("error", failure.what()));
    }
  }

 private:
  void Take(const entry_daemon_settings& fresh, bool asked) {
    if (fresh == running_ && !asked) return;
    entry_daemon_settings same_but_seeds = fresh;
    same_but_seeds.seeds = running_.seeds;
    // Matters only while the process starts.
    same_but_seeds.is_first_start = running_.is_first_start;
    const bool needs_restart = !(same_but_seeds == running_);
    if (fresh.seeds != running_.seeds) {
      running_.seeds = fresh.seeds;
      board_.steering.Post(seeds_changed{fresh.seeds});
    }
    log_(log_record("settings_reloaded")
             .With("file", file_)
             .With("outcome", needs_restart ? "needs_restart" : "in_force"));
  }

  entry_daemon_settings running_;
  const platform_facts platform_;
  const std::string file_;
  entry_mailboxes& board_;
  const log_hook log_;
  std::string text_;
};

std::unique_ptr<task> MakeNetworkTasks(event_loop& loop,
                                       const entry_daemon_settings& settings,
                                       const platform_hooks& platform,
                                       entry_mailboxes& board,
                                       const log_hook& log) {
  auto network = std::make_unique<supervisor>(loop, supervisor_settings{}, log);
  network->AddChild("store", [&](event_loop& scope) {
    return std::make_unique<store_task>(scope, settings.store, platform, board);
  });
  network->AddChild("digests", [&](event_loop& scope) {
    return std::make_unique<digest_task>(scope, settings.digests, board);
  });
  network->AddChild("reach", [&](event_loop& scope) {
    return std::make_unique<server_check_task>(scope, board);
  });
  for (const endpoint& local :
       {settings.ready, settings.control, settings.metrics}) {
    network->AddChild("http_" + std::to_string(local.port),
                      [&board, local](event_loop& scope) {
                        return std::make_unique<entry_http_task>(scope, local,
                                                                 board);
                      });
  }
  return network;
}

}  // namespace

void RunEntryDaemon(const entry_daemon_settings& settings,
                    const std::string& file, const platform_hooks& platform) {
  std::signal(SIGPIPE, SIG_IGN);
  event_loop loop;
  daemon_log lines(loop, settings.name, {});
  const log_hook log = lines.Hook();
  log(log_record("starting")
          .With("domain", settings.failure_domain)
          .With("packets", settings.packets.ToString())
          .With("store", settings.store.ToString())
          .With("seeds", settings.seeds.size()));
  entry_mailboxes board;
  supervisor root(loop, {}, log);
  root.AddChild("network", [&](event_loop& scope) {
    return MakeNetworkTasks(scope, settings, platform, board, log);
  });
  // Last, as its first calls need the others.
  entry_daemon_settings next_start = settings;
  root.AddChild("steering", [&](event_loop& scope) {
    auto steering = std::make_unique<steering_task>(scope, next_start, platform,
                                                    board, log);
    // A task that the supervisor starts anew finds others at work.
    next_start.is_first_start = false;
    return steering;
  });
  lines.Flush();

  settings_watch watch(settings, file, platform.facts, board, log);
  timer_watcher look_timer(loop, [&watch] { watch.Look(false); });
  look_timer.StartRepeating(kLookInterval);
  timer_watcher leave_timer(loop, [&loop] { loop.Stop(); });
  bool is_stopping = false;
  const auto begin_stop = [&] {
    if (is_stopping) return;
    is_stopping = true;
    log(log_record("stopping")
            .With("leave_ms", settings.leave_time.count() / 1000));
    lines.Flush();
    board.steering.Post(entry_stop{});
    leave_timer.StartOnce(settings.leave_time);
  };
  signal_watcher on_term(loop, SIGTERM, begin_stop);
  signal_watcher on_interrupt(loop, SIGINT, begin_stop);
  signal_watcher on_hangup(loop, SIGHUP, [&] { watch.Look(true); });
  loop.Run();
  log(log_record("stopped"));
  lines.Flush();
}

}  // namespace poplarstair
