#include "poplarstair/config/spread_peers.h"

#include <algorithm>
#include <map>
#include <utility>

#include "poplarstair/core/hash.h"

namespace poplarstair {

namespace {

constexpr uint64_t kWatcherSeed = 0x77617463;

/// Hashes with their members, highest hash first.
using ranking = std::vector<std::pair<uint64_t, instance_id>>;

void Insert(ranking& ranked, instance_id id, size_t size) {
  const std::pair entry(HashCombine(id.Value(), kWatcherSeed), id);
  if (ranked.size() == size && ranked.back() >= entry) return;
  ranked.insert(
      std::upper_bound(ranked.begin(), ranked.end(), entry, std::greater<>()),
      entry);
  if (ranked.size() > size) ranked.pop_back();
}

}  // namespace

spread_peers spread_peers::FromView(const member_view& view, instance_id self,
                                    size_t watchers_per_domain) {
  spread_peers peers;
  const member* own = view.Find(self);
  if (own == nullptr) return peers;
  std::map<failure_domain_id, ranking> watchers;
  for (const member& m : view.members) {
    if (!IsUsable(m)) continue;
    const failure_domain_id domain = m.address.failure_domain;
    Insert(watchers[domain], m.address.id, watchers_per_domain);
    if (domain == own->address.failure_domain && m.address.id != self) {
      peers.domain.push_back(m.address.id);
    }
  }
  peers.is_watcher = peers.domain.empty();
  for (const auto& [domain, ranked] : watchers) {
    const bool is_own = domain == own->address.failure_domain;
    for (const auto& [hash, id] : ranked) {
      if (!is_own) peers.remote_watchers.push_back(id);
      if (id == self) peers.is_watcher = true;
    }
  }
  return peers;
}

std::vector<instance_id> PickSome(std::vector<instance_id> from, size_t count,
                                  random_source& random) {
  count = std::min(count, from.size());
  for (size_t i = 0; i < count; ++i) {
    std::swap(from[i], from[i + RandomBelow(random, from.size() - i)]);
  }
  from.resize(count);
  return from;
}

}  // namespace poplarstair
