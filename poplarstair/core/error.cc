#include "poplarstair/core/error.h"

#include <system_error>

namespace poplarstair {

system_failure::system_failure(std::string_view operation, int error_number)
    : error("system_failure",
            std::string(operation) + ": " +
                std::generic_category().message(error_number)) {}

}  // namespace poplarstair
