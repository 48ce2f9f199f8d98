#include "poplarstair/emulator/live_instances.h"

#include <nlohmann/json.hpp>
#include <string>

#include "poplarstair/balancer/instance_list.h"
#include "poplarstair/core/error.h"
#include "poplarstair/object_store/platform_http.h"

namespace poplarstair {

namespace {

std::vector<live_instance> LiveInstancesFromJson(const std::string& text) {
  std::vector<live_instance> live;
  for (const auto& entry : nlohmann::json::parse(text)) {
    if (entry.value("state", "live") != "live") continue;
    live.push_back(
        {endpoint::Parse(entry.at("packet_address").get<std::string>()),
         endpoint::Parse(entry.at("request_address").get<std::string>())});
  }
  return live;
}

}  // namespace

void ReadLiveInstances(
    http_client& client, const endpoint& platform,
    std::function<void(const std::vector<live_instance>&)> on_list) {
  const http_call call = ToHttpCall(
      {0, platform_operation::kGet, std::string(kInstancesKey), 0, ""},
      platform);
  client.Start(call, [on_list = std::move(on_list)](
                         const std::optional<http_reply>& reply) {
    if (!reply || reply->status != 200) return;
    on_list(LiveInstancesFromJson(reply->body));
  });
}

}  // namespace poplarstair
