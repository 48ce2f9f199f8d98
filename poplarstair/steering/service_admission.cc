#include "poplarstair/steering/service_admission.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <string_view>
#include <utility>

#include "poplarstair/core/hash.h"
#include "poplarstair/steering/client_timing.h"
#include "poplarstair/steering/server_choice.h"

namespace poplarstair {

namespace {

/// Limits are shown as whole requests; 0 stands for no limit.
uint64_t Shown(double room) {
  return std::isfinite(room) ? static_cast<uint64_t>(std::lround(room)) : 0;
}

/// Weight of the newest value in the smoothed requests in progress, ten times a
/// second.
constexpr double kLoadWeight = 0.2;
/// Loads that another domain has reported count this long. An instance hears of
/// each other domain about once a second.
constexpr duration kFarLoadAge = std::chrono::seconds(3);

uint32_t HashOf(const std::string& service) {
  return static_cast<uint32_t>(HashBytes(service));
}

/// Servers that this instance uses under overload: each server is used by as
/// many instances as it may have requests per slot, so that the instances' even
/// limits make even queues. `share` is the part of the servers for one
/// instance.
std::vector<server_row> SubsetOf(std::vector<server_row> rows,
                                 const server_set& servers,
                                 const fleet_facts& fleet, double share) {
  // In an order that is the same at every instance.
  std::sort(rows.begin(), rows.end(), [&](server_row a, server_row b) {
    const known_server& first = servers.At(a);
    const known_server& other = servers.At(b);
    return std::tie(first.name_hash, first.name) <
           std::tie(other.name_hash, other.name);
  });
  const size_t count = rows.size();
  const auto wanted =
      static_cast<size_t>(std::ceil(share * static_cast<double>(count)));
  const size_t first =
      count * fleet.index_in_domain / std::max(fleet.instances_of_domain, 1U);
  std::vector<server_row> subset;
  for (size_t i = 0; i < std::min(wanted, count); ++i) {
    subset.push_back(rows[(first + i) % count]);
  }
  return subset;
}

}  // namespace

service_number service_admission::NumberOf(const std::string& service) {
  const auto next = static_cast<service_number>(services_.size());
  const auto [it, is_new] = numbers_.try_emplace(service, next);
  if (!is_new) return it->second;
  const std::string label = "{service=\"" + service + "\"}";
  service_info info;
  info.name = service;
  info.room = &metrics_.Gauge("admission_room" + label,
                              "Requests that this instance may have in "
                              "progress; 0 for no limit");
  info.in_progress =
      &metrics_.Gauge("admission_in_progress" + label, "Requests in progress");
  info.waiting = &metrics_.Gauge("admission_waiting" + label,
                                 "New flows that wait for room");
  services_.push_back(std::move(info));
  return next;
}

void service_admission::OnRoutes(const route_table& routes) {
  std::map<std::string, std::set<uint32_t>> priorities;
  for (const service_route& route : routes.routes) {
    for (const weighted_service& s : route.services) {
      if (s.weight > 0) priorities[s.service].insert(route.priority);
    }
  }
  for (service_info& info : services_) {
    info.has_priorities = false;
    info.is_split = false;
  }
  for (const auto& [service, used] : priorities) {
    services_[NumberOf(service)].has_priorities = used.size() > 1;
  }
  for (const service_route& route : routes.routes) {
    if (route.services.size() < 2) continue;
    for (const weighted_service& s : route.services) {
      services_[NumberOf(s.service)].is_split = true;
    }
  }
}

void service_admission::UpdateRoom(time_point now, const server_set& servers,
                                   const server_estimates& estimates,
                                   const std::string& domain,
                                   const fleet_facts& fleet) {
  fleet_ = fleet;
  for (service_number i = 0; i < services_.size(); ++i) {
    UpdateService(now, i, servers, estimates, domain, fleet);
    const service_info& info = services_[i];
    admission_.SetRoom(i, info.own_room + info.far_room, info.share);
  }
}

void service_admission::UpdateService(time_point now, service_number number,
                                      const server_set& servers,
                                      const server_estimates& estimates,
                                      const std::string& domain,
                                      const fleet_facts& fleet) {
  service_info& info = services_[number];
  info.own_room = flow_admission::kNoLimit;
  info.far_room = 0;
  info.share = flow_admission::kNoLimit;
  info.own_servers.clear();
  info.far_servers.clear();
  info.has_subsets = false;
  const bool is_used = info.has_priorities || info.is_split;
  if (!settings_.is_enabled || !fleet.is_settled || !is_used) return;
  double own_slots = 0;
  std::map<std::string_view, double> far_slots;
  for (const server_row row : servers.OfService(info.name)) {
    const known_server& server = servers.At(row);
    const bool is_usable = server.TakesNewFlows() &&
                           !IsCold(now, servers, estimates, row) &&
                           !estimates.IsSilent(row);
    if (!is_usable) continue;
    if (server.failure_domain == domain) {
      info.own_servers.push_back(row);
      own_slots += server.slots;
    } else {
      info.far_servers.push_back(row);
      far_slots[server.failure_domain] += server.slots;
    }
  }
  double all_slots = own_slots;
  for (const auto& [name, slots] : far_slots) all_slots += slots;
  if (all_slots <= 0) return;
  const double instances = fleet.instances_of_domain;
  // Behind a cut the other domains' instances are forgotten before their
  // servers are found silent.
  const double domains =
      std::max(fleet.domains, static_cast<uint32_t>(1 + far_slots.size()));
  const double even_slots = all_slots / domains;
  info.share = std::max(own_slots, even_slots) / instances;
  if (!info.has_priorities) return;
  info.own_room = Room(own_slots / instances);
  // A domain that has lost servers uses its even share of all.
  const double missing = std::max(even_slots - own_slots, 0.0) / instances;
  info.far_room =
      own_slots > 0 ? settings_.requests_per_slot * missing : Room(missing);
  // Its part of what the other domains leave free, if all others want it too.
  for (const auto& [name, slots] : far_slots) {
    const auto reported = info.far_loads.find(std::string(name));
    if (reported == info.far_loads.end()) continue;
    if (now - reported->second.reported_at > kFarLoadAge) continue;
    const double free = slots * std::max(1 - reported->second.per_slot, 0.0);
    info.far_room += free / (instances * std::max(domains - 1, 1.0));
  }
}

double service_admission::Room(double share) const {
  if (share <= 0) return 0;
  // Requests come at random times: two standard deviations more than the even
  // share and one for the next, where the share is small.
  return std::max(settings_.requests_per_slot * share,
                  share + 2 * std::sqrt(share) + 1);
}

std::vector<service_load> service_admission::Loads() const {
  std::vector<service_load> loads;
  for (const service_info& info : services_) {
    if (!info.has_priorities || !std::isfinite(info.share)) continue;
    loads.push_back({HashOf(info.name), info.load / info.share});
  }
  return loads;
}

void service_admission::OnPeerLoads(time_point now, const std::string& domain,
                                    const std::vector<service_load>& loads) {
  for (const service_load& load : loads) {
    for (service_info& info : services_) {
      if (HashOf(info.name) != load.service) continue;
      far_load& known = info.far_loads[domain];
      const bool is_old = now - known.reported_at > kFarLoadAge;
      known.per_slot =
          is_old ? load.per_slot : (known.per_slot + load.per_slot) / 2;
      known.reported_at = now;
    }
  }
}

std::span<const server_row> service_admission::Candidates(
    time_point now, const std::string& service, const server_set& servers) {
  const service_number number = NumberOf(service);
  service_info& info = services_[number];
  if (!std::isfinite(info.own_room)) return {};
  const auto in_progress =
      static_cast<double>(admission_.InProgress(now, number));
  const auto far = static_cast<double>(admission_.FarInProgress(number));
  const bool has_own = info.own_room > 0;
  const bool is_own_full = in_progress - far >= info.own_room;
  const bool is_short =
      (has_own && is_own_full) || admission_.IsShort(now, number);
  if (!is_short) return {};
  if (!info.has_subsets) {
    const double share =
        settings_.requests_per_slot / fleet_.instances_of_domain;
    info.own_servers =
        SubsetOf(std::move(info.own_servers), servers, fleet_, share);
    info.far_servers =
        SubsetOf(std::move(info.far_servers), servers, fleet_, share);
    info.has_subsets = true;
  }
  const bool uses_far = !has_own || (is_own_full && far < info.far_room);
  return uses_far ? info.far_servers : info.own_servers;
}

admission_verdict service_admission::Offer(time_point now,
                                           const segment& packet, uint64_t hash,
                                           std::span<const uint8_t> bytes,
                                           const std::string& service,
                                           uint32_t priority,
                                           duration handshake) {
  flow_opening opening;
  opening.flow = hash;
  opening.priority = priority;
  opening.came_at = now;
  opening.latest_at = now + TimeToNextCopy(packet.copy) - handshake;
  const admission_verdict verdict =
      admission_.Offer(now, NumberOf(service), opening);
  if (verdict == admission_verdict::kHold) {
    held_[hash] = {packet, {bytes.begin(), bytes.end()}, now};
  }
  return verdict;
}

std::optional<held_opening> service_admission::TakeNext(time_point now) {
  const auto decision = admission_.TakeNext(now);
  if (!decision) return std::nullopt;
  held_opening taken;
  taken.hash = decision->opening.flow;
  taken.service = services_[decision->service].name;
  taken.verdict = decision->verdict;
  auto held = held_.extract(taken.hash);
  taken.packet = held.mapped().packet;
  taken.is_late =
      now >= held.mapped().came_at + TimeToNextCopy(taken.packet.copy);
  taken.bytes = std::move(held.mapped().bytes);
  return taken;
}

void service_admission::OnTick(time_point now) {
  for (service_number i = 0; i < services_.size(); ++i) {
    service_info& info = services_[i];
    const admission_summary state = admission_.Summary(now, i);
    info.load +=
        kLoadWeight * (static_cast<double>(state.in_progress) - info.load);
    info.room->Set(Shown(state.room));
    info.in_progress->Set(state.in_progress);
    info.waiting->Set(state.waiting);
    const bool is_short = state.short_since != kNever;
    if (is_short == info.is_short) continue;
    info.is_short = is_short;
    log_(log_record(is_short ? "service_short" : "service_has_room",
                    is_short ? log_level::kWarning : log_level::kInfo)
             .With("service", info.name)
             .With("room", Shown(state.room))
             .With("in_progress", state.in_progress)
             .With("waiting", state.waiting)
             .With("held", state.held)
             .With("refused", state.refused));
  }
}

std::vector<service_admission::named_summary> service_admission::Summaries(
    time_point now) {
  std::vector<named_summary> summaries;
  for (service_number i = 0; i < services_.size(); ++i) {
    const admission_summary summary = admission_.Summary(now, i);
    if (!std::isfinite(summary.room)) continue;
    summaries.push_back({services_[i].name, summary});
  }
  return summaries;
}

}  // namespace poplarstair
