// Parts of an instance's state as JSON, for operators.
#ifndef POPLARSTAIR_STEERING_ENTRY_STATE_H_
#define POPLARSTAIR_STEERING_ENTRY_STATE_H_

#include <nlohmann/json.hpp>

#include "poplarstair/catalog/catalog_replica.h"
#include "poplarstair/steering/flow_steering.h"

namespace poplarstair {

/// Services whose requests are limited.
nlohmann::json AdmissionJson(time_point now, flow_steering& steering);
/// What is believed of the servers that take longest.
nlohmann::json SlowestServersJson(time_point now,
                                  const flow_steering& steering);
/// As of when each collection is known.
nlohmann::json PositionsJson(const catalog_replica& replica);
/// Parts of the configuration that can't be read.
nlohmann::json UnreadPartsJson(const route_table& table);

}  // namespace poplarstair

#endif  // POPLARSTAIR_STEERING_ENTRY_STATE_H_
