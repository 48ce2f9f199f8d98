// Failure domains that are not withdrawn any more, and whose servers may have
// turned cold since they were last read.
#ifndef POPLARSTAIR_CATALOG_RETURNED_DOMAINS_H_
#define POPLARSTAIR_CATALOG_RETURNED_DOMAINS_H_

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "poplarstair/catalog/catalog.h"

namespace poplarstair {

class returned_domains {
 public:
  /// Compares the withdrawn domains, both sorted, before and as of `position`.
  void Note(const std::vector<std::string>& before,
            const std::vector<std::string>& withdrawn,
            store_position position) {
    for (const std::string& domain : before) {
      if (!std::binary_search(withdrawn.begin(), withdrawn.end(), domain)) {
        returned_at_[domain] = position;
      }
    }
  }

  /// The domains whose return is not known to the servers' collection, sorted;
  /// it is known as of `servers_known`.
  std::vector<std::string> Unconfirmed(store_position servers_known) {
    std::erase_if(returned_at_, [servers_known](const auto& item) {
      return item.second <= servers_known;
    });
    std::vector<std::string> domains;
    domains.reserve(returned_at_.size());
    for (const auto& [domain, position] : returned_at_) {
      domains.push_back(domain);
    }
    return domains;
  }

 private:
  /// As of which position they were not withdrawn any more.
  std::map<std::string, store_position> returned_at_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_CATALOG_RETURNED_DOMAINS_H_
