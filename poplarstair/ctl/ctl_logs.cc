// Explaining a failed request from the instances' logs.
#include <cstdio>

#include "poplarstair/core/file.h"
#include "poplarstair/ctl/command_line.h"
#include "poplarstair/ctl/ctl.h"
#include "poplarstair/diagnosis/failure_explainer.h"

namespace poplarstair {

namespace {

/// The request's time; without one, that of the last line about it.
log_time AskedAt(const std::vector<log_line>& lines,
                 const ctl_options& options) {
  if (!options.asked_at.empty()) {
    const auto asked =
        ParseLogLine("time=" + options.asked_at + " event=asked");
    if (!asked) throw bad_option("asked_at", options.asked_at);
    return asked->at;
  }
  log_time last{};
  for (const log_line& line : lines) {
    if (line.HasFieldValue(options.flow)) last = line.at;
  }
  return last;
}

}  // namespace

int RunExplainFailure(const ctl_options& options) {
  if (options.flow.empty()) throw bad_option("flow", options.flow);
  std::vector<std::string> texts;
  for (const std::string& file : options.log_files) {
    texts.push_back(ReadFile(file));
  }
  const std::vector<log_line> lines = ParseLogs(texts);
  const log_time asked = AskedAt(lines, options);
  const auto span = std::chrono::duration_cast<log_time>(options.waited);
  const explanation found =
      ExplainFailure(lines, {options.flow, asked, asked + span});
  std::printf("cause=%s\n%s\n", NameOf(found.cause).data(),
              found.summary.c_str());
  for (const log_line* line : found.evidence) {
    std::printf("  %s\n", line->text.c_str());
  }
  return found.cause == failure_cause::kUnknown ? kExitFailure : kExitSuccess;
}

}  // namespace poplarstair
