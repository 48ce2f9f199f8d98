#include "poplarstair/testing/message_bus.h"

namespace poplarstair {

message_bus::message_bus(event_queue& queue,
                         const message_bus_settings& settings, uint64_t seed)
    : queue_(queue), settings_(settings), random_(seed) {}

void message_bus::Attach(instance_id id, failure_domain_id domain,
                         receiver on_message) {
  port& added = port_of_[id];
  added.domain = domain;
  added.on_message = std::move(on_message);
}

void message_bus::Detach(instance_id id) { port_of_[id].on_message = nullptr; }

void message_bus::Send(const peer_message& message) {
  const auto to = port_of_.find(message.to);
  const auto from = port_of_.find(message.from);
  if (from == port_of_.end()) return;
  ++from->second.sent.messages;
  from->second.sent.bytes += message.WireBytes();
  if (to == port_of_.end() || IsCut(from->second, message, to->second)) return;
  if (settings_.loss > 0 && RandomUnit(random_) < settings_.loss) return;
  const duration delay = DrawDelay(from->second, to->second);
  if (settings_.duplication > 0 &&
      RandomUnit(random_) < settings_.duplication) {
    Deliver(message, delay + DrawDelay(from->second, to->second));
  }
  Deliver(message, delay);
}

void message_bus::CutOneWay(failure_domain_id from, failure_domain_id to) {
  cut_domains_.emplace(from, to);
}

void message_bus::CutOneWay(instance_id from, instance_id to) {
  cut_instances_.emplace(from, to);
}

void message_bus::Heal() {
  cut_domains_.clear();
  cut_instances_.clear();
}

void message_bus::ResetTraffic() {
  for (auto& [id, p] : port_of_) p.sent = {};
}

bool message_bus::IsCut(const port& from, const peer_message& message,
                        const port& to) {
  return cut_domains_.contains({from.domain, to.domain}) ||
         cut_instances_.contains({message.from, message.to});
}

duration message_bus::DrawDelay(const port& from, const port& to) {
  const duration base = from.domain == to.domain
                            ? settings_.delay_within_domain
                            : settings_.delay_between_domains;
  if (settings_.jitter <= duration::zero()) return base;
  const auto most = static_cast<uint64_t>(settings_.jitter.count()) + 1;
  return base + duration(static_cast<int64_t>(RandomBelow(random_, most)));
}

void message_bus::Deliver(const peer_message& message, duration delay) {
  queue_.After(delay, [this, message] {
    const auto to = port_of_.find(message.to);
    if (to == port_of_.end() || !to->second.on_message) return;
    // The receiver may detach itself.
    const receiver on_message = to->second.on_message;
    on_message(message);
  });
}

}  // namespace poplarstair
