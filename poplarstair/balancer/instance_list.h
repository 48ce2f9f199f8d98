// The platform's list of live and leaving instances, as JSON.
#ifndef POPLARSTAIR_BALANCER_INSTANCE_LIST_H_
#define POPLARSTAIR_BALANCER_INSTANCE_LIST_H_

#include <string>
#include <string_view>
#include <vector>

#include "poplarstair/membership/membership.h"

namespace poplarstair {

/// Key under which the platform gives its list.
inline constexpr std::string_view kInstancesKey = "instances";

/// Throws malformed_message.
std::vector<listed_instance> InstancesFromJson(std::string_view text);

}  // namespace poplarstair

#endif  // POPLARSTAIR_BALANCER_INSTANCE_LIST_H_
