#include "poplarstair/testing/planted_fault.h"

namespace poplarstair {

namespace {

// One in so many events goes wrong.
constexpr uint64_t kPacketInterval = 997;
constexpr uint64_t kRequestInterval = 97;

void SendTo(packet_decision& decision, const backend_server_config& server) {
  decision.verdict = packet_verdict::kDeliver;
  decision.destination = server.address;
  decision.server = server.id;
}

void SendTo(attempt& started, const backend_server_config& server) {
  started.server = server.id;
  started.address = server.request_address;
}

}  // namespace

packet_decision planted_fault::OnDecision(const flow_packet& packet,
                                          packet_decision decision) {
  const service_config& service = *config_.FindService(packet.service);
  switch (kind_) {
    case mutant::kForgetFlow:
      if (!packet.info.opens_flow && IsNth(kPacketInterval)) {
        const bool is_first =
            decision.server == service.backend_servers.front().id;
        SendTo(decision, service.backend_servers[is_first ? 1 : 0]);
      }
      break;
    case mutant::kWrongService:
      if (IsNth(kPacketInterval)) {
        const bool is_first = service.id == config_.services.front().id;
        SendTo(decision,
               config_.services[is_first ? 1 : 0].backend_servers.front());
      }
      break;
    case mutant::kIgnoreWithdrawal:
      if (withdrawn_.IsSet() && IsNth(kPacketInterval)) {
        for (const backend_server_config& server : service.backend_servers) {
          if (server.failure_domain == withdrawn_) SendTo(decision, server);
        }
      }
      break;
    case mutant::kIgnoreDrain:
      if (packet.info.opens_flow) {
        for (const backend_server_config& server : service.backend_servers) {
          if (server.id == draining_) SendTo(decision, server);
        }
      }
      break;
    default:
      break;
  }
  return decision;
}

answer planted_fault::OnAnswer(answer result) {
  if (result.result != outcome::kAnswered) return result;
  if (kind_ == mutant::kSwapAnswers && IsNth(kRequestInterval)) {
    return last_answer_;
  }
  if (kind_ == mutant::kFalseNotRun && IsNth(kRequestInterval)) {
    return {outcome::kNotRun, refusal_reason::kQueueFull, 0, ""};
  }
  last_answer_ = result;
  return result;
}

attempt planted_fault::OnAttempt(attempt started,
                                 const backend_server_config* cold) {
  if (kind_ == mutant::kFloodColdServer && cold != nullptr &&
      ServiceOf(started.server).id == ServiceOf(cold->id).id) {
    SendTo(started, *cold);
  }
  if (kind_ == mutant::kOverrunSlots) {
    SendTo(started, ServiceOf(started.server).backend_servers.front());
  }
  return started;
}

std::optional<attempt> planted_fault::SecondAttempt(const attempt& started) {
  if (kind_ != mutant::kDuplicateAttempt || !IsNth(kRequestInterval)) {
    return std::nullopt;
  }
  constexpr uint64_t kSecondAttempts = uint64_t{1} << 62;
  attempt copy = started;
  copy.id = attempt_id(kSecondAttempts + started.id.Value());
  SendTo(copy, ServiceOf(started.server).backend_servers.back());
  return copy;
}

generation planted_fault::SeenGeneration(size_t instance,
                                         generation in_force) const {
  constexpr generation kSecondEdit = 3;
  const bool goes_back = kind_ == mutant::kRevertGeneration && instance == 1 &&
                         in_force >= kSecondEdit && count_ % 2 == 0;
  return goes_back ? in_force - 2 : in_force;
}

uint64_t planted_fault::FencingNumber(uint64_t granted) const {
  return kind_ == mutant::kStaleLease && granted > 0 ? granted - 1 : granted;
}

bool planted_fault::IsDeaf(size_t instance, message_channel channel) const {
  return kind_ == mutant::kDeafInstance && instance == 1 &&
         channel == message_channel::kConfiguration;
}

const service_config& planted_fault::ServiceOf(backend_server_id server) const {
  for (const service_config& service : config_.services) {
    for (const backend_server_config& each : service.backend_servers) {
      if (each.id == server) return service;
    }
  }
  return config_.services.front();
}

bool planted_fault::IsNth(uint64_t n) { return ++count_ % n == 0; }

}  // namespace poplarstair
