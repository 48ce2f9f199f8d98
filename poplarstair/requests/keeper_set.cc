#include "poplarstair/requests/keeper_set.h"

#include <algorithm>
#include <set>
#include <utility>

namespace poplarstair {

namespace {

struct candidate {
  uint64_t weight = 0;
  const member* who = nullptr;
};

}  // namespace

std::vector<instance_id> KeepersOf(const request_key& key,
                                   const std::vector<member>& roster) {
  std::vector<candidate> ranked;
  ranked.reserve(roster.size());
  for (const member& m : roster) {
    ranked.push_back({HashCombine(m.address.id.Value(), key.low), &m});
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const candidate& a, const candidate& b) {
              return a.weight > b.weight;
            });
  // Each round takes the highest-ranked remaining member of each domain.
  std::vector<instance_id> keepers;
  const size_t wanted = std::min(kKeepers, ranked.size());
  while (keepers.size() < wanted) {
    std::set<failure_domain_id> used;
    std::vector<candidate> left;
    for (const candidate& c : ranked) {
      const bool taken = keepers.size() < wanted &&
                         used.insert(c.who->address.failure_domain).second;
      if (taken) {
        keepers.push_back(c.who->address.id);
      } else {
        left.push_back(c);
      }
    }
    ranked = std::move(left);
  }
  return keepers;
}

}  // namespace poplarstair
