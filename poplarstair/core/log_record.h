// One event of the log: a name and key=value fields.
#ifndef POPLARSTAIR_CORE_LOG_RECORD_H_
#define POPLARSTAIR_CORE_LOG_RECORD_H_

#include <concepts>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "poplarstair/core/enum_names.h"

namespace poplarstair {

enum class log_level : uint8_t { kDebug, kInfo, kWarning, kError };

template <>
struct enum_names<log_level> {
  static constexpr std::string_view kNames[] = {"debug", "info", "warning",
                                                "error"};
};

/// Built field by field: `log_record("drain").With("server", name)`.
class log_record {
 public:
  explicit log_record(std::string_view event,
                      log_level level = log_level::kInfo)
      : event_(event), level_(level) {}

  log_record& With(std::string_view key, std::string_view value);
  template <std::integral Integer>
  log_record& With(std::string_view key, Integer value) {
    const std::string text = std::to_string(value);
    return With(key, std::string_view{text});
  }
  log_record& With(std::string_view key, double value);

  std::string_view Event() const { return event_; }
  log_level Level() const { return level_; }
  /// `event=drain server=w1 ...`; values with spaces or quotes are quoted.
  std::string ToLine() const;

 private:
  std::string event_;
  log_level level_;
  std::vector<std::pair<std::string, std::string>> fields_;
};

/// Where the core sends its log records; the daemon writes them to its log.
using log_hook = std::function<void(const log_record&)>;

}  // namespace poplarstair

#endif  // POPLARSTAIR_CORE_LOG_RECORD_H_
