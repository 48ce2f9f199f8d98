#include "poplarstair/routing/bucket_map.h"

#include <algorithm>

namespace poplarstair {

bucket_map::bucket_map(const service_directory& directory,
                       service_index service)
    : directory_(&directory), service_(service) {
  const effective_config& config = directory.Config();
  const placement table(config, directory.Service(service));
  states_.resize(table.Buckets().size());
  for (uint32_t b = 0; b < Count(); ++b) {
    states_[b].base = table.Buckets()[b];
    states_[b].target = states_[b].base;
    states_[b].changed_in = config.number;
  }
}

void bucket_map::Inherit(const bucket_map& before,
                         const service_directory& old_directory,
                         service_index old_service, time_point now) {
  const service_config& old = old_directory.Service(old_service);
  // Positions of the old servers under the new configuration.
  std::vector<server_index> position_of;
  for (const backend_server_config& server : old.backend_servers) {
    const server_position p = directory_->FindServer(server.id);
    position_of.push_back(p.service == service_ ? p.server : kNoServer);
  }
  const auto& servers = directory_->Service(service_).backend_servers;
  ramps_.assign(servers.size(), true);
  for (size_t i = 0; i < position_of.size(); ++i) {
    if (position_of[i] == kNoServer) continue;
    ramps_[position_of[i]] =
        !TakesNewWork(old_directory.Config(), old.backend_servers[i]);
  }
  // A table never shrinks: a smaller one could not tell its buckets apart.
  if (before.Count() > Count()) {
    std::vector<bucket_state> wider(before.Count());
    const uint32_t ratio = before.Count() / Count();
    for (uint32_t b = 0; b < before.Count(); ++b) wider[b] = states_[b / ratio];
    states_ = std::move(wider);
  }
  const uint32_t ratio = Count() / before.Count();
  for (uint32_t b = 0; b < Count(); ++b) {
    const bucket_state& known = before.At(b / ratio);
    const server_index base =
        known.base == kNoServer ? kNoServer : position_of[known.base];
    const server_index target =
        known.target == kNoServer ? kNoServer : position_of[known.target];
    bucket_state& state = states_[b];
    state.epoch = known.epoch;
    state.watched_since = known.settled ? now : known.watched_since;
    const server_index previous = known.previous_target == kNoServer
                                      ? kNoServer
                                      : position_of[known.previous_target];
    const bool same_target = target == state.target && target != kNoServer;
    // All instances already know of a bucket that was unsettled before.
    const bool all_know = same_target || !known.settled;
    state.changed_in = all_know ? known.changed_in : state.changed_in;
    state.changed_at = all_know ? known.changed_at : now;
    state.previous_target = same_target ? previous : target;
    state.active_at = same_target ? known.active_at : ActivationOf(b, now);
    InheritBucket(b, known, base);
  }
}

void bucket_map::InheritBucket(uint32_t bucket, const bucket_state& known,
                               server_index base) {
  bucket_state& state = states_[bucket];
  const bool base_lost =
      base == kNoServer || !directory_->MayReceive(service_, base);
  // Flows at a lost base are dropped, so the target becomes the new base.
  state.base = base_lost ? state.target : base;
  state.base_lost = base_lost;
  // A lost base also unsettles the bucket: other instances may not know of
  // the loss yet.
  if (!known.settled || base_lost || state.base != state.target) {
    Unsettle(bucket);
  }
}

time_point bucket_map::ActivationOf(uint32_t bucket, time_point now) const {
  const server_index target = states_[bucket].target;
  if (target == kNoServer || !ramps_[target]) return now;
  const auto length = directory_->Config().limits.slow_start;
  const uint64_t server = directory_->Server(service_, target).id.Value();
  const double part = HashToUnit(HashCombine(server, bucket));
  return now + std::chrono::duration_cast<duration>(length * part);
}

void bucket_map::Unsettle(uint32_t bucket) {
  if (states_[bucket].settled) unsettled_.push_back(bucket);
  states_[bucket].settled = false;
}

void bucket_map::PruneUnsettled() {
  std::erase_if(unsettled_, [this](uint32_t b) { return states_[b].settled; });
}

}  // namespace poplarstair
