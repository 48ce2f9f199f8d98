#include "poplarstair/daemon/steering_task.h"

#include <array>
#include <ctime>
#include <random>

#include "poplarstair/core/error.h"
#include "poplarstair/io/socket.h"
#include "poplarstair/steering/entry_instance.h"

namespace poplarstair {

namespace {

/// Difference between the clocks with and without the time that the machine
/// was suspended; it grows with each suspension.
duration SuspendedTime() {
  const auto read = [](clockid_t clock) {
    timespec t{};
    clock_gettime(clock, &t);
    return std::chrono::seconds(t.tv_sec) + std::chrono::nanoseconds(t.tv_nsec);
  };
  return std::chrono::duration_cast<duration>(read(CLOCK_BOOTTIME) -
                                              read(CLOCK_MONOTONIC));
}

/// A shorter gap is lateness, which steering takes note of by itself.
constexpr duration kPauseLimit = std::chrono::milliseconds(1000);
/// Reading the two clocks one after the other differs by far less.
constexpr duration kSuspensionLimit = std::chrono::milliseconds(200);
/// Handshakes and steps of the start that are due sooner are done together.
constexpr duration kLeastTimer = std::chrono::milliseconds(5);
/// Batches that one turn of the loop handles, so that timers are not starved.
constexpr int kBatchesPerTurn = 4;

entry_settings SettingsOf(const entry_daemon_settings& file) {
  entry_settings settings;
  settings.steering.failure_domain = file.failure_domain;
  settings.steering.promises = file.promises;
  settings.steering.admission = file.admission;
  settings.steering.estimates.longest_test = file.silent_entry_time;
  settings.peers.self = file.control;
  settings.peers.failure_domain = file.failure_domain;
  settings.peers.seeds = file.seeds;
  settings.replica.silent_entry_time = file.silent_entry_time;
  settings.start.is_first_start = file.is_first_start;
  return settings;
}

incarnation NewLife() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<incarnation>(
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
          .count());
}

}  // namespace

class steering_task::impl {
 public:
  impl(event_loop& loop, const entry_daemon_settings& settings,
       const platform_hooks& platform, entry_mailboxes& board, log_hook log)
      : loop_(loop),
        platform_(platform),
        board_(board),
        malformed_(metrics_.Counter("packets_malformed",
                                    "Datagrams that are no packet")),
        unsent_(metrics_.Counter("packets_unsent",
                                 "Datagrams that the kernel did not take")),
        instance_(SettingsOf(settings), NewLife(),
                  random_source(std::random_device{}()), metrics_,
                  Hooks(std::move(log))),
        socket_(BindUdp(settings.packets)),
        watcher_(loop, socket_.Get(),
                 [this](io_watcher::readiness) { OnReadable(); }),
        caller_port_(settings.packets.port),
        ticker_(loop, [this] { OnTick(); }),
        timer_(loop, [this] { OnTimer(); }) {
    board_.steering.Bind(
        loop, [this](steering_message message) { OnMessage(message); });
    watcher_.WaitFor({true, false});
    suspended_ = SuspendedTime();
    last_tick_ = loop_.Now();
    instance_.Start(last_tick_);
    ArmTimer(last_tick_);
    ticker_.StartRepeating(entry_instance::kTickInterval);
  }

  ~impl() { board_.steering.Unbind(); }

  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

 private:
  entry_instance::hooks Hooks(log_hook log) {
    entry_instance::hooks hooks;
    hooks.log = std::move(log);
    hooks.call_store = [this](store_request request) {
      board_.store.Post(std::move(request));
    };
    hooks.send_digest = [this](std::vector<endpoint> peers, std::string bytes) {
      board_.digests.Post({std::move(peers), std::move(bytes)});
    };
    hooks.fetch = [this](const endpoint& peer, collection what,
                         store_position since) {
      board_.fetches.Post({peer, what, since});
    };
    hooks.send_again = [this](std::span<const uint8_t> packet,
                              const steer_decision& decision) {
      AddForward(packet, decision);
    };
    hooks.reset = [this](const segment& packet) { AddReset(packet); };
    hooks.check_server = [this](server_row server, const endpoint& address) {
      board_.checks.Post({server, address});
    };
    return hooks;
  }

  void OnReadable() {
    for (int i = 0; i < kBatchesPerTurn; ++i) {
      const std::span<const datagram> received = batch_.Receive(socket_);
      if (received.empty()) return;
      const time_point now = loop_.Now();
      for (const datagram& d : received) OnPacket(now, d.bytes);
      SendOut();
      ArmTimer(now);
      // The rest, if any, wakes the loop again: a call less for each packet.
      if (received.size() < udp_batch::kMaxDatagrams) return;
    }
  }

  void ArmTimer(time_point now) {
    const time_point due = instance_.NextTimer();
    if (due >= armed_for_) return;
    armed_for_ = due;
    timer_.StartOnce(std::max(due - now, kLeastTimer));
  }

  void OnTimer() {
    armed_for_ = kNever;
    const time_point now = loop_.Now();
    instance_.OnTimer(now);
    SendOut();
    ArmTimer(now);
  }

  void OnPacket(time_point now, std::span<const uint8_t> bytes) {
    const std::optional<segment> packet = platform_.parse_packet(bytes);
    if (!packet) return malformed_.Add();
    const steer_decision decision = instance_.OnSegment(now, *packet, bytes);
    if (decision.verdict == steer_verdict::kForward) {
      AddForward(bytes, decision);
    } else if (decision.verdict == steer_verdict::kReset) {
      AddReset(*packet);
    }
  }

  void AddReset(const segment& refused) {
    if (out_.size() == udp_batch::kMaxDatagrams) SendOut();
    std::vector<uint8_t>& buffer = NextBuffer();
    platform_.make_reset(refused, buffer);
    out_.push_back({{refused.caller.address, caller_port_}, buffer});
  }

  void AddForward(std::span<const uint8_t> bytes,
                  const steer_decision& decision) {
    if (out_.size() == udp_batch::kMaxDatagrams) SendOut();
    std::vector<uint8_t>& buffer = NextBuffer();
    platform_.wrap_packet(bytes, decision.server, decision.cookie, buffer);
    out_.push_back({decision.destination, buffer});
  }

  /// The buffer of the datagram that is added next; earlier ones stay put.
  std::vector<uint8_t>& NextBuffer() { return out_buffers_[out_.size()]; }

  void SendOut() {
    if (out_.empty()) return;
    const size_t sent = sender_.Send(socket_, out_);
    // What the kernel does not take is lost, as on a full link; both ends send
    // again.
    unsent_.Add(out_.size() - sent);
    out_.clear();
  }

  void OnTick() {
    const time_point now = loop_.Now();
    const duration gap = now - last_tick_;
    const duration suspended = SuspendedTime();
    if (gap > kPauseLimit || suspended - suspended_ > kSuspensionLimit) {
      instance_.OnPause(now, std::max(gap, suspended - suspended_));
    }
    last_tick_ = now;
    suspended_ = suspended;
    instance_.OnTick(now);
    SendOut();
  }

  void OnMessage(steering_message& message) {
    const time_point now = loop_.Now();
    std::visit([&](auto& m) { Take(now, m); }, message);
  }

  void Take(time_point now, store_reply& reply) {
    instance_.OnStoreReply(now, std::move(reply));
  }
  void Take(time_point now, const digest_received& digest) {
    try {
      instance_.OnDigest(now, digest.bytes);
    } catch (const malformed_message&) {
      malformed_.Add();
    }
  }
  void Take(time_point now, const collection_fetched& fetched) {
    instance_.OnFetched(now, fetched.peer, fetched.what, fetched.exported);
  }
  void Take(time_point now, const server_checked& checked) {
    instance_.OnServerChecked(now, checked.server, checked.is_reachable);
  }
  void Take(time_point now, const entry_stop&) { instance_.OnStop(now); }
  void Take(time_point, const seeds_changed& changed) {
    instance_.SetSeeds(changed.seeds);
  }

  void Take(time_point now, const entry_query& query) {
    constexpr int kOk = 200;
    constexpr int kUnavailable = 503;
    switch (query.wanted) {
      case entry_query::page::kReady:
        return query.answer(instance_.IsReady(now) ? kOk : kUnavailable, "");
      case entry_query::page::kState:
        return query.answer(kOk, instance_.StateJson(now));
      case entry_query::page::kMetrics:
        return query.answer(kOk, metrics_.ToPrometheusText());
      case entry_query::page::kCollection:
        return query.answer(
            kOk, instance_.ExportCollection(now, query.what, query.since));
    }
  }

  event_loop& loop_;
  const platform_hooks platform_;
  entry_mailboxes& board_;
  metric_registry metrics_;
  metric& malformed_;
  metric& unsent_;
  entry_instance instance_;
  unique_fd socket_;
  io_watcher watcher_;
  const uint16_t caller_port_;
  timer_watcher ticker_;
  timer_watcher timer_;
  /// When the timer is due; kNever if it is not running.
  time_point armed_for_ = kNever;
  udp_batch batch_;
  udp_batch sender_;
  std::array<std::vector<uint8_t>, udp_batch::kMaxDatagrams> out_buffers_;
  std::vector<datagram> out_;
  time_point last_tick_{};
  duration suspended_{};
};

steering_task::steering_task(event_loop& loop,
                             const entry_daemon_settings& settings,
                             const platform_hooks& platform,
                             entry_mailboxes& board, log_hook log)
    : impl_(std::make_unique<impl>(loop, settings, platform, board,
                                   std::move(log))) {}
steering_task::~steering_task() = default;

}  // namespace poplarstair
