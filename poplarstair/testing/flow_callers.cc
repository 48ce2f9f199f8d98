#include "poplarstair/testing/flow_callers.h"

namespace poplarstair {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kFeedInterval = milliseconds(250);
constexpr duration kUploadInterval = milliseconds(50);
constexpr duration kUploadLength = seconds(4);
/// Silence after which a caller gives a flow up.
constexpr duration kGiveUpAfter = seconds(5);
constexpr uint32_t kCallerNetwork = 0x0a630000;  // 10.99.0.0
constexpr uint32_t kFirstPort = 1024;
constexpr uint32_t kPorts = 60'000;

}  // namespace

flow_callers::flow_callers(event_queue& queue, const deployment& site,
                           uint64_t seed, hooks actions)
    : queue_(queue), site_(site), random_(seed), hooks_(std::move(actions)) {}

void flow_callers::Start(uint32_t feeds, uint32_t uploads) {
  for (const service_config& service : site_.config.services) {
    const service_id id = service.id;
    for (uint32_t i = 0; i < feeds; ++i) {
      queue_.After(milliseconds(500) + milliseconds(RandomBelow(random_, 500)),
                   [this, id] { Open(id, true); });
    }
    if (uploads == 0) continue;
    queue_.Every(duration(seconds(1)) / uploads, seconds(1),
                 [this, id] { Open(id, false); });
  }
}

void flow_callers::Open(service_id service, bool is_feed) {
  const uint64_t flow = ++last_flow_;
  caller_flow opened;
  opened.is_feed = is_feed;
  opened.heard = queue_.Now();
  opened.closes = is_feed ? kNever : queue_.Now() + kUploadLength;
  flow_packet& packet = opened.packet;
  packet.flow = flow;
  packet.service = service;
  packet.info.key.service =
      site_.config.FindService(service)->addresses.front();
  packet.info.key.client.address =
      ip_address::FromV4(kCallerNetwork + static_cast<uint32_t>(flow / kPorts));
  packet.info.key.client.port =
      static_cast<uint16_t>(kFirstPort + flow % kPorts);
  flows_[flow] = opened;
  SendNext(flow);
}

void flow_callers::SendNext(uint64_t flow) {
  const auto found = flows_.find(flow);
  if (found == flows_.end()) return;
  caller_flow& f = found->second;
  if (queue_.Now() - f.heard >= kGiveUpAfter) return Break(flow);
  const bool ends = queue_.Now() >= f.closes;
  f.packet.info.opens_flow = !f.is_open;
  f.packet.info.ends_flow = f.is_open && ends;
  hooks_.send(f.packet);
  if (f.packet.info.ends_flow) {
    flows_.erase(found);
    return;
  }
  const duration interval = !f.is_open  ? duration(seconds(1))
                            : f.is_feed ? kFeedInterval
                                        : kUploadInterval;
  queue_.After(interval, [this, flow] { SendNext(flow); });
}

void flow_callers::OnAnswer(uint64_t flow, backend_server_id server,
                            packet_answer kind) {
  const auto found = flows_.find(flow);
  if (found == flows_.end()) return;
  caller_flow& f = found->second;
  if (kind == packet_answer::kReset) return Break(flow);
  if (!f.is_open) {
    f.is_open = true;
    f.server = server;
    history_event event;
    event.kind = history_kind::kFlowOpened;
    event.number = flow;
    event.server = server;
    event.service = f.packet.service;
    hooks_.record(event);
  }
  // Only the server that the flow ends in keeps it alive.
  if (server == f.server) f.heard = queue_.Now();
}

void flow_callers::Break(uint64_t flow) {
  const auto found = flows_.find(flow);
  const caller_flow broken = found->second;
  flows_.erase(found);
  if (broken.is_open) {
    history_event event;
    event.kind = history_kind::kFlowBroken;
    event.number = flow;
    event.server = broken.server;
    event.service = broken.packet.service;
    hooks_.record(event);
  }
  if (broken.is_feed) Open(broken.packet.service, true);
}

}  // namespace poplarstair
