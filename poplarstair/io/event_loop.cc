#include "poplarstair/io/event_loop.h"

#include <ev.h>

#include <deque>
#include <exception>
#include <utility>

#include "poplarstair/core/assert.h"

namespace poplarstair {

namespace {

ev_tstamp ToEvTime(duration d) { return ToSeconds(d); }

}  // namespace

/// libev is written in C, so exceptions must not propagate through it. Call
/// catches the first one; Run rethrows it, or `on_failure` receives it.
class event_loop::impl {
 public:
  impl() : impl(ev_loop_new(EVFLAG_AUTO), /*owns_loop=*/true, nullptr) {}

  impl(impl& root, failure_handler on_failure)
      : impl(root.loop_, /*owns_loop=*/false, std::move(on_failure)) {}

  ~impl() {
    ev_prepare_stop(loop_, &before_wait_);
    ev_idle_stop(loop_, &keep_awake_);
    if (owns_loop_) ev_loop_destroy(loop_);
  }

  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  struct ev_loop* Raw() const {
    return loop_;
  }

  void Run() {
    ev_run(loop_, 0);
    if (failure_) std::rethrow_exception(std::exchange(failure_, nullptr));
  }

  void Stop() { ev_break(loop_, EVBREAK_ALL); }

  void Post(std::function<void()> work) {
    posted_.push_back(std::move(work));
    // While an idle watcher is active, libev does not block for events.
    ev_idle_start(loop_, &keep_awake_);
  }

  void Call(const std::function<void()>& handler) {
    if (failure_) return;
    try {
      handler();
    } catch (...) {
      failure_ = std::current_exception();
      if (on_failure_) {
        on_failure_(failure_);
      } else {
        Stop();
      }
    }
  }

 private:
  impl(struct ev_loop* loop, bool owns_loop, failure_handler on_failure)
      : loop_(loop), owns_loop_(owns_loop), on_failure_(std::move(on_failure)) {
    POPLARSTAIR_ASSERT(loop_ != nullptr);
    ev_prepare_init(&before_wait_, [](struct ev_loop*, ev_prepare* w, int) {
      static_cast<impl*>(w->data)->RunPosted();
    });
    ev_idle_init(&keep_awake_, [](struct ev_loop*, ev_idle*, int) {});
    before_wait_.data = this;
    ev_prepare_start(loop_, &before_wait_);
  }

  void RunPosted() {
    while (!posted_.empty() && !failure_) {
      const std::function<void()> work = std::move(posted_.front());
      posted_.pop_front();
      Call(work);
    }
    ev_idle_stop(loop_, &keep_awake_);
  }

  struct ev_loop* loop_;
  const bool owns_loop_;
  const failure_handler on_failure_;
  ev_prepare before_wait_{};
  ev_idle keep_awake_{};
  std::deque<std::function<void()>> posted_;
  std::exception_ptr failure_;
};

event_loop::event_loop() : impl_(std::make_unique<impl>()) {}
event_loop::event_loop(event_loop& root, failure_handler on_failure)
    : impl_(std::make_unique<impl>(*root.impl_, std::move(on_failure))) {}
event_loop::~event_loop() = default;

time_point event_loop::Now() const {
  // libev's own time may follow the wall clock; timeouts need a steady clock.
  const auto since_boot = std::chrono::steady_clock::now().time_since_epoch();
  return time_point(std::chrono::duration_cast<duration>(since_boot));
}

void event_loop::Run() { impl_->Run(); }
void event_loop::Stop() { impl_->Stop(); }
void event_loop::Post(std::function<void()> work) {
  impl_->Post(std::move(work));
}

class io_watcher::impl {
 public:
  impl(event_loop::impl& loop, int descriptor, handler on_ready)
      : loop_(loop), on_ready_(std::move(on_ready)) {
    ev_io_init(
        &watcher_,
        [](struct ev_loop*, ev_io* w, int events) {
          static_cast<impl*>(w->data)->Fire(events);
        },
        descriptor, 0);
    watcher_.data = this;
  }

  ~impl() { ev_io_stop(loop_.Raw(), &watcher_); }

  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  void WaitFor(readiness wanted) {
    const int events =
        (wanted.readable ? EV_READ : 0) | (wanted.writable ? EV_WRITE : 0);
    if (events == wanted_events_) return;
    wanted_events_ = events;
    ev_io_stop(loop_.Raw(), &watcher_);
    ev_io_set(&watcher_, watcher_.fd, events);
    if (events != 0) ev_io_start(loop_.Raw(), &watcher_);
  }

 private:
  void Fire(int events) {
    // The handler may destroy this watcher.
    const handler on_ready = on_ready_;
    loop_.Call([&] {
      on_ready({(events & EV_READ) != 0, (events & EV_WRITE) != 0});
    });
  }

  event_loop::impl& loop_;
  handler on_ready_;
  ev_io watcher_{};
  int wanted_events_ = 0;
};

io_watcher::io_watcher(event_loop& loop, int descriptor, handler on_ready)
    : impl_(std::make_unique<impl>(*loop.impl_, descriptor,
                                   std::move(on_ready))) {}
io_watcher::~io_watcher() = default;
void io_watcher::WaitFor(readiness wanted) { impl_->WaitFor(wanted); }

class timer_watcher::impl {
 public:
  impl(event_loop::impl& loop, std::function<void()> on_time)
      : loop_(loop), on_time_(std::move(on_time)) {
    ev_init(&watcher_, [](struct ev_loop*, ev_timer* w, int) {
      static_cast<impl*>(w->data)->Fire();
    });
    watcher_.data = this;
  }

  ~impl() { Stop(); }

  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  void Start(duration after, duration interval) {
    Stop();
    ev_now_update(loop_.Raw());
    ev_timer_set(&watcher_, ToEvTime(after), ToEvTime(interval));
    ev_timer_start(loop_.Raw(), &watcher_);
  }

  void Stop() { ev_timer_stop(loop_.Raw(), &watcher_); }

 private:
  void Fire() {
    const std::function<void()> on_time = on_time_;
    loop_.Call(on_time);
  }

  event_loop::impl& loop_;
  std::function<void()> on_time_;
  ev_timer watcher_{};
};

timer_watcher::timer_watcher(event_loop& loop, std::function<void()> on_time)
    : impl_(std::make_unique<impl>(*loop.impl_, std::move(on_time))) {}
timer_watcher::~timer_watcher() = default;
void timer_watcher::StartOnce(duration after) {
  impl_->Start(after, duration::zero());
}
void timer_watcher::StartRepeating(duration interval) {
  impl_->Start(interval, interval);
}
void timer_watcher::Stop() { impl_->Stop(); }

class signal_watcher::impl {
 public:
  impl(event_loop::impl& loop, int signal_number,
       std::function<void()> on_signal)
      : loop_(loop), on_signal_(std::move(on_signal)) {
    ev_signal_init(
        &watcher_,
        [](struct ev_loop*, ev_signal* w, int) {
          auto* self = static_cast<impl*>(w->data);
          self->loop_.Call(self->on_signal_);
        },
        signal_number);
    watcher_.data = this;
    ev_signal_start(loop_.Raw(), &watcher_);
  }

  ~impl() { ev_signal_stop(loop_.Raw(), &watcher_); }

  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

 private:
  event_loop::impl& loop_;
  std::function<void()> on_signal_;
  ev_signal watcher_{};
};

signal_watcher::signal_watcher(event_loop& loop, int signal_number,
                               std::function<void()> on_signal)
    : impl_(std::make_unique<impl>(*loop.impl_, signal_number,
                                   std::move(on_signal))) {}
signal_watcher::~signal_watcher() = default;

}  // namespace poplarstair
