// Whole files as text.
#ifndef POPLARSTAIR_CORE_FILE_H_
#define POPLARSTAIR_CORE_FILE_H_

#include <string>

namespace poplarstair {

/// Throws system_failure.
std::string ReadFile(const std::string& path);

}  // namespace poplarstair

#endif  // POPLARSTAIR_CORE_FILE_H_
