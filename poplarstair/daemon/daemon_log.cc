#include "poplarstair/daemon/daemon_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>

#include "poplarstair/core/error.h"
#include "poplarstair/daemon/bounded_log.h"
#include "poplarstair/io/socket.h"

namespace poplarstair {

namespace {

constexpr duration kInterval = std::chrono::seconds(1);
constexpr mode_t kFileMode = 0644;

unique_fd OpenLog(const std::string& file) {
  if (file.empty()) return {};
  unique_fd opened(
      open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode));
  if (!opened.IsOpen()) throw system_failure("open " + file, errno);
  return opened;
}

}  // namespace

class daemon_log::impl {
 public:
  impl(event_loop& loop, const std::string& instance,
       const log_settings& settings)
      : instance_(instance), timer_(loop, [this] { lines_->OnSecond(); }) {
    Configure(settings);
    timer_.StartRepeating(kInterval);
  }

  ~impl() { lines_->Flush(); }

  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  void Configure(const log_settings& settings) {
    unique_fd file = OpenLog(settings.file);
    if (lines_) lines_->Flush();
    bounded_log_settings bounds;
    bounds.level = settings.level;
    const int descriptor = file.IsOpen() ? file.Get() : STDOUT_FILENO;
    lines_ = std::make_unique<bounded_log>(descriptor, instance_, bounds);
    file_ = std::move(file);
  }

  void Write(const log_record& record) { lines_->Write(record); }
  void Flush() { lines_->Flush(); }

 private:
  const std::string instance_;
  unique_fd file_;
  std::unique_ptr<bounded_log> lines_;
  timer_watcher timer_;
};

daemon_log::daemon_log(event_loop& loop, const std::string& instance,
                       const log_settings& settings)
    : impl_(std::make_unique<impl>(loop, instance, settings)) {}
daemon_log::~daemon_log() = default;
void daemon_log::Configure(const log_settings& settings) {
  impl_->Configure(settings);
}
log_hook daemon_log::Hook() {
  return [this](const log_record& record) { impl_->Write(record); };
}
void daemon_log::Flush() { impl_->Flush(); }

}  // namespace poplarstair
