#include "poplarstair/config/config_error.h"

namespace poplarstair {

namespace {

std::string Join(const std::vector<config_problem>& problems) {
  std::string text;
  for (const config_problem& problem : problems) {
    if (!text.empty()) text += "\n";
    text += problem.ToString();
  }
  return text;
}

}  // namespace

std::string config_problem::ToString() const {
  std::string text = file;
  if (line != 0) text += ":" + std::to_string(line);
  text += ": " + std::string(NameOf(fault));
  if (!key.empty()) text += ": " + key;
  if (!value.empty()) text += " = " + value;
  if (!hint.empty()) text += ": " + hint;
  return text;
}

config_error::config_error(std::vector<config_problem> problems)
    : error("config_error", Join(problems)), problems_(std::move(problems)) {}

}  // namespace poplarstair
