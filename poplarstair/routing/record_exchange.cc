#include "poplarstair/routing/record_exchange.h"

#include <algorithm>
#include <deque>
#include <map>
#include <tuple>

namespace poplarstair {

namespace {

constexpr duration kBatchInterval = std::chrono::seconds(2);
constexpr duration kRetryAfter = std::chrono::seconds(1);
/// Estimates for the budget.
constexpr double kBytesPerRecord = 7;
constexpr double kBytesPerMessage = 130;
/// Seconds of budget that may be saved up.
constexpr double kBurstSeconds = 3;
constexpr size_t kMaxQueuedItems = 500'000;

enum class item_kind : uint8_t { kNew, kEnd, kRepair };

}  // namespace

class record_exchange::impl {
 public:
  impl(uint32_t bytes_per_second, hooks actions)
      : bytes_per_second_(bytes_per_second), hooks_(std::move(actions)) {}

  void Offer(item_kind kind, const record_item& item) {
    auto& queue = QueueOf(kind);
    if (queue.size() < kMaxQueuedItems) queue.push_back(item);
  }

  void SendNow(time_point now, const std::vector<record_item>& items) {
    batches all;
    for (const record_item& item : items) {
      if (item.peer.IsSet()) Add(all, item_kind::kNew, item);
    }
    Send(now, all);
  }

  void FlushNew(time_point now, instance_id peer) {
    batches all;
    for (const record_item& item : new_) {
      if (item.peer == peer) Add(all, item_kind::kNew, item);
    }
    std::erase_if(new_, [&](const auto& item) { return item.peer == peer; });
    Send(now, all);
  }

  void OnAcknowledge(instance_id from, uint32_t number) {
    const auto it = sent_.find(number);
    if (it == sent_.end() || it->second.peer != from) return;
    for (const record_item& item : it->second.items) {
      if (!it->second.ended) hooks_.acknowledged(item);
    }
    sent_.erase(it);
  }

  void OnTick(time_point now) {
    if (now < next_batch_) return;
    next_batch_ = now + kBatchInterval;
    tokens_ = std::min(tokens_ + bytes_per_second_ * ToSeconds(kBatchInterval),
                       bytes_per_second_ * kBurstSeconds);
    Retry(now);
    batches all;
    TakeFrom(all, item_kind::kNew, now);
    TakeFrom(all, item_kind::kEnd, now);
    TakeFrom(all, item_kind::kRepair, now);
    Send(now, all);
  }

  void Forget(instance_id peer) {
    const auto is_for = [peer](const auto& item) { return item.peer == peer; };
    std::erase_if(new_, is_for);
    std::erase_if(ends_, is_for);
    std::erase_if(repairs_, is_for);
    std::erase_if(sent_,
                  [&](const auto& sent) { return sent.second.peer == peer; });
  }

  size_t OpenRepairs(instance_id peer) const {
    auto open = static_cast<size_t>(
        std::count_if(repairs_.begin(), repairs_.end(),
                      [peer](const auto& i) { return i.peer == peer; }));
    for (const auto& [number, sent] : sent_) {
      if (sent.peer == peer) open += sent.items.size();
    }
    return open;
  }

  size_t QueuedItems() const {
    return new_.size() + ends_.size() + repairs_.size();
  }

 private:
  using batch_key = std::tuple<instance_id, service_id, bool>;
  struct batch {
    std::vector<flow_record> records;
    std::vector<record_item> items;
  };
  using batches = std::map<batch_key, batch>;
  struct sent_batch {
    instance_id peer;
    bool ended = false;
    time_point sent_at;
    std::vector<record_item> items;
  };

  std::deque<record_item>& QueueOf(item_kind kind) {
    if (kind == item_kind::kNew) return new_;
    return kind == item_kind::kEnd ? ends_ : repairs_;
  }

  void Add(batches& all, item_kind kind, const record_item& item) {
    const bool ended = kind == item_kind::kEnd;
    backend_server_id server;
    if (!ended) {
      server = hooks_.server_of(item.service, item.flow);
      if (!server.IsSet()) return;
    }
    batch& b = all[{item.peer, item.service, ended}];
    if (b.items.empty()) tokens_ -= kBytesPerMessage;
    tokens_ -= kBytesPerRecord;
    b.records.push_back({item.flow, server});
    b.items.push_back(item);
  }

  void TakeFrom(batches& all, item_kind kind, time_point now) {
    auto& queue = QueueOf(kind);
    while (tokens_ > 0 && !queue.empty() && queue.front().due <= now) {
      Add(all, kind, queue.front());
      queue.pop_front();
    }
  }

  void Send(time_point now, batches& all) {
    for (auto& [key, b] : all) {
      const auto& [peer, service, ended] = key;
      const uint32_t number = ++last_number_;
      hooks_.send(peer, {number, service.Value(), ended,
                         EncodeRecords(std::move(b.records))});
      sent_[number] = {peer, ended, now, std::move(b.items)};
    }
  }

  void Retry(time_point now) {
    for (auto it = sent_.begin(); it != sent_.end();) {
      if (now - it->second.sent_at < kRetryAfter) {
        ++it;
        continue;
      }
      auto& queue = it->second.ended ? ends_ : repairs_;
      for (const record_item& item : it->second.items) queue.push_front(item);
      it = sent_.erase(it);
    }
  }

  const double bytes_per_second_;
  const hooks hooks_;
  double tokens_ = 0;
  time_point next_batch_{};
  uint32_t last_number_ = 0;
  std::deque<record_item> new_;
  std::deque<record_item> ends_;
  std::deque<record_item> repairs_;
  std::map<uint32_t, sent_batch> sent_;
};

record_exchange::record_exchange(uint32_t bytes_per_second, hooks actions)
    : impl_(std::make_unique<impl>(bytes_per_second, std::move(actions))) {}
record_exchange::~record_exchange() = default;

void record_exchange::OfferNew(const record_item& item) {
  impl_->Offer(item_kind::kNew, item);
}
void record_exchange::OfferRepair(const record_item& item) {
  impl_->Offer(item_kind::kRepair, item);
}
void record_exchange::OfferEnd(const record_item& item) {
  impl_->Offer(item_kind::kEnd, item);
}
void record_exchange::SendNow(time_point now,
                              const std::vector<record_item>& items) {
  impl_->SendNow(now, items);
}
void record_exchange::FlushNew(time_point now, instance_id peer) {
  impl_->FlushNew(now, peer);
}
void record_exchange::OnAcknowledge(instance_id from, uint32_t number) {
  impl_->OnAcknowledge(from, number);
}
void record_exchange::OnTick(time_point now) { impl_->OnTick(now); }
void record_exchange::Forget(instance_id peer) { impl_->Forget(peer); }
size_t record_exchange::OpenRepairs(instance_id peer) const {
  return impl_->OpenRepairs(peer);
}
size_t record_exchange::QueuedItems() const { return impl_->QueuedItems(); }

}  // namespace poplarstair
