// Tables that give each value of an enum class its name.
#ifndef POPLARSTAIR_CORE_ENUM_NAMES_H_
#define POPLARSTAIR_CORE_ENUM_NAMES_H_

#include <cstddef>
#include <iterator>
#include <optional>
#include <string_view>

namespace poplarstair {

/// Specialised for each named enum: `kNames` holds the names in value order,
/// from value 0 without gaps.
template <typename Enum>
struct enum_names;

template <typename Enum>
constexpr std::string_view NameOf(Enum value) {
  const auto& names = enum_names<Enum>::kNames;
  const auto index = static_cast<size_t>(value);
  return index < std::size(names) ? names[index] : std::string_view("unknown");
}

template <typename Enum>
constexpr std::optional<Enum> ValueOf(std::string_view name) {
  const auto& names = enum_names<Enum>::kNames;
  for (size_t i = 0; i < std::size(names); ++i) {
    if (names[i] == name) return static_cast<Enum>(i);
  }
  return std::nullopt;
}

}  // namespace poplarstair

#endif  // POPLARSTAIR_CORE_ENUM_NAMES_H_
