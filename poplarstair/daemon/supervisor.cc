#include "poplarstair/daemon/supervisor.h"

#include <deque>
#include <vector>

namespace poplarstair {

namespace {

std::string TextOf(const std::exception_ptr& failure) {
  try {
    std::rethrow_exception(failure);
  } catch (const std::exception& e) {
    return e.what();
  } catch (...) {
    return "unknown exception";
  }
}

}  // namespace

class supervisor::impl {
 public:
  impl(event_loop& loop, const supervisor_settings& settings, log_hook log)
      : loop_(loop), settings_(settings), log_(std::move(log)) {}

  ~impl() {
    while (!children_.empty()) children_.pop_back();
  }

  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  void AddChild(const std::string& name, task_factory make) {
    children_.push_back(std::make_unique<child>());
    child& added = *children_.back();
    added.name = name;
    added.make = std::move(make);
    added.restart_timer = std::make_unique<timer_watcher>(
        loop_, [this, &added] { Restart(added); });
    Start(added);
  }

 private:
  struct child {
    std::string name;
    task_factory make;
    std::unique_ptr<timer_watcher> restart_timer;
    // Destroyed before its scope of the loop.
    std::unique_ptr<event_loop> scope;
    std::unique_ptr<task> running;
  };

  void Start(child& c) {
    c.scope = std::make_unique<event_loop>(
        loop_, [this, &c](const std::exception_ptr& failure) {
          const std::string cause = TextOf(failure);
          // The failing handler is still on the stack.
          loop_.Post([this, &c, cause] { OnFailure(c, cause); });
        });
    c.running = c.make(*c.scope);
    log_(log_record("task_started").With("task", c.name));
  }

  void OnFailure(child& c, const std::string& cause) {
    log_(log_record("task_failed", log_level::kError)
             .With("task", c.name)
             .With("error", cause));
    c.running.reset();
    c.scope.reset();
    const time_point now = loop_.Now();
    restarts_.push_back(now);
    while (restarts_.front() < now - settings_.window) restarts_.pop_front();
    if (restarts_.size() > settings_.max_restarts) {
      throw too_many_restarts(c.name, cause);
    }
    c.restart_timer->StartOnce(settings_.restart_delay);
  }

  void Restart(child& c) {
    try {
      Start(c);
    } catch (const std::exception& failure) {
      OnFailure(c, failure.what());
    }
  }

  event_loop& loop_;
  const supervisor_settings settings_;
  const log_hook log_;
  std::vector<std::unique_ptr<child>> children_;
  std::deque<time_point> restarts_;
};

supervisor::supervisor(event_loop& loop, const supervisor_settings& settings,
                       log_hook log)
    : impl_(std::make_unique<impl>(loop, settings, std::move(log))) {}
supervisor::~supervisor() = default;

void supervisor::AddChild(const std::string& name, task_factory make) {
  impl_->AddChild(name, std::move(make));
}

}  // namespace poplarstair
