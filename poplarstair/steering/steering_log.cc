#include "poplarstair/steering/steering_log.h"

#include <cstdio>

namespace poplarstair {

namespace {

int64_t ToMs(duration d) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

int64_t SilentMs(const steering_facts& facts, server_row row) {
  return ToMs(facts.now - facts.estimates.LastProgress(row));
}

}  // namespace

std::string FlowName(const segment& packet) {
  return packet.caller.ToString() + ">" + packet.service.ToString();
}

std::string ServerName(backend_server_id id) {
  char text[20];
  std::snprintf(text, sizeof(text), "%llx",
                static_cast<unsigned long long>(id.Value()));
  return text;
}

log_record PlacedLine(const steering_facts& facts, const segment& packet,
                      const std::string& service, const server_choice& choice,
                      steer_reason reason) {
  const known_server& server = facts.servers.At(choice.row);
  const work_time_samples work =
      facts.estimates.WorkTime(facts.now, choice.row);
  return log_record("flow_placed")
      .With("flow", FlowName(packet))
      .With("copy", packet.copy)
      .With("service", service)
      .With("server", ServerName(server.id))
      .With("domain", server.failure_domain)
      .With("wait_us", static_cast<int64_t>(choice.expected_wait))
      .With("work_us", static_cast<int64_t>(work.mean))
      .With("samples", static_cast<int64_t>(work.count))
      .With("eligible", choice.eligible)
      .With("cold_owners", choice.cold_owners)
      .With("age_ms", ToMs(facts.age))
      .With("outcome", NameOf(reason));
}

log_record RefusedLine(const steering_facts& facts, const segment& packet,
                       steer_reason reason, uint64_t routes_version,
                       bool is_final) {
  return log_record("flow_refused")
      .With("flow", FlowName(packet))
      .With("copy", packet.copy)
      .With("reason", NameOf(reason))
      .With("routes_version", routes_version)
      .With("age_ms", ToMs(facts.age))
      .With("outcome", is_final ? "reset" : "drop");
}

log_record ResetLine(const steering_facts& facts, const segment& packet,
                     server_row row, steer_reason reason, duration waited) {
  log_record line("flow_reset");
  line.With("flow", FlowName(packet)).With("reason", NameOf(reason));
  if (row != kNoServer) {
    line.With("server", ServerName(facts.servers.At(row).id))
        .With("witnesses", facts.estimates.Witnesses(row))
        .With("silent_ms", SilentMs(facts, row))
        .With("waited_ms", ToMs(waited));
  }
  return line.With("age_ms", ToMs(facts.age));
}

log_record SilentLine(const steering_facts& facts, server_row row,
                      std::string_view source) {
  const known_server& server = facts.servers.At(row);
  return log_record("server_silent", log_level::kWarning)
      .With("server", ServerName(server.id))
      .With("domain", server.failure_domain)
      .With("source", source)
      .With("witnesses", facts.estimates.Witnesses(row))
      .With("silent_ms", SilentMs(facts, row));
}

}  // namespace poplarstair
