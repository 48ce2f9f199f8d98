#include "poplarstair/ctl/command_line.h"

#include <absl/flags/parse.h>

#include <cstdio>
#include <cstdlib>
#include <string_view>

namespace poplarstair {

std::vector<std::string> ParseCommandLine(const std::string& program,
                                          const std::string& usage, int argc,
                                          char** argv) {
  for (int i = 1; i < argc; ++i) {
    const std::string_view argument = argv[i];
    if (argument == "--") break;
    if (argument == "--help" || argument == "-h") {
      std::fputs(usage.c_str(), stdout);
      std::exit(kExitSuccess);
    }
    if (argument == "--version") {
      std::printf("%s %s\n", program.c_str(), POPLARSTAIR_VERSION);
      std::exit(kExitSuccess);
    }
  }
  const std::vector<char*> rest = absl::ParseCommandLine(argc, argv);
  return {rest.begin() + 1, rest.end()};
}

}  // namespace poplarstair
