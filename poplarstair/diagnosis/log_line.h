// One line of an instance's log, read back.
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

struct log_line {
  log_time at{};
  std::string instance;
  std::string event;
  std::map<std::string, std::string, std::less<>> fields;
  /// The line as it was written.
  std::string text;

  /// Empty if there is no such field.
  std::string_view Field(std::string_view key) const;
  /// True if some field has this value.
  bool HasFieldValue(std::string_view value) const;
};

/// None if the text is no line of ours, or was cut short in its first fields.
/// Anything before `time=` is passed over.
std::optional<log_line> ParseLogLine(std::string_view text);

/// All lines of several logs, by time.
std::vector<log_line> ParseLogs(const std::vector<std::string>& texts);

}  // namespace poplarstair

#endif  // POPLARSTAIR_DIAGNOSIS_LOG_LINE_H_
