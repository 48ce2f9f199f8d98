#include "poplarstair/balancer/instance_list.h"

#include <nlohmann/json.hpp>

#include "poplarstair/core/error.h"

namespace poplarstair {

std::vector<listed_instance> InstancesFromJson(std::string_view text) {
  try {
    std::vector<listed_instance> instances;
    const auto entries = nlohmann::json::parse(text);
    for (const auto& entry : entries) {
      listed_instance listed;
      instance_address& address = listed.address;
      entry.at("name").get_to(address.name);
      address.id = IdFromName<instance_id>(address.name);
      address.failure_domain = IdFromName<failure_domain_id>(
          entry.at("failure_domain").get<std::string>());
      address.peer_address =
          endpoint::Parse(entry.at("peer_address").get<std::string>());
      address.hand_on_address =
          endpoint::Parse(entry.at("hand_on_address").get<std::string>());
      listed.leaving = entry.value("state", "live") == "leaving";
      instances.push_back(std::move(listed));
    }
    return instances;
  } catch (const nlohmann::json::exception& failure) {
    throw malformed_message("instance list", failure.what());
  }
}

}  // namespace poplarstair
