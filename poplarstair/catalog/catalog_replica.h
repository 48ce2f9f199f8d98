// An instance's copy of the catalog, fed by the store or by other instances.
#ifndef POPLARSTAIR_CATALOG_CATALOG_REPLICA_H_
#define POPLARSTAIR_CATALOG_CATALOG_REPLICA_H_

#include <array>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "poplarstair/catalog/returned_domains.h"
#include "poplarstair/catalog/store_call.h"
#include "poplarstair/core/log_record.h"

namespace poplarstair {

struct collection_fields;

/// Each collection has the store's revision that it is the state of. A
/// revision only grows, and so does the version of the routes, whoever hands
/// over what.
class catalog_replica {
 public:
  explicit catalog_replica(log_hook log) : log_(std::move(log)) {}

  // All return true if the copy is another one now.

  /// The whole collection from the store.
  bool Replace(time_point now, collection what, store_revision revision,
               const std::vector<store_object>& objects);
  /// Changes from the store.
  bool Change(time_point now, collection what, store_revision revision,
              const std::vector<store_object>& objects);
  /// What Export gave at another instance; ignored if it is not newer. Throws
  /// malformed_message.
  bool Import(time_point now, collection what, std::string_view exported);

  /// The collection for another instance that holds the state of revision
  /// `since`, 0 for none: what has changed after it, or the whole where that is
  /// not known any more.
  std::string Export(time_point now, collection what,
                     store_revision since = 0) const;
  /// The revision to ask another instance for changes since; 0 asks for the
  /// whole, after changes that did not fit.
  store_revision FetchSince(collection what) const {
    return needs_whole_[static_cast<size_t>(what)] ? 0 : Revision(what);
  }

  const catalog& Current() const { return catalog_; }
  /// 0 if nothing is known.
  store_revision Revision(collection what) const {
    return revisions_[static_cast<size_t>(what)];
  }
  /// The same for the same content, whatever the revision that it was read at:
  /// the store counts one revision for all its objects.
  content_digest Digest(collection what) const {
    return digests_[static_cast<size_t>(what)];
  }
  /// The content is also the state of this later revision. True if a domain's
  /// servers are confirmed by that.
  bool Raise(collection what, store_revision revision);
  /// True if every collection is known.
  bool IsComplete() const;
  /// True if the collection came from an instance with an earlier version of
  /// the program, which may not be able to read all of it.
  bool NeedsOwnReading(collection what) const {
    return needs_own_reading_[static_cast<size_t>(what)];
  }

 private:
  void Apply(collection what, const store_object& object,
             store_revision revision);
  void Take(collection what, const store_object& object);
  void Erase(collection what, const std::string& name);
  /// Notes an object's revision in the digest.
  void SetObject(collection what, const std::string& name,
                 store_revision revision);
  /// Notes that an object is gone, as of the collection's revision.
  void DropObject(collection what, const std::string& name,
                  store_revision revision);
  using object_revisions = std::map<std::string, store_revision>;
  /// Empties the collection's objects and returns them.
  object_revisions ClearObjects(collection what);
  /// Notes what of `before` is gone.
  void NoteRemoved(collection what, const object_revisions& before,
                   store_revision revision);
  bool ImportChanges(time_point now, const collection_fields& fields);
  bool TakeRoutes(const route_table& routes);
  void LogUnread(const route_table& routes);
  /// Updates catalog::unconfirmed_domains too.
  void SetRevision(collection what, store_revision revision);

  const log_hook log_;
  catalog catalog_;
  std::array<store_revision, kCollections> revisions_{};
  std::array<content_digest, kCollections> digests_{};
  returned_domains returned_;
  /// Revision of each object.
  std::array<object_revisions, kCollections> objects_;
  /// Servers that are gone, with the revision by which they were.
  object_revisions removed_servers_;
  /// Changes of servers are known from this revision on.
  store_revision changes_from_ = 0;
  std::array<bool, kCollections> needs_whole_{};
  std::array<bool, kCollections> needs_own_reading_{};
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_CATALOG_CATALOG_REPLICA_H_
