#include "poplarstair/daemon/daemon.h"

#include <csignal>

#include "poplarstair/daemon/admin_task.h"
#include "poplarstair/daemon/attempt_task.h"
#include "poplarstair/daemon/balancer_task.h"
#include "poplarstair/daemon/client_request_task.h"
#include "poplarstair/daemon/daemon_log.h"
#include "poplarstair/daemon/packet_task.h"
#include "poplarstair/daemon/peer_task.h"
#include "poplarstair/daemon/platform_task.h"
#include "poplarstair/daemon/supervisor.h"

namespace poplarstair {

namespace {

/// The wall clock at the start: later starts get higher numbers.
incarnation NewIncarnation() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<incarnation>(
      std::chrono::duration_cast<std::chrono::microseconds>(since_epoch)
          .count());
}

/// The tasks that talk to other instances, servers, clients and the platform.
std::unique_ptr<task> MakeNetworkTasks(event_loop& loop,
                                       const daemon_settings& settings,
                                       incarnation life, task_mailboxes& board,
                                       const log_hook& log) {
  auto network = std::make_unique<supervisor>(loop, supervisor_settings{}, log);
  network->AddChild("platform", [&](event_loop& scope) {
    return std::make_unique<platform_task>(scope, settings.platform, board);
  });
  network->AddChild("peers", [&, life](event_loop& scope) {
    return std::make_unique<peer_task>(scope, settings, life, board, log);
  });
  network->AddChild("attempts", [&](event_loop& scope) {
    return std::make_unique<attempt_task>(scope, board);
  });
  network->AddChild("calls", [&](event_loop& scope) {
    return std::make_unique<client_request_task>(scope, settings.requests,
                                                 board, log);
  });
  network->AddChild("handed_on_packets", [&](event_loop& scope) {
    return std::make_unique<packet_task>(scope, settings.forwarded_packets,
                                         packet_source::kInstance, board, log);
  });
  network->AddChild("fabric_packets", [&](event_loop& scope) {
    return std::make_unique<packet_task>(scope, settings.packets,
                                         packet_source::kFabric, board, log);
  });
  return network;
}

/// Re-reads the settings that may change while the daemon runs.
void Reload(const daemon_settings& running, const std::string& settings_file,
            daemon_log& lines) {
  const log_hook log = lines.Hook();
  try {
    const daemon_settings fresh = ReadDaemonSettings(settings_file);
    if (!SameButForLog(running, fresh)) {
      log(log_record("settings_need_restart", log_level::kWarning)
              .With("file", settings_file));
    }
    lines.Configure(fresh.log);
    log(log_record("settings_reloaded").With("file", settings_file));
  } catch (const error& failure) {
    log(log_record("settings_rejected", log_level::kError)
            .With("kind", failure.Kind())
            .With("error", failure.what()));
  }
}

}  // namespace

void RunDaemon(const daemon_settings& settings,
               const std::string& settings_file) {
  event_loop loop;
  daemon_log lines(loop, settings.name, settings.log);
  const log_hook log = lines.Hook();
  const incarnation life = NewIncarnation();
  task_mailboxes board;
  supervisor root(loop, {}, log);
  root.AddChild("balancer", [&](event_loop& scope) {
    return std::make_unique<balancer_task>(scope, settings, life, board, log);
  });
  root.AddChild("admin", [&](event_loop& scope) {
    return std::make_unique<admin_task>(scope, settings.admin, board);
  });
  root.AddChild("network", [&](event_loop& scope) {
    return MakeNetworkTasks(scope, settings, life, board, log);
  });

  timer_watcher leave_timer(loop, [&loop] { loop.Stop(); });
  timer_watcher stop_limit(loop, [&loop] { loop.Stop(); });
  board.stopped.Bind(loop, [&](stop_order) {
    leave_timer.StartOnce(settings.stop.leave_time);
  });
  const auto begin_stop = [&] {
    log(log_record("stopping"));
    board.balancer.Post(stop_order{});
    board.stop_calls.Post({});
    stop_limit.StartOnce(settings.stop.limit);
  };
  signal_watcher on_term(loop, SIGTERM, begin_stop);
  signal_watcher on_interrupt(loop, SIGINT, begin_stop);
  signal_watcher on_hangup(loop, SIGHUP,
                           [&] { Reload(settings, settings_file, lines); });
  loop.Run();
  log(log_record("stopped"));
}

}  // namespace poplarstair
