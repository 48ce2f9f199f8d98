// The base of every exception that the project throws.
#ifndef POPLARSTAIR_CORE_ERROR_H_
#define POPLARSTAIR_CORE_ERROR_H_

#include <stdexcept>
#include <string>
#include <string_view>

namespace poplarstair {

/// Each failure has its own type derived from this one; a subsystem's types
/// stand in its own errors.h. `Kind()` is the stable name in logs and counters.
class error : public std::runtime_error {
 public:
  error(std::string_view kind, const std::string& what)
      : std::runtime_error(what), kind_(kind) {}

  std::string_view Kind() const { return kind_; }

 private:
  std::string_view kind_;
};

/// A text that is not an IP address or an endpoint.
class invalid_address : public error {
 public:
  explicit invalid_address(std::string_view text)
      : error("invalid_address",
              "not an IP address and port: \"" + std::string(text) + "\"") {}
};

/// Bytes from outside that do not follow their format.
class malformed_message : public error {
 public:
  malformed_message(std::string_view format, const std::string& reason)
      : error("malformed_message",
              "malformed " + std::string(format) + ": " + reason) {}
};

/// A system call that failed; carries errno's text.
class system_failure : public error {
 public:
  system_failure(std::string_view operation, int error_number);
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_CORE_ERROR_H_
