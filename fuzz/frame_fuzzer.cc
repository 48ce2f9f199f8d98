// Fuzzes the frames between instances and the bodies that planes read.

#include <cstdint>
#include <optional>
#include <string_view>

#include "poplarstair/balancer/balancer.h"
#include "poplarstair/core/error.h"
#include "poplarstair/wire/frame_codec.h"

namespace {

using namespace poplarstair;

balancer MakeBalancer() {
  balancer_settings settings;
  settings.self.id = instance_id(1);
  settings.self.name = "fuzzed";
  balancer::hooks actions;
  actions.send = [](const peer_message&) {};
  actions.call_platform = [](const platform_request&) {};
  actions.log = [](const log_record&) {};
  actions.start_attempt = [](const attempt&) {};
  actions.cancel_attempt = [](attempt_id) {};
  actions.end_call = [](call_id, const answer&) {};
  return balancer(settings, actions);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  balancer receiver = MakeBalancer();
  const time_point now(std::chrono::seconds(1));
  frame_decoder decoder;
  // In two parts, as a connection may deliver it.
  const size_t middle = size / 2;
  try {
    for (const auto part : {bytes.substr(0, middle), bytes.substr(middle)}) {
      decoder.Append(part);
      while (const std::optional<peer_message> message = decoder.Next()) {
        receiver.OnMessage(now, *message);
      }
    }
  } catch (const malformed_message&) {
    // The stream ends there.
  }
  // Bodies without a frame, to reach every plane from any input.
  for (const auto channel :
       {message_channel::kMembership, message_channel::kConfiguration,
        message_channel::kFlow, message_channel::kRequest}) {
    receiver.OnMessage(
        now, {instance_id(2), instance_id(1), channel, std::string(bytes)});
  }
  receiver.OnTick(now + balancer::kTickInterval);
  return 0;
}
