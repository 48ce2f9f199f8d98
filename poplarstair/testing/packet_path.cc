#include "poplarstair/testing/packet_path.h"

namespace poplarstair {

packet_path::packet_path(site_state& site)
    : site_(site),
      flows_(site.queue, site.deployed, site.settings.seed + 1,
             {[this](const flow_packet& p) { Send(p); },
              [this](history_event e) { site_.Record(std::move(e)); }}) {}

void packet_path::Send(const flow_packet& packet) {
  site_.queue.After(site_.deployed.to_callers, [this, packet] {
    const auto i = site_.PickInstance();
    if (i) Receive(*i, packet);
  });
}

void packet_path::Receive(size_t i, const flow_packet& packet) {
  site_.Input(i, site_.instances[i].life, [this, i, packet](balancer& b) {
    const packet_decision decision = site_.planted.OnDecision(
        packet, b.OnPacket(site_.queue.Now(), packet.info));
    if (decision.verdict == packet_verdict::kDeliver) {
      return Forward(i, packet, decision.destination);
    }
    if (decision.verdict == packet_verdict::kHandOn) {
      return HandOn(i, packet, decision.destination);
    }
  });
}

void packet_path::HandOn(size_t from, flow_packet packet,
                         const endpoint& address) {
  ++packet.info.hops;
  for (size_t to = 0; to < site_.instances.size(); ++to) {
    if (site_.instances[to].settings.forwarded_packets != address) continue;
    const failure_domain_id a = site_.instances[from].domain;
    const failure_domain_id b = site_.instances[to].domain;
    if (site_.bus.IsCut(a, b)) return;
    site_.queue.After(site_.DelayBetween(a, b),
                      [this, to, packet] { Receive(to, packet); });
    return;
  }
}

void packet_path::Forward(size_t i, const flow_packet& packet,
                          const endpoint& address) {
  for (size_t s = 0; s < site_.servers.size(); ++s) {
    const backend_server_config& server = site_.servers[s].Config();
    if (server.address != address) continue;
    const failure_domain_id from = site_.instances[i].domain;
    if (site_.bus.IsCut(from, server.failure_domain)) return;
    const bool could_know = site_.CouldKnow(i);
    site_.queue.After(site_.DelayBetween(from, server.failure_domain),
                      [this, i, s, packet, could_know] {
                        Deliver(i, s, packet, could_know);
                      });
    return;
  }
}

void packet_path::Deliver(size_t i, size_t s, const flow_packet& packet,
                          bool could_know) {
  server_fake& server = site_.servers[s];
  history_event event = site_.ServerEvent(history_kind::kPacketDelivered, s);
  event.instance = site_.instances[i].id;
  event.service = packet.service;
  event.number = packet.flow;
  event.could_know = could_know;
  event.opens_flow = packet.info.opens_flow;
  site_.Record(std::move(event));
  if (!server.IsUp()) return;
  packet_answer kind = packet_answer::kTaken;
  if (packet.info.opens_flow) {
    server.OpenFlow(packet.flow);
    kind = packet_answer::kOpened;
  } else if (!server.HasFlow(packet.flow)) {
    kind = packet_answer::kReset;
  }
  if (packet.info.ends_flow) server.EndFlow(packet.flow);
  site_.queue.After(site_.deployed.to_callers, [this, s, packet, kind] {
    flows_.OnAnswer(packet.flow, site_.servers[s].Config().id, kind);
  });
}

}  // namespace poplarstair
