// Log lines on standard output that never block and never grow without bound.
#ifndef POPLARSTAIR_DAEMON_BOUNDED_LOG_H_
#define POPLARSTAIR_DAEMON_BOUNDED_LOG_H_

#include <map>
#include <string>

#include "poplarstair/core/log_record.h"

namespace poplarstair {

struct bounded_log_settings {
  /// Lines of lower levels are left out and not counted.
  log_level level = log_level::kInfo;
  /// Lines a second of one event; warnings and errors have four times as
  /// many. A site of today's size opens some 20 flows a second an instance.
  uint32_t lines_per_second = 100;
  /// Bytes kept for a reader that is behind; a second of lines at the bound.
  size_t max_buffered_bytes = 64 << 10;
};

class bounded_log {
 public:
  /// Writes to `descriptor`, which is set to non-blocking.
  bounded_log(int descriptor, std::string instance,
              const bounded_log_settings& settings);

  /// Hands the line to the reader at once, unless the reader is behind.
  void Write(const log_record& record);
  /// Hands what the reader did not take before, as far as it takes it now.
  void Flush();
  /// Once a second: opens new budgets, and says what was left out.
  void OnSecond();

  uint64_t Dropped() const { return dropped_; }

 private:
  void Append(const log_record& record);

  const int descriptor_;
  const std::string instance_;
  const bounded_log_settings settings_;
  std::string buffer_;
  std::map<std::string, uint32_t, std::less<>> written_;
  uint64_t dropped_ = 0;
  uint64_t dropped_told_ = 0;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_DAEMON_BOUNDED_LOG_H_
