#include "poplarstair/catalog/catalog_replica.h"

#include <algorithm>
#include <utility>

#include "poplarstair/core/hash.h"

namespace poplarstair {

namespace {

/// Most removed servers that are remembered for other instances: some hours of
/// replacements at the largest size that is aimed for.
constexpr size_t kMostRemoved = 2048;

}  // namespace

bool catalog_replica::IsComplete() const {
  return std::all_of(positions_.begin(), positions_.end(),
                     [](store_position p) { return p.revision != 0; });
}

content_digest catalog_replica::Digest(collection what) const {
  const content_digest objects = objects_[Index(what)].Digest();
  if (what != collection::kRoutes) return objects;
  // The table in force may be a later one than the store has.
  return HashCombine(objects, catalog_.routes.version);
}

bool catalog_replica::Replace(time_point now, collection what,
                              store_position position,
                              const std::vector<store_object>& objects) {
  // An older state than a peer has handed over; the watch will catch up.
  if (position < Position(what)) return false;
  for (const store_object& object : objects) {
    const auto* bad = std::get_if<unreadable_object>(&object.content);
    if (bad != nullptr) LogUnreadable(what, object.name, *bad);
  }
  collection_export list = ListOf(what, position, objects);
  list.kept_for = settings_.written_again_time;
  TakeWhole(now, what, list);
  needs_own_reading_[Index(what)] = false;
  return true;
}

void catalog_replica::TakeWhole(time_point now, collection what,
                                const collection_export& state) {
  const store_position held = Position(what);
  const bool is_return =
      held.revision != 0 && state.position.epoch != held.epoch;
  const bool has_kept = std::any_of(
      state.objects.begin(), state.objects.end(), [&](const auto& object) {
        return object.second.epoch != state.position.epoch;
      });
  if (is_return || has_kept) {
    KeepFor(now, what, std::min(state.kept_for, settings_.written_again_time));
  }
  switch (what) {
    case collection::kRoutes:
      objects_[Index(what)].Clear();
      for (const auto& [name, read] : state.objects) {
        objects_[Index(what)].Set(name, read);
      }
      // Without a table that can be read, the one in force stays.
      if (state.routes.version != 0 || catalog_.routes.version == 0) {
        TakeRoutes(state.routes);
      }
      break;
    case collection::kServers:
      TakeServers(now, state);
      break;
    case collection::kWithdrawals:
      TakeWithdrawals(now, state);
      break;
  }
  SetPosition(what, state.position);
  needs_whole_[Index(what)] = false;
}

void catalog_replica::TakeServers(time_point now,
                                  const collection_export& state) {
  constexpr collection kWhat = collection::kServers;
  if (changes_from_.epoch != state.position.epoch ||
      changes_from_.revision == 0) {
    changes_from_ = state.position;
  }
  const auto held_servers = std::exchange(catalog_.servers, {});
  const auto held = objects_[Index(kWhat)].Clear();
  doubted_servers_.clear();
  last_created_ = {};
  size_t kept = 0;
  for (const auto& [name, read] : state.objects) {
    read_server known{{}, FindServer(held_servers, name)};
    if (known.entry != nullptr) known.read = held.at(name);
    const read_server offered{read, FindServer(state.servers, name)};
    if (!TakeListed(now, state.position, name, known, offered)) ++kept;
  }
  for (const auto& [name, read] : held) {
    if (state.objects.contains(name)) continue;
    const server_entry* known = FindServer(held_servers, name);
    const bool is_kept = IsKeeping(now, kWhat) && known != nullptr &&
                         read.epoch < state.position.epoch &&
                         !state.removed.contains(name);
    if (is_kept) {
      SetServer(now, name, read, known);
      ++kept;
    } else {
      NoteRemoved(now, name, state.position, read, known);
    }
  }
  for (const auto& [name, former] : state.former_servers) {
    if (catalog_.servers.contains(name)) continue;
    catalog_.former_servers.try_emplace(name, former);
  }
  if (kept == 0 && doubted_servers_.empty()) return;
  log_(log_record("servers_kept_over_return")
           .With("epoch", state.position.epoch)
           .With("revision", state.position.revision)
           .With("kept", kept)
           .With("doubted", doubted_servers_.size()));
}

bool catalog_replica::TakeListed(time_point now, store_position position,
                                 const std::string& name,
                                 const read_server& known,
                                 const read_server& offered) {
  const auto removed = removed_servers_.find(name);
  const entry_verdict verdict = Judge(
      now, {position, known, offered,
            removed == removed_servers_.end() ? nullptr : &removed->second,
            IsKeeping(now, collection::kServers)});
  switch (verdict) {
    case entry_verdict::kTake:
      SetServer(now, name, offered.read, offered.entry);
      return true;
    case entry_verdict::kKeep:
      SetServer(now, name, known.read, known.entry);
      return false;
    case entry_verdict::kGone:
      if (known.entry != nullptr) {
        NoteRemoved(now, name, position, known.read, known.entry);
      }
      return true;
    case entry_verdict::kDoubt:
      if (known.entry != nullptr) {
        NoteDoubted(now, name, position, known.read, *known.entry);
      }
      DoubtServer(now, name, offered.read.epoch, *offered.entry);
      return true;
  }
  return true;
}

void catalog_replica::TakeWithdrawals(time_point now,
                                      const collection_export& state) {
  constexpr collection kWhat = collection::kWithdrawals;
  std::vector<std::string> domains = state.withdrawn_domains;
  const auto held = objects_[Index(kWhat)].Clear();
  for (const auto& [name, read] : state.objects) {
    objects_[Index(kWhat)].Set(name, read);
  }
  for (const auto& [name, read] : held) {
    if (!IsKeeping(now, kWhat) || state.objects.contains(name) ||
        read.epoch >= state.position.epoch) {
      continue;
    }
    objects_[Index(kWhat)].Set(name, read);
    domains.push_back(name);
    log_(log_record("withdrawal_kept_over_return")
             .With("domain", name)
             .With("epoch", state.position.epoch)
             .With("revision", state.position.revision));
  }
  SetWithdrawn(std::move(domains), state.position);
}

void catalog_replica::SetWithdrawn(std::vector<std::string> domains,
                                   store_position position) {
  std::sort(domains.begin(), domains.end());
  const std::vector<std::string> before =
      std::exchange(catalog_.withdrawn_domains, std::move(domains));
  const std::vector<std::string>& after = catalog_.withdrawn_domains;
  for (const std::string& domain : after) {
    if (std::binary_search(before.begin(), before.end(), domain)) continue;
    log_(log_record("domain_withdrawn").With("domain", domain));
  }
  for (const std::string& domain : before) {
    if (std::binary_search(after.begin(), after.end(), domain)) continue;
    log_(log_record("domain_returned").With("domain", domain));
  }
  returned_.Note(before, after, position);
}

bool catalog_replica::Change(time_point now, collection what,
                             store_position position,
                             const std::vector<store_object>& objects) {
  const store_position held = Position(what);
  if (position.epoch != held.epoch || position <= held) return false;
  for (const store_object& object : objects) {
    Apply(now, what, object, position);
  }
  SetPosition(what, position);
  return true;
}

bool catalog_replica::Raise(time_point now, collection what,
                            store_position position) {
  const store_position held = Position(what);
  if (held.revision == 0 || position <= held || needs_whole_[Index(what)]) {
    return false;
  }
  if (position.epoch != held.epoch) {
    KeepFor(now, what, settings_.written_again_time);
  }
  const size_t before = catalog_.unconfirmed_domains.size();
  SetPosition(what, position);
  const bool was_ahead = what == collection::kServers && held < last_created_ &&
                         last_created_ <= position;
  return was_ahead || catalog_.unconfirmed_domains.size() != before;
}

void catalog_replica::KeepFor(time_point now, collection what, duration time) {
  time_point& until = kept_until_[Index(what)];
  until = std::max(until, now + time);
  if (what != collection::kServers) return;
  doubted_until_ =
      until - settings_.written_again_time + settings_.silent_entry_time;
}

void catalog_replica::DoubtServer(time_point now, const std::string& name,
                                  store_epoch epoch,
                                  const server_entry& listed) {
  const server_entry* known = FindServer(catalog_.servers, name);
  if (known != nullptr) {
    const object_index& index = objects_[Index(collection::kServers)];
    NoteDoubted(now, name, Position(collection::kServers), index.All().at(name),
                *known);
  }
  doubted_servers_[name] = listed;
  catalog_.servers.erase(name);
  if (doubted_until_ == kNever) {
    doubted_until_ = now + settings_.silent_entry_time;
  }
  // Another digest than with the entry in use, and than without it.
  objects_[Index(collection::kServers)].Set(name, {epoch, kDoubtedRevision});
}

void catalog_replica::SetPosition(collection what, store_position position) {
  positions_[Index(what)] = position;
  catalog_.servers_known = Position(collection::kServers);
  catalog_.unconfirmed_domains =
      returned_.Unconfirmed(Position(collection::kServers));
}

void catalog_replica::SetServer(time_point now, const std::string& name,
                                store_position read,
                                const server_entry* entry) {
  objects_[Index(collection::kServers)].Set(name, read);
  removed_servers_.erase(name);
  doubted_servers_.erase(name);
  if (entry == nullptr) {
    // What can't be read names no server, even where a readable entry stood.
    const server_entry* before = FindServer(catalog_.servers, name);
    if (before != nullptr) {
      catalog_.former_servers[name] = {before->created, now};
    }
    catalog_.servers.erase(name);
  } else {
    last_created_ = std::max(last_created_, entry->created);
    catalog_.servers[name] = *entry;
    catalog_.former_servers.erase(name);
  }
}

void catalog_replica::DropServer(time_point now, const std::string& name,
                                 store_position position) {
  object_index& index = objects_[Index(collection::kServers)];
  const auto held = index.All().find(name);
  if (held == index.All().end()) return;
  // What is known of one that is doubted stays known.
  if (doubted_servers_.erase(name) == 0) {
    NoteRemoved(now, name, position, held->second,
                FindServer(catalog_.servers, name));
  }
  removed_servers_[name].removed_at = position;
  index.Drop(name);
  catalog_.servers.erase(name);
  if (removed_servers_.size() <= kMostRemoved) return;
  removed_servers_.clear();
  changes_from_ = position;
}

void catalog_replica::NoteRemoved(time_point now, const std::string& name,
                                  store_position removed_at,
                                  store_position read,
                                  const server_entry* last) {
  removed_servers_[name] = {removed_at, {}};
  if (last == nullptr) return;
  removed_servers_[name].last = {read, *last};
  catalog_.former_servers[name] = {last->created, now};
}

void catalog_replica::NoteDoubted(time_point now, const std::string& name,
                                  store_position listed_at, store_position read,
                                  const server_entry& last) {
  NoteRemoved(now, name, listed_at, read, &last);
  removed_servers_[name].is_gone = false;
}

void catalog_replica::Apply(time_point now, collection what,
                            const store_object& object,
                            store_position position) {
  const store_position read{position.epoch, object.revision};
  if (const auto* bad = std::get_if<unreadable_object>(&object.content)) {
    LogUnreadable(what, object.name, *bad);
  }
  if (what == collection::kServers) {
    if (object.is_deleted) return DropServer(now, object.name, position);
    const auto* content = std::get_if<server_entry>(&object.content);
    if (content == nullptr) return SetServer(now, object.name, read, nullptr);
    const server_entry entry = EntryOf(object, *content, position.epoch);
    return SetServer(now, object.name, read, &entry);
  }
  object_index& index = objects_[Index(what)];
  if (object.is_deleted) {
    index.Drop(object.name);
  } else {
    index.Set(object.name, read);
  }
  if (what == collection::kRoutes) {
    const auto* routes = std::get_if<route_table>(&object.content);
    if (routes != nullptr) TakeRoutes(*routes);
    return;
  }
  std::vector<std::string> domains = catalog_.withdrawn_domains;
  std::erase(domains, object.name);
  if (!object.is_deleted) domains.push_back(object.name);
  SetWithdrawn(std::move(domains), position);
}

bool catalog_replica::OnTick(time_point now) {
  std::erase_if(catalog_.former_servers, [&](const auto& former) {
    return now - former.second.gone_at >= settings_.former_time;
  });
  bool is_changed = false;
  for (const collection what :
       {collection::kServers, collection::kWithdrawals}) {
    time_point& until = kept_until_[Index(what)];
    if (until == time_point{} || now < until) continue;
    until = time_point{};
    const content_digest before = Digest(what);
    EndKeeping(now, what);
    is_changed = is_changed || Digest(what) != before;
  }
  if (now < doubted_until_) return is_changed;
  // A server that has reported the same again is told by a list alone.
  doubted_until_ = kNever;
  if (!doubted_servers_.empty()) {
    needs_own_reading_[Index(collection::kServers)] = true;
  }
  return is_changed;
}

void catalog_replica::EndKeeping(time_point now, collection what) {
  const store_position position = Position(what);
  const object_index::positions held = objects_[Index(what)].All();
  std::vector<std::string> domains = catalog_.withdrawn_domains;
  for (const auto& [name, read] : held) {
    if (read.epoch == position.epoch) continue;
    log_(log_record("not_written_again")
             .With("collection", NameOf(what))
             .With("name", name)
             .With("epoch", position.epoch));
    if (what == collection::kServers) {
      DropServer(now, name, position);
    } else {
      objects_[Index(what)].Drop(name);
      std::erase(domains, name);
    }
  }
  if (what != collection::kWithdrawals) return;
  SetWithdrawn(std::move(domains), position);
  SetPosition(what, position);
}

bool catalog_replica::TakeRoutes(const route_table& routes) {
  if (routes.version < catalog_.routes.version) {
    log_(log_record("routes_older", log_level::kWarning)
             .With("version", routes.version)
             .With("in_force", catalog_.routes.version));
    return false;
  }
  if (routes.version != catalog_.routes.version) {
    log_(log_record("routes_in_force")
             .With("version", routes.version)
             .With("before", catalog_.routes.version)
             .With("routes", routes.routes.size()));
  }
  const bool is_unread_new = routes.version != catalog_.routes.version ||
                             routes.unread != catalog_.routes.unread;
  catalog_.routes = routes;
  if (is_unread_new) LogUnread(routes);
  return true;
}

void catalog_replica::LogUnread(const route_table& routes) {
  for (const unread_part& part : routes.unread) {
    log_(log_record("routes_part_unread", log_level::kWarning)
             .With("version", routes.version)
             .With("part", part.name)
             .With("problem", part.problem)
             .With("parts", routes.unread_count));
  }
}

void catalog_replica::LogUnreadable(collection what, const std::string& name,
                                    const unreadable_object& object) {
  log_(log_record("store_object_unreadable", log_level::kWarning)
           .With("collection", NameOf(what))
           .With("name", name)
           .With("problem", object.problem));
}

}  // namespace poplarstair
