// Fixed-size key that stands for a request id in tables and in messages.
#ifndef POPLARSTAIR_REQUESTS_REQUEST_KEY_H_
#define POPLARSTAIR_REQUESTS_REQUEST_KEY_H_

#include <algorithm>
#include <cstdint>
#include <msgpack.hpp>
#include <string_view>
#include <utility>
#include <vector>

#include "poplarstair/core/hash.h"

namespace poplarstair {

/// 128-bit hash of a request id. Two ids with the same key would be treated as
/// one request: one of them would be refused, and neither run twice.
struct request_key {
  uint64_t high = 0;
  uint64_t low = 0;

  static request_key Of(std::string_view id) {
    const XXH128_hash_t hash = XXH3_128bits(id.data(), id.size());
    return {hash.high64, hash.low64};
  }

  friend constexpr auto operator<=>(const request_key&,
                                    const request_key&) = default;

  template <typename H>
  friend H AbslHashValue(H state, const request_key& key) {
    return H::combine(std::move(state), key.high, key.low);
  }

  MSGPACK_DEFINE(high, low);
};

/// Returns the keys of a hash table in ascending order. The iteration order of
/// hash tables differs between processes, and decisions must not depend on it.
template <typename Table>
std::vector<request_key> SortedKeys(const Table& table) {
  std::vector<request_key> keys;
  keys.reserve(table.size());
  for (const auto& [key, value] : table) keys.push_back(key);
  std::sort(keys.begin(), keys.end());
  return keys;
}

}  // namespace poplarstair

#endif  // POPLARSTAIR_REQUESTS_REQUEST_KEY_H_
