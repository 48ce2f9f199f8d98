#include "poplarstair/daemon/bounded_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <utility>

namespace poplarstair {

namespace {

/// Failures and changes of belief are rarer and matter more than routine.
constexpr uint32_t kWarningFactor = 4;

std::string WallClock() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  const std::string fraction = std::to_string(1000 + ms % 1000).substr(1);
  return std::to_string(ms / 1000) + "." + fraction;
}

}  // namespace

bounded_log::bounded_log(int descriptor, std::string instance,
                         const bounded_log_settings& settings)
    : descriptor_(descriptor),
      instance_(std::move(instance)),
      settings_(settings) {
  const int flags = fcntl(descriptor_, F_GETFL);
  if (flags >= 0) fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
}

void bounded_log::Write(const log_record& record) {
  if (record.Level() < settings_.level) return;
  const bool is_routine = record.Level() < log_level::kWarning;
  const uint32_t limit =
      settings_.lines_per_second * (is_routine ? 1 : kWarningFactor);
  auto it = written_.find(record.Event());
  if (it == written_.end()) {
    it = written_.emplace(std::string(record.Event()), 0).first;
  }
  if (it->second >= limit || buffer_.size() >= settings_.max_buffered_bytes) {
    ++dropped_;
    return;
  }
  ++it->second;
  Append(record);
  // The event is logged before others see it, e.g. before a reset is sent: a
  // line that waits here would be lost if the process is killed.
  Flush();
}

void bounded_log::Append(const log_record& record) {
  buffer_ += "time=" + WallClock() +
             " level=" + std::string(NameOf(record.Level())) +
             " instance=" + instance_ + " " + record.ToLine() + "\n";
}

void bounded_log::Flush() {
  while (!buffer_.empty()) {
    const ssize_t n = write(descriptor_, buffer_.data(), buffer_.size());
    if (n < 0 && errno == EINTR) continue;
    // A reader that stands still costs lines, counted in Write, and no time.
    if (n <= 0) return;
    buffer_.erase(0, static_cast<size_t>(n));
  }
}

void bounded_log::OnSecond() {
  written_.clear();
  if (dropped_ != dropped_told_) {
    Append(log_record("log_lines_dropped", log_level::kWarning)
               .With("lines", dropped_ - dropped_told_)
               .With("total", dropped_));
    dropped_told_ = dropped_;
  }
  Flush();
}

}  // namespace poplarstair
