#include "poplarstair/core/log_record.h"

#include <cstdio>

namespace poplarstair {

namespace {

bool NeedsQuotes(std::string_view value) {
  return value.empty() || value.find_first_of(" \t\r\n\"=\\") != value.npos;
}

std::string Quoted(std::string_view value) {
  std::string quoted = "\"";
  for (const char c : value) {
    if (c == '\n') {
      quoted += "\\n";
      continue;
    }
    if (c == '"' || c == '\\') quoted += '\\';
    quoted += c;
  }
  return quoted + "\"";
}

}  // namespace

log_record& log_record::With(std::string_view key, std::string_view value) {
  fields_.emplace_back(key, value);
  return *this;
}

log_record& log_record::With(std::string_view key, double value) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.6g", value);
  return With(key, std::string_view(text));
}

std::string log_record::ToLine() const {
  std::string line = "event=" + event_;
  for (const auto& [key, value] : fields_) {
    line += " " + key + "=" + (NeedsQuotes(value) ? Quoted(value) : value);
  }
  return line;
}

}  // namespace poplarstair
