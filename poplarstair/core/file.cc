#include "poplarstair/core/file.h"

#include <cerrno>
#include <fstream>
#include <sstream>

#include "poplarstair/core/error.h"

namespace poplarstair {

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw system_failure("open " + path, errno);
  std::ostringstream text;
  text << file.rdbuf();
  if (file.bad() || text.fail()) throw system_failure("read " + path, EIO);
  return text.str();
}

}  // namespace poplarstair
