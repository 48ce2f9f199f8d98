#include "poplarstair/steering/entry_state.h"

#include <cmath>
#include <string>

#include "poplarstair/steering/steering_log.h"

namespace poplarstair {

nlohmann::json AdmissionJson(time_point now, flow_steering& steering) {
  nlohmann::json listed = nlohmann::json::object();
  for (const auto& [service, s] : steering.Admission(now)) {
    const bool is_short = s.short_since != kNever;
    listed[service] = {
        {"room", s.room},
        {"in_progress", s.in_progress},
        {"waiting", s.waiting},
        {"short_of_room", is_short},
        {"short_for_ms", is_short ? (now - s.short_since).count() / 1000 : 0},
        {"held", s.held},
        {"refused", s.refused}};
  }
  return listed;
}

nlohmann::json SlowestServersJson(time_point now,
                                  const flow_steering& steering) {
  constexpr size_t kMost = 64;
  nlohmann::json listed = nlohmann::json::array();
  for (const server_belief& belief : steering.ServerBeliefs(now, kMost)) {
    listed.push_back({{"server", ServerName(belief.id)},
                      {"service", belief.service},
                      {"domain", belief.failure_domain},
                      {"work_us", std::lround(belief.work.mean)},
                      {"samples", std::lround(belief.work.count)},
                      {"load", belief.load},
                      {"silent", belief.is_silent},
                      {"takes_flows", belief.takes_flows}});
  }
  return listed;
}

nlohmann::json PositionsJson(const catalog_replica& replica) {
  nlohmann::json listed = nlohmann::json::object();
  for (const collection what :
       {collection::kRoutes, collection::kServers, collection::kWithdrawals}) {
    const store_position position = replica.Position(what);
    listed[std::string(NameOf(what))] = {{"epoch", position.epoch},
                                         {"revision", position.revision}};
  }
  return listed;
}

nlohmann::json UnreadPartsJson(const route_table& table) {
  nlohmann::json listed = nlohmann::json::array();
  for (const unread_part& part : table.unread) {
    listed.push_back({{"part", part.name}, {"problem", part.problem}});
  }
  return {{"count", table.unread_count}, {"first", listed}};
}

}  // namespace poplarstair
