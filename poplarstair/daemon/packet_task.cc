#include "poplarstair/daemon/packet_task.h"

#include <array>

#include "poplarstair/io/socket.h"
#include "poplarstair/wire/encapsulation.h"

namespace poplarstair {

namespace {

/// Batches read in one turn of the loop before other tasks come in.
constexpr size_t kBatchesInTurn = 4;
/// A batch is dropped when it stays undecided from one check to the next.
constexpr duration kGuardInterval = std::chrono::milliseconds(100);

}  // namespace

class packet_task::impl {
 public:
  impl(event_loop& loop, const endpoint& local, packet_source source,
       task_mailboxes& board, log_hook log)
      : source_(source),
        board_(board),
        log_(std::move(log)),
        socket_(BindUdp(local)),
        watcher_(loop, socket_.Get(),
                 [this](io_watcher::readiness) {
                   batches_in_turn_ = 0;
                   Receive();
                 }),
        guard_(loop, [this] { CheckBatch(); }) {
    RenewBatch();
    board_.PacketsOf(source_).Bind(loop,
                                   [this](const packet_batch_ptr& decided) {
                                     // One that was given up may come late.
                                     if (decided == batch_) SendDecided();
                                   });
    watcher_.WaitFor({true, false});
    guard_.StartRepeating(kGuardInterval);
  }

  ~impl() { board_.PacketsOf(source_).Unbind(); }

  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  endpoint Local() const { return LocalEndpoint(socket_); }

 private:
  void RenewBatch() {
    batch_ = std::make_shared<packet_batch>();
    batch_->source = source_;
    is_undecided_ = false;
    was_undecided_ = false;
  }

  void CheckBatch() {
    if (is_undecided_ && was_undecided_) {
      log_(log_record("packet_batch_dropped", log_level::kWarning)
               .With("packets", batch_->packets.size()));
      RenewBatch();
      watcher_.WaitFor({true, false});
    }
    was_undecided_ = is_undecided_;
  }

  void Receive() {
    batch_->packets.clear();
    payloads_.clear();
    for (const datagram& d : received_.Receive(socket_)) Take(d);
    if (batch_->packets.empty()) {
      watcher_.WaitFor({true, false});
      return;
    }
    ++batches_in_turn_;
    // The buffers are in use until the decisions come back.
    watcher_.WaitFor({false, false});
    is_undecided_ = true;
    board_.balancer.Post(batch_);
  }

  void Take(const datagram& d) {
    std::span<const uint8_t> inner = d.bytes;
    uint8_t hops = 0;
    if (source_ == packet_source::kInstance) {
      if (inner.size() < hand_on_header::kBytes ||
          inner[0] != hand_on_header::kVersion) {
        return Reject(d, "bad_hand_on_header");
      }
      hops = ReadHandOnHeader(inner).hops;
      inner = inner.subspan(hand_on_header::kBytes);
    }
    auto parsed = ParsePacket(inner);
    if (const auto* fault = std::get_if<packet_fault>(&parsed)) {
      return Reject(d, NameOf(*fault));
    }
    auto& info = std::get<packet_info>(parsed);
    info.hops = hops;
    batch_->packets.push_back(info);
    payloads_.push_back(inner);
  }

  void Reject(const datagram& d, std::string_view reason) {
    board_.counters.Post(
        {"packets_rejected{reason=\"" + std::string(reason) + "\"}",
         "Packets that could not be read."});
    log_(log_record("packet_rejected", log_level::kDebug)
             .With("from", d.remote.ToString())
             .With("reason", reason));
  }

  void SendDecided() {
    is_undecided_ = false;
    was_undecided_ = false;
    outgoing_.clear();
    for (size_t i = 0; i < payloads_.size(); ++i) {
      const packet_decision& decision = batch_->decisions[i];
      switch (decision.verdict) {
        case packet_verdict::kDeliver:
          outgoing_.push_back({decision.destination, payloads_[i]});
          break;
        case packet_verdict::kHandOn:
          outgoing_.push_back({decision.destination, AddHeader(i)});
          break;
        case packet_verdict::kDrop:
          break;
      }
    }
    // What the kernel does not take is lost, as on any full link.
    if (!outgoing_.empty()) sent_.Send(socket_, outgoing_);
    // More has often come meanwhile; polling for it would cost a system call.
    const bool was_full = payloads_.size() == udp_batch::kMaxDatagrams;
    if (was_full && batches_in_turn_ < kBatchesInTurn) return Receive();
    watcher_.WaitFor({true, false});
  }

  std::span<const uint8_t> AddHeader(size_t i) {
    auto& buffer = handed_on_[i];
    const uint8_t hops = batch_->packets[i].hops;
    WriteHandOnHeader({static_cast<uint8_t>(hops + 1)},
                      std::span<uint8_t, hand_on_header::kBytes>(
                          buffer.data(), hand_on_header::kBytes));
    const auto& payload = payloads_[i];
    std::copy(payload.begin(), payload.end(),
              buffer.begin() + hand_on_header::kBytes);
    return {buffer.data(), hand_on_header::kBytes + payload.size()};
  }

  using hand_on_buffer = std::array<uint8_t, udp_batch::kMaxDatagramBytes +
                                                 hand_on_header::kBytes>;

  const packet_source source_;
  task_mailboxes& board_;
  const log_hook log_;
  unique_fd socket_;
  io_watcher watcher_;
  udp_batch received_;
  udp_batch sent_;

  // The batch under decision.
  timer_watcher guard_;
  size_t batches_in_turn_ = 0;
  bool is_undecided_ = false;
  /// At the guard's last check, and the same batch.
  bool was_undecided_ = false;
  packet_batch_ptr batch_;
  std::vector<std::span<const uint8_t>> payloads_;
  std::vector<datagram> outgoing_;
  std::array<hand_on_buffer, udp_batch::kMaxDatagrams> handed_on_;
};

packet_task::packet_task(event_loop& loop, const endpoint& local,
                         packet_source source, task_mailboxes& board,
                         log_hook log)
    : impl_(
          std::make_unique<impl>(loop, local, source, board, std::move(log))) {}
packet_task::~packet_task() = default;

endpoint packet_task::Local() const { return impl_->Local(); }

}  // namespace poplarstair
