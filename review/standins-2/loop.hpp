// A poll loop with timers, and a log of what happened, for the stand-ins of the
// review cases.
#ifndef REVIEW_STANDINS_2_LOOP_HPP_
#define REVIEW_STANDINS_2_LOOP_HPP_

#include <poll.h>
#include <time.h>

#include <algorithm>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace review {

/// Ends the program with 2: the case could not run.
[[noreturn]] inline void CannotRun(const std::string& why) {
  std::fprintf(stderr, "cannot run: %s\n", why.c_str());
  std::exit(2);
}

/// Milliseconds of the steady clock.
inline double SteadyMs() {
  timespec t{};
  clock_gettime(CLOCK_MONOTONIC, &t);
  return static_cast<double>(t.tv_sec) * 1e3 +
         static_cast<double>(t.tv_nsec) / 1e6;
}

class event_loop {
 public:
  using callback = std::function<void()>;

  /// Milliseconds since the loop was made.
  double Now() const { return SteadyMs() - started_at_; }

  void OnReadable(int fd, callback todo) { readers_[fd] = std::move(todo); }
  void Forget(int fd) { readers_.erase(fd); }

  uint64_t After(double ms, callback todo) {
    const uint64_t id = ++last_timer_;
    const double due = Now() + ms;
    timers_[{due, id}] = std::move(todo);
    due_[id] = due;
    return id;
  }
  void Cancel(uint64_t id) {
    const auto it = due_.find(id);
    if (it == due_.end()) return;
    timers_.erase({it->second, id});
    due_.erase(it);
  }
  /// Calls `todo` every `ms`.
  void Every(double ms, const callback& todo) {
    After(ms, [this, ms, todo] {
      todo();
      Every(ms, todo);
    });
  }

  void RunUntil(double end_ms) {
    while (Now() < end_ms) {
      RunTimers();
      double wait = end_ms - Now();
      if (!timers_.empty()) {
        wait = std::min(wait, timers_.begin()->first.first - Now());
      }
      Poll(std::max(wait, 0.0));
    }
  }

 private:
  void RunTimers() {
    while (!timers_.empty() && timers_.begin()->first.first <= Now()) {
      const auto it = timers_.begin();
      const callback todo = std::move(it->second);
      due_.erase(it->first.second);
      timers_.erase(it);
      todo();
    }
  }

  void Poll(double wait) {
    std::vector<pollfd> polled;
    for (const auto& [fd, todo] : readers_) polled.push_back({fd, POLLIN, 0});
    timespec limit{};
    limit.tv_sec = static_cast<time_t>(wait / 1e3);
    limit.tv_nsec = static_cast<long>((wait - limit.tv_sec * 1e3) * 1e6);
    if (ppoll(polled.data(), polled.size(), &limit, nullptr) <= 0) return;
    for (const pollfd& p : polled) {
      if (p.revents == 0) continue;
      const auto it = readers_.find(p.fd);
      if (it == readers_.end()) continue;
      const callback todo = it->second;
      todo();
    }
  }

  const double started_at_ = SteadyMs();
  std::map<int, callback> readers_;
  std::map<std::pair<double, uint64_t>, callback> timers_;
  std::map<uint64_t, double> due_;
  uint64_t last_timer_ = 0;
};

/// The record of a run: a line for each event, with its time in seconds.
class event_record {
 public:
  event_record(const event_loop& loop, const std::string& file)
      : loop_(loop), file_(std::fopen(file.c_str(), "w")) {
    if (file_ == nullptr) CannotRun("open " + file);
  }
  ~event_record() { std::fclose(file_); }
  event_record(const event_record&) = delete;
  event_record& operator=(const event_record&) = delete;

  __attribute__((format(printf, 2, 3))) void Line(const char* format, ...) {
    std::fprintf(file_, "%9.4f ", loop_.Now() / 1e3);
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
  }

 private:
  const event_loop& loop_;
  FILE* const file_;
};

}  // namespace review

#endif  // REVIEW_STANDINS_2_LOOP_HPP_
