// Which objects a collection has, and as of when each was read.
#ifndef POPLARSTAIR_CATALOG_OBJECT_INDEX_H_
#define POPLARSTAIR_CATALOG_OBJECT_INDEX_H_

#include <map>
#include <string>
#include <utility>

#include "poplarstair/catalog/catalog.h"
#include "poplarstair/core/hash.h"

namespace poplarstair {

class object_index {
 public:
  using positions = std::map<std::string, store_position>;

  /// `read` is the position of the object's last change.
  void Set(const std::string& name, store_position read) {
    Drop(name);
    positions_[name] = read;
    digest_ ^= HashOf(name, read);
  }
  /// False if there is no such object.
  bool Drop(const std::string& name) {
    const auto it = positions_.find(name);
    if (it == positions_.end()) return false;
    digest_ ^= HashOf(name, it->second);
    positions_.erase(it);
    return true;
  }
  /// Empties the index and returns what it held.
  positions Clear() {
    digest_ = 0;
    return std::exchange(positions_, {});
  }

  const positions& All() const { return positions_; }
  /// Covers the epoch of each object: its revision stands for another content
  /// in another epoch.
  content_digest Digest() const { return digest_; }

 private:
  static content_digest HashOf(const std::string& name, store_position read) {
    return HashCombine(HashCombine(HashBytes(name), read.epoch), read.revision);
  }

  positions positions_;
  content_digest digest_ = 0;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_CATALOG_OBJECT_INDEX_H_
