// What one instance hands another of a collection, and its form on the wire.
#ifndef POPLARSTAIR_CATALOG_COLLECTION_CODEC_H_
#define POPLARSTAIR_CATALOG_COLLECTION_CODEC_H_

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "poplarstair/catalog/catalog.h"
#include "poplarstair/catalog/store_call.h"
#include "poplarstair/core/time.h"

namespace poplarstair {

/// One collection; the content of the others stays empty.
struct collection_export {
  store_position position;
  /// 0: the whole collection; else what has changed after this revision of the
  /// same epoch.
  store_revision since = 0;
  /// Of the whole collection.
  content_digest content = 0;
  route_table routes;
  std::map<std::string, server_entry> servers;
  std::vector<std::string> withdrawn_domains;
  /// Objects, also those that name nothing to use.
  std::map<std::string, store_position> objects;
  /// Names of objects that are gone, as the store has told in this epoch.
  std::set<std::string> removed;
  /// With the whole: as catalog::former_servers.
  std::map<std::string, former_server> former_servers;
  /// For how long what was known before the store's return is still kept.
  duration kept_for = duration::zero();
  /// kVocabularyVersion of the sender; 0 from instances that do not send it.
  uint32_t vocabulary = kVocabularyVersion;
};

/// The entry that a store of this epoch has told.
server_entry EntryOf(const store_object& object, const server_entry& content,
                     store_epoch epoch);
/// A list of the store, in the form in which instances hand it over.
collection_export ListOf(collection what, store_position position,
                         const std::vector<store_object>& objects);
std::string EncodeCollection(time_point now, collection what,
                             const collection_export& state);
/// Throws malformed_message, also for another collection than `what`.
collection_export DecodeCollection(time_point now, collection what,
                                   std::string_view bytes);

}  // namespace poplarstair

#endif  // POPLARSTAIR_CATALOG_COLLECTION_CODEC_H_
