// What the programs' command lines have in common.
#ifndef POPLARSTAIR_CTL_COMMAND_LINE_H_
#define POPLARSTAIR_CTL_COMMAND_LINE_H_

#include <string>
#include <vector>

namespace poplarstair {

// Exit codes of every program.
inline constexpr int kExitSuccess = 0;
inline constexpr int kExitFailure = 1;
inline constexpr int kExitUsage = 2;

/// Parses Abseil flags and returns the other arguments. `--help` prints
/// `usage` and `--version` the version; both end the process with success. A
/// wrong flag ends it with kExitFailure.
std::vector<std::string> ParseCommandLine(const std::string& program,
                                          const std::string& usage, int argc,
                                          char** argv);

}  // namespace poplarstair

#endif  // POPLARSTAIR_CTL_COMMAND_LINE_H_
