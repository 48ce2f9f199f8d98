#include "poplarstair/daemon/bounded_log.h"

#include <criterion/criterion.h>
#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <string>

using namespace poplarstair;

namespace {

/// Both ends of a pipe.
struct pipe_ends {
  pipe_ends() {
    std::array<int, 2> ends{};
    cr_assert_eq(pipe(ends.data()), 0);
    reader = ends[0];
    writer = ends[1];
    fcntl(reader, F_SETFL, O_NONBLOCK);
  }
  ~pipe_ends() {
    close(reader);
    close(writer);
  }
  pipe_ends(const pipe_ends&) = delete;
  pipe_ends& operator=(const pipe_ends&) = delete;

  std::string ReadAll() const {
    std::string text;
    std::array<char, 4096> buffer{};
    ssize_t n = 0;
    while ((n = read(reader, buffer.data(), buffer.size())) > 0) {
      text.append(buffer.data(), static_cast<size_t>(n));
    }
    return text;
  }

  int reader = -1;
  int writer = -1;
};

size_t CountOf(const std::string& text, const std::string& part) {
  size_t count = 0;
  for (size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

}  // namespace

Test(bounded_log, writes_one_line_an_event) {
  const pipe_ends ends;
  bounded_log log(ends.writer, "entry-1", {});
  log.Write(log_record("flow_reset").With("reason", "server_silent"));
  log.Write(log_record("details", log_level::kDebug));
  log.Flush();
  const std::string text = ends.ReadAll();
  cr_assert(text.starts_with("time="));
  cr_assert(
      text.ends_with("level=info instance=entry-1 event=flow_reset "
                     "reason=server_silent\n"));
}

Test(bounded_log, a_line_outlives_the_process_that_is_killed_after_it) {
  const pipe_ends ends;
  const pid_t child = fork();
  if (child == 0) {
    bounded_log log(ends.writer, "entry-1", {});
    log.Write(log_record("flow_refused").With("reason", "no_room"));
    raise(SIGKILL);
  }
  cr_assert_eq(waitpid(child, nullptr, 0), child);
  cr_assert_eq(CountOf(ends.ReadAll(), "event=flow_refused reason=no_room\n"),
               1u);
}

Test(bounded_log, leaves_out_what_exceeds_its_bound_and_says_so) {
  const pipe_ends ends;
  bounded_log log(ends.writer, "entry-1", {log_level::kInfo, 10, 64 << 10});
  for (int i = 0; i < 50; ++i) log.Write(log_record("flow_placed"));
  for (int i = 0; i < 50; ++i) {
    log.Write(log_record("server_silent", log_level::kWarning));
  }
  log.OnSecond();
  const std::string text = ends.ReadAll();
  cr_assert_eq(CountOf(text, "event=flow_placed"), 10u);
  // What matters more has a larger bound.
  cr_assert_eq(CountOf(text, "event=server_silent"), 40u);
  cr_assert_eq(CountOf(text, "event=log_lines_dropped lines=50"), 1u);
  log.Write(log_record("flow_placed"));
  log.Flush();
  cr_assert_eq(CountOf(ends.ReadAll(), "event=flow_placed"), 1u);
}

Test(bounded_log, a_reader_that_stands_still_costs_lines_and_nothing_else) {
  const pipe_ends ends;
  bounded_log log(ends.writer, "entry-1", {log_level::kInfo, 100'000, 4096});
  for (int i = 0; i < 20'000; ++i) log.Write(log_record("flow_placed"));
  log.OnSecond();
  cr_assert_gt(log.Dropped(), 0u);
  ends.ReadAll();
  log.OnSecond();
  log.Write(log_record("after"));
  log.OnSecond();
  const std::string text = ends.ReadAll();
  cr_assert_eq(CountOf(text, "event=after"), 1u);
}
