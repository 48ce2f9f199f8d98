#include "poplarstair/membership/member.h"

#include <algorithm>

namespace poplarstair {

const member* member_view::Find(instance_id id) const {
  const auto it = std::lower_bound(members.begin(), members.end(), id,
                                   [](const member& m, instance_id wanted) {
                                     return m.address.id < wanted;
                                   });
  const bool found = it != members.end() && it->address.id == id;
  return found ? &*it : nullptr;
}

size_t member_view::CountUsable() const {
  return static_cast<size_t>(
      std::count_if(members.begin(), members.end(), IsUsable));
}

}  // namespace poplarstair
