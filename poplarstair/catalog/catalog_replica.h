// An instance's copy of the catalog, fed by the store or by other instances.
#ifndef POPLARSTAIR_CATALOG_CATALOG_REPLICA_H_
#define POPLARSTAIR_CATALOG_CATALOG_REPLICA_H_

#include <array>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "poplarstair/catalog/collection_codec.h"
#include "poplarstair/catalog/entry_judgement.h"
#include "poplarstair/catalog/object_index.h"
#include "poplarstair/catalog/returned_domains.h"
#include "poplarstair/catalog/store_call.h"
#include "poplarstair/core/log_record.h"

namespace poplarstair {

struct replica_settings {
  /// How long what was known before the store's return is kept while its
  /// writers write it again: the platform promises some two seconds, and the
  /// rest is for the way of the news.
  duration written_again_time = std::chrono::milliseconds(2500);
  /// After this long without reports the store removes a server's entry.
  duration silent_entry_time = std::chrono::milliseconds(3600);
  /// How long a server whose entry went is remembered as a former one: flows
  /// to it may be open.
  duration former_time = std::chrono::seconds(60);
};

/// Each collection has the store's position that it is the state of. A position
/// only grows, and so does the version of the routes, whoever hands over what.
///
/// A store that has come back from a copy lacks what was written last, until
/// the operator and the servers have written it again. Their own numbers tell
/// what is the later word: the version of the routes, and the reports of a
/// server. What the store lacks is kept for `written_again_time`.
class catalog_replica {
 public:
  explicit catalog_replica(log_hook log, const replica_settings& settings = {})
      : log_(std::move(log)), settings_(settings) {}

  // All return true if the copy is another one now.

  /// The whole collection from the store.
  bool Replace(time_point now, collection what, store_position position,
               const std::vector<store_object>& objects);
  /// Changes from the store; ignored unless what is held is of the same epoch.
  bool Change(time_point now, collection what, store_position position,
              const std::vector<store_object>& objects);
  /// What Export gave at another instance; ignored if it is not newer. Throws
  /// malformed_message.
  bool Import(time_point now, collection what, std::string_view exported);

  /// The collection for another instance that holds the state of `since`,
  /// revision 0 for none: what has changed after it, or the whole where that is
  /// not known any more.
  std::string Export(time_point now, collection what,
                     store_position since = {}) const;
  /// The position to ask another instance for changes since; revision 0 asks
  /// for the whole, after changes that did not fit.
  store_position FetchSince(collection what) const {
    return needs_whole_[Index(what)] ? store_position{} : Position(what);
  }

  const catalog& Current() const { return catalog_; }
  /// Revision 0 if nothing is known.
  store_position Position(collection what) const {
    return positions_[Index(what)];
  }
  /// The same for the same content, whatever the position that it was read at:
  /// the store counts one revision for all its objects.
  content_digest Digest(collection what) const;
  /// The content is also the state of this later position. True if a domain's
  /// servers are confirmed by that, or entries that were ahead of the others.
  bool Raise(time_point now, collection what, store_position position);
  /// Ends what was kept or doubted after the store's return, and forgets former
  /// servers.
  bool OnTick(time_point now);
  /// True if every collection is known.
  bool IsComplete() const;
  /// True if the collection came from an instance with an earlier version of
  /// the program, which may not be able to read all of it, or entries are
  /// doubted that the store should have replaced or removed by now.
  bool NeedsOwnReading(collection what) const {
    return needs_own_reading_[Index(what)];
  }

 private:
  static size_t Index(collection what) { return static_cast<size_t>(what); }

  /// Replaces a collection by `state`, but for what is kept.
  void TakeWhole(time_point now, collection what,
                 const collection_export& state);
  void TakeServers(time_point now, const collection_export& state);
  /// Takes over one entry of a whole; false if `known` is kept instead.
  bool TakeListed(time_point now, store_position position,
                  const std::string& name, const read_server& known,
                  const read_server& offered);
  void TakeWithdrawals(time_point now, const collection_export& state);
  bool TakeRoutes(const route_table& routes);
  bool TakeChanges(time_point now, const collection_export& state);
  void Apply(time_point now, collection what, const store_object& object,
             store_position position);
  void SetServer(time_point now, const std::string& name, store_position read,
                 const server_entry* entry);
  void DropServer(time_point now, const std::string& name,
                  store_position position);
  void NoteRemoved(time_point now, const std::string& name,
                   store_position removed_at, store_position read,
                   const server_entry* last);
  /// The entry is not used any more, though the server may live.
  void NoteDoubted(time_point now, const std::string& name,
                   store_position listed_at, store_position read,
                   const server_entry& last);
  void KeepFor(time_point now, collection what, duration time);
  /// Takes note of an entry without using it.
  void DoubtServer(time_point now, const std::string& name, store_epoch epoch,
                   const server_entry& listed);
  bool IsKeeping(time_point now, collection what) const {
    return now < kept_until_[Index(what)];
  }
  void EndKeeping(time_point now, collection what);
  void SetWithdrawn(std::vector<std::string> domains, store_position position);
  void SetPosition(collection what, store_position position);
  void LogUnread(const route_table& routes);
  void LogUnreadable(collection what, const std::string& name,
                     const unreadable_object& object);

  const log_hook log_;
  const replica_settings settings_;
  catalog catalog_;
  std::array<store_position, kCollections> positions_{};
  std::array<object_index, kCollections> objects_;
  /// Until when objects that were read in an earlier epoch are kept.
  std::array<time_point, kCollections> kept_until_{};
  returned_domains returned_;
  /// Servers that are gone.
  std::map<std::string, removed_server> removed_servers_;
  /// Entries that the store lists after its return, and that their servers had
  /// followed by others before.
  std::map<std::string, server_entry> doubted_servers_;
  /// When the store is to be read again if there are any; kNever if it was.
  time_point doubted_until_ = kNever;
  /// Changes of servers are known from this position on.
  store_position changes_from_;
  /// The latest creation of an entry.
  store_position last_created_;
  std::array<bool, kCollections> needs_whole_{};
  std::array<bool, kCollections> needs_own_reading_{};
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_CATALOG_CATALOG_REPLICA_H_
