// Errors in configuration and settings files.
#ifndef POPLARSTAIR_CONFIG_CONFIG_ERROR_H_
#define POPLARSTAIR_CONFIG_CONFIG_ERROR_H_

#include <cstdint>
#include <string>
#include <vector>

#include "poplarstair/core/enum_names.h"
#include "poplarstair/core/error.h"

namespace poplarstair {

enum class config_fault : uint8_t {
  kSyntax,
  kUnknownKey,
  kMissingKey,
  kWrongType,
  kOutOfRange,
  kUnknownName,
  kDuplicate,
  kUnsupportedFormat,
  kNothingUsable,
};

template <>
struct enum_names<config_fault> {
  static constexpr std::string_view kNames[] = {
      "syntax",     "unknown_key",        "missing_key",
      "wrong_type", "out_of_range",       "unknown_name",
      "duplicate",  "unsupported_format", "nothing_usable"};
};

/// One problem in a file, with its location.
struct config_problem {
  config_fault fault;
  std::string file;
  /// Line number from 1; 0 if the problem concerns the whole file.
  uint32_t line = 0;
  /// Dotted path of the key.
  std::string key;
  /// The value as written; empty for a missing key.
  std::string value;
  /// Describes a valid value or a correction.
  std::string hint;

  /// Formats the problem as `file:line: fault: key = value: hint`.
  std::string ToString() const;
};

/// Thrown for a file, or a base with its overlay, that is invalid.
class config_error : public error {
 public:
  explicit config_error(std::vector<config_problem> problems);

  const std::vector<config_problem>& Problems() const { return problems_; }

 private:
  std::vector<config_problem> problems_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_CONFIG_CONFIG_ERROR_H_
