// An integer identifier that cannot be mixed up with one of another kind.
#ifndef POPLARSTAIR_CORE_STRONG_ID_H_
#define POPLARSTAIR_CORE_STRONG_ID_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace poplarstair {

template <typename Tag>
class strong_id {
 public:
  constexpr strong_id() = default;
  constexpr explicit strong_id(uint64_t value) : value_(value) {}

  constexpr uint64_t Value() const { return value_; }
  /// False for the default, "none".
  constexpr bool IsSet() const { return value_ != 0; }

  friend constexpr auto operator<=>(strong_id, strong_id) = default;

  template <typename H>
  friend H AbslHashValue(H state, strong_id id) {
    return H::combine(std::move(state), id.value_);
  }

 private:
  uint64_t value_ = 0;
};

template <typename Tag>
std::string ToString(strong_id<Tag> id) {
  return std::to_string(id.Value());
}

}  // namespace poplarstair

template <typename Tag>
struct std::hash<poplarstair::strong_id<Tag>> {
  size_t operator()(poplarstair::strong_id<Tag> id) const {
    return std::hash<uint64_t>()(id.Value());
  }
};

#endif  // POPLARSTAIR_CORE_STRONG_ID_H_
