// Measures one daemon's packet path against a bare UDP echo loop.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <poll.h>
#include <time.h>

#include <atomic>
#include <cstdio>
#include <functional>
#include <thread>

#include "poplarstair/config/config_publisher.h"
#include "poplarstair/daemon/balancer_task.h"
#include "poplarstair/daemon/packet_task.h"
#include "poplarstair/io/socket.h"
#include "poplarstair/testing/event_queue.h"
#include "poplarstair/testing/platform_fake.h"
#include "poplarstair/wire/encapsulation.h"

ABSL_FLAG(int, rounds, 5, "Rounds; each measures the echo and the path.");
ABSL_FLAG(int, round_ms, 500, "Length of each measurement in milliseconds.");
ABSL_FLAG(double, min_ratio, 0.5,
          "Least packets for each second of processor time, as a share of the "
          "echo's.");

namespace poplarstair {
namespace {

constexpr size_t kFlows = 10'000;
constexpr size_t kPayloadBytes = 64;
/// Packets under way at most; half of what the socket buffers hold.
constexpr uint64_t kWindow = 1024;
const endpoint kAnyPort = endpoint::Parse("127.0.0.1:0");

double ThreadSeconds() {
  timespec t{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
  return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) * 1e-9;
}

double WallSeconds() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration<double>(now).count();
}

void WaitReadable(const unique_fd& fd) {
  constexpr int kTimeoutMs = 10;
  pollfd waited{fd.Get(), POLLIN, 0};
  poll(&waited, 1, kTimeoutMs);
}

/// What the subject under measurement does on its own thread.
class subject {
 public:
  virtual ~subject() = default;
  virtual endpoint Local() = 0;
  virtual void Run(const std::atomic<bool>& stop) = 0;
};

/// Receives a batch and sends it to the sink.
class echo_loop : public subject {
 public:
  explicit echo_loop(const endpoint& sink) : sink_(sink) {}

  endpoint Local() override { return LocalEndpoint(socket_); }

  void Run(const std::atomic<bool>& stop) override {
    std::vector<datagram> outgoing;
    while (!stop) {
      outgoing.clear();
      for (const datagram& d : received_.Receive(socket_)) {
        outgoing.push_back({sink_, d.bytes});
      }
      if (outgoing.empty()) {
        WaitReadable(socket_);
      } else {
        sent_.Send(socket_, outgoing);
      }
    }
  }

 private:
  const endpoint sink_;
  unique_fd socket_ = BindUdp(kAnyPort);
  udp_batch received_;
  udp_batch sent_;
};

/// The daemon's packet and balancer tasks with a platform in memory.
class packet_path : public subject {
 public:
  explicit packet_path(const endpoint& sink) : platform_(queue_) {
    Publish(sink);
    board_.platform.Bind(loop_, [this](const platform_request& request) {
      // A watch has nothing to report until something changes.
      const bool is_known = request.operation == platform_operation::kWatch &&
                            request.version != 0;
      if (is_known) return;
      platform_request call = request;
      call.operation = platform_operation::kGet;
      platform_reply reply = platform_.CallNow(call);
      reply.id = request.id;
      board_.balancer.Post(std::move(reply));
    });
    daemon_settings settings;
    settings.name = "entry-1";
    settings.failure_domain = "north";
    settings.site = "bench";
    const log_hook no_log = [](const log_record&) {};
    balancer_ =
        std::make_unique<balancer_task>(loop_, settings, 1, board_, no_log);
    packets_ = std::make_unique<packet_task>(
        loop_, kAnyPort, packet_source::kFabric, board_, no_log);
  }

  endpoint Local() override { return packets_->Local(); }

  void Run(const std::atomic<bool>& stop) override {
    timer_watcher poll_stop(loop_, [&] {
      if (stop) loop_.Stop();
    });
    poll_stop.StartRepeating(std::chrono::milliseconds(5));
    loop_.Run();
  }

 private:
  void Publish(const endpoint& sink) {
    edit_request edit;
    edit.site = "bench";
    edit.base = {"base.toml",
                 "format = 1\n"
                 "[failure_domains.north]\n"
                 "[services.feeds]\n"
                 "protocol = \"tcp\"\n"
                 "addresses = [\"10.9.0.1:443\"]\n"
                 "[services.feeds.backend_servers.w1]\n"
                 "failure_domain = \"north\"\n"
                 "address = \"" +
                     sink.ToString() +
                     "\"\n"
                     "request_address = \"127.0.0.1:9\"\n"
                     "slots = 2\n"
                     "connections = 100000\n"};
    edit.overlay = {"overlay.toml", "format = 1\n"};
    edit.edit_id = "bench";
    edit.author = "bench";
    PublishEdit(edit, [this](const platform_request& request) {
      return platform_.CallNow(request);
    });
  }

  event_queue queue_;
  platform_fake platform_;
  event_loop loop_;
  task_mailboxes board_;
  std::unique_ptr<balancer_task> balancer_;
  std::unique_ptr<packet_task> packets_;
};

struct measurement {
  double packets_per_s = 0;
  /// Packets for each second of the subject's processor time.
  double packets_per_cpu_s = 0;
  double lost_share = 0;
};

/// Keeps a window of packets under way through a subject.
class load {
 public:
  load() {
    for (size_t i = 0; i < kFlows; ++i) {
      const auto port = static_cast<uint16_t>(1024 + i);
      const flow_key key{{ip_address::FromV4(0x0a000001), port},
                         endpoint::Parse("10.9.0.1:443")};
      opening_.push_back(BuildPacket({key, kTcpSyn, 0, {}}));
      packets_.push_back(
          BuildPacket({key, kTcpAck, 1, std::vector<uint8_t>(kPayloadBytes)}));
    }
  }

  endpoint Sink() { return LocalEndpoint(sink_); }

  measurement Measure(subject& measured, duration length) {
    target_ = measured.Local();
    stop_ = false;
    double cpu_s = 0;
    std::thread running([&] {
      const double before = ThreadSeconds();
      measured.Run(stop_);
      cpu_s = ThreadSeconds() - before;
    });
    // Until the configuration is in force, packets are dropped.
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    const uint64_t opened = Drive(opening_, kFlows, kNever);
    const double start = WallSeconds();
    const time_point end = Now() + length;
    const uint64_t delivered = Drive(packets_, ~uint64_t{0}, end);
    const double took_s = WallSeconds() - start;
    stop_ = true;
    running.join();
    return {static_cast<double>(delivered) / took_s,
            static_cast<double>(delivered + opened) / cpu_s,
            static_cast<double>(lost_) / static_cast<double>(sent_count_)};
  }

 private:
  static time_point Now() {
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::steady_clock::now().time_since_epoch()));
  }

  /// Sends up to `count` packets until `end`; returns how many arrived.
  uint64_t Drive(const std::vector<std::vector<uint8_t>>& packets,
                 uint64_t count, time_point end) {
    arrived_ = 0;
    lost_ = 0;
    sent_count_ = 0;
    is_sending_ = true;
    std::thread receiving([this] { Receive(); });
    std::vector<datagram> outgoing;
    double last_progress = WallSeconds();
    uint64_t last_arrived = 0;
    while (sent_count_ < count && Now() < end) {
      const uint64_t arrived = arrived_;
      if (arrived != last_arrived) {
        last_arrived = arrived;
        last_progress = WallSeconds();
      }
      if (sent_count_ - arrived - lost_ >= kWindow) {
        constexpr double kStallS = 0.05;
        if (WallSeconds() - last_progress > kStallS) {
          lost_ = sent_count_ - arrived;
        }
        std::this_thread::yield();
        continue;
      }
      outgoing.clear();
      while (outgoing.size() < udp_batch::kMaxDatagrams) {
        const uint64_t n = sent_count_ + outgoing.size();
        outgoing.push_back({target_, packets[n % packets.size()]});
      }
      sent_count_ += sent_.Send(source_, outgoing);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    is_sending_ = false;
    receiving.join();
    lost_ = sent_count_ - std::min<uint64_t>(sent_count_, arrived_);
    return arrived_;
  }

  void Receive() {
    while (is_sending_) {
      const size_t count = received_.Receive(sink_).size();
      arrived_ += count;
      if (count == 0) WaitReadable(sink_);
    }
  }

  unique_fd source_ = BindUdp(kAnyPort);
  unique_fd sink_ = BindUdp(kAnyPort);
  udp_batch sent_;
  udp_batch received_;
  std::vector<std::vector<uint8_t>> opening_;
  std::vector<std::vector<uint8_t>> packets_;
  endpoint target_;
  std::atomic<bool> stop_ = false;
  std::atomic<bool> is_sending_ = false;
  std::atomic<uint64_t> arrived_ = 0;
  uint64_t sent_count_ = 0;
  uint64_t lost_ = 0;
};

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

void Print(const char* name, const measurement& m) {
  std::printf(
      "  %-12s %9.0f packets/s  %9.0f packets/s of processor time  lost %.4f\n",
      name, m.packets_per_s, m.packets_per_cpu_s, m.lost_share);
}

int Run() {
  const duration length =
      std::chrono::milliseconds(absl::GetFlag(FLAGS_round_ms));
  load driver;
  echo_loop echo(driver.Sink());
  packet_path path(driver.Sink());
  std::vector<double> rate_ratios;
  std::vector<double> cpu_ratios;
  std::vector<double> path_cpu_ns;
  std::printf("%zu flows, batches of %zu, over loopback\n", kFlows,
              udp_batch::kMaxDatagrams);
  for (int round = 0; round < absl::GetFlag(FLAGS_rounds); ++round) {
    const measurement bare = driver.Measure(echo, length);
    const measurement whole = driver.Measure(path, length);
    Print("echo", bare);
    Print("packet path", whole);
    rate_ratios.push_back(whole.packets_per_s / bare.packets_per_s);
    cpu_ratios.push_back(whole.packets_per_cpu_s / bare.packets_per_cpu_s);
    path_cpu_ns.push_back(1e9 / whole.packets_per_cpu_s);
  }
  const double cpu_ratio = Median(cpu_ratios);
  const bool holds = cpu_ratio >= absl::GetFlag(FLAGS_min_ratio);
  std::printf(
      "result name=packet_path violations=%d rate_ratio=%.2f cpu_ratio=%.2f "
      "path_ns_a_packet=%.0f\n",
      holds ? 0 : 1, Median(rate_ratios), cpu_ratio, Median(path_cpu_ns));
  return holds ? 0 : 1;
}

}  // namespace
}  // namespace poplarstair

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  return poplarstair::Run();
}
