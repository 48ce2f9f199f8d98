// Parses the log lines that instances write.
#ifndef POPLARSTAIR_DIAGNOSIS_LOG_LINE_H_
#define POPLARSTAIR_DIAGNOSIS_LOG_LINE_H_

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace poplarstair {

/// Time of day of the instance that wrote the line, since the Unix epoch. The
/// clocks of two instances may differ.
using log_time = std::chrono::milliseconds;

/// One parsed log line.
struct log_line {
  log_time at{};
  std::string instance;
  std::string event;
  std::map<std::string, std::string, std::less<>> fields;
  /// The line as it was written.
  std::string text;

  /// The value of field `key`; empty if there is no such field.
  std::string_view Field(std::string_view key) const;
  /// True if any field has exactly this value.
  bool HasFieldValue(std::string_view value) const;
};

/// Parses one line; text before `time=` is skipped. Returns nullopt if `time`
/// is missing or malformed, or if `event` is missing (for example in a
/// truncated line).
std::optional<log_line> ParseLogLine(std::string_view text);

/// Parses several logs and merges their lines in order of time. Text that is no
/// log line is skipped.
std::vector<log_line> ParseLogs(const std::vector<std::string>& texts);

}  // namespace poplarstair

#endif  // POPLARSTAIR_DIAGNOSIS_LOG_LINE_H_
