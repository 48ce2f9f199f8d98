// What instances hand each other of their catalogs.
#include <algorithm>

#include "poplarstair/catalog/catalog_replica.h"

namespace poplarstair {

std::string catalog_replica::Export(time_point now, collection what,
                                    store_position since) const {
  collection_export state;
  state.position = Position(what);
  state.content = Digest(what);
  if (IsKeeping(now, what)) state.kept_for = kept_until_[Index(what)] - now;
  // The other collections are small, or a single object.
  const bool knows_changes = what == collection::kServers &&
                             since.revision != 0 &&
                             since.epoch == state.position.epoch &&
                             since >= changes_from_ && since <= state.position;
  if (knows_changes) state.since = since.revision;
  const auto is_told = [&](store_position changed_at) {
    return !knows_changes || changed_at > since;
  };
  for (const auto& [name, read] : objects_[Index(what)].All()) {
    if (!is_told(read)) continue;
    state.objects[name] = read;
    if (what != collection::kServers) continue;
    const server_entry* server = FindServer(catalog_.servers, name);
    if (server == nullptr) server = FindServer(doubted_servers_, name);
    if (server != nullptr) state.servers[name] = *server;
  }
  if (what == collection::kRoutes) state.routes = catalog_.routes;
  if (what == collection::kServers && !knows_changes) {
    state.former_servers = catalog_.former_servers;
  }
  if (what == collection::kWithdrawals) {
    state.withdrawn_domains = catalog_.withdrawn_domains;
  }
  // With the whole: what must not be kept over the store's return.
  if (knows_changes || (what == collection::kServers && IsKeeping(now, what))) {
    for (const auto& [name, removed] : removed_servers_) {
      const bool is_of_epoch = removed.removed_at.epoch == state.position.epoch;
      if (is_of_epoch && is_told(removed.removed_at))
        state.removed.insert(name);
    }
  }
  return EncodeCollection(now, what, state);
}

bool catalog_replica::TakeChanges(time_point now,
                                  const collection_export& state) {
  constexpr collection kWhat = collection::kServers;
  const store_position held = Position(kWhat);
  if (state.position.epoch != held.epoch || state.since > held.revision) {
    return false;
  }
  for (const std::string& name : state.removed) {
    DropServer(now, name, state.position);
  }
  for (const auto& [name, read] : state.objects) {
    const server_entry* offered = FindServer(state.servers, name);
    if (offered != nullptr && read.revision == kDoubtedRevision) {
      DoubtServer(now, name, read.epoch, *offered);
    } else {
      SetServer(now, name, read, offered);
    }
  }
  if (Digest(kWhat) == state.content) {
    SetPosition(kWhat, state.position);
    return true;
  }
  // What is held is no state that the other instance knows: its whole
  // collection replaces it. The position stays, so that this is still due.
  needs_whole_[Index(kWhat)] = true;
  log_(log_record("catalog_changes_do_not_fit", log_level::kWarning)
           .With("epoch", state.position.epoch)
           .With("since", state.since)
           .With("revision", state.position.revision));
  return true;
}

bool catalog_replica::Import(time_point now, collection what,
                             std::string_view exported) {
  const collection_export state = DecodeCollection(now, what, exported);
  const bool is_newer = state.position > Position(what);
  // An instance that has read the store since its return may lack a version
  // that another one knew before.
  const bool has_later_routes = what == collection::kRoutes &&
                                state.routes.version > catalog_.routes.version;
  if (!is_newer && !has_later_routes) return false;
  if (state.since != 0) return TakeChanges(now, state);
  if (is_newer) {
    TakeWhole(now, what, state);
  } else {
    TakeRoutes(state.routes);
  }
  needs_own_reading_[Index(what)] = state.vocabulary < kVocabularyVersion;
  return true;
}

}  // namespace poplarstair
