#include "poplarstair/diagnosis/log_line.h"

#include <algorithm>
#include <charconv>

namespace poplarstair {

namespace {

/// Removes the next `key=value` from `text` and returns it. Values may be
/// quoted; quotes and backslashes inside them are escaped by a backslash.
std::optional<std::pair<std::string, std::string>> TakeField(
    std::string_view& text) {
  text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
  const size_t equals = text.find('=');
  if (equals == std::string_view::npos) return std::nullopt;
  std::string key(text.substr(0, equals));
  text.remove_prefix(equals + 1);
  std::string value;
  if (text.empty() || text.front() != '"') {
    const size_t end = std::min(text.find(' '), text.size());
    value = text.substr(0, end);
    text.remove_prefix(end);
    return std::pair(std::move(key), std::move(value));
  }
  text.remove_prefix(1);
  while (!text.empty() && text.front() != '"') {
    if (text.front() == '\\' && text.size() > 1) text.remove_prefix(1);
    value += text.front();
    text.remove_prefix(1);
  }
  if (!text.empty()) text.remove_prefix(1);
  return std::pair(std::move(key), std::move(value));
}

/// Parses seconds since the Unix epoch with three decimals.
std::optional<log_time> ParseTime(std::string_view text) {
  const size_t point = text.find('.');
  int64_t seconds = 0;
  int64_t milliseconds = 0;
  const auto whole = text.substr(0, point);
  if (std::from_chars(whole.data(), whole.data() + whole.size(), seconds).ec !=
      std::errc()) {
    return std::nullopt;
  }
  if (point != std::string_view::npos) {
    const auto part = text.substr(point + 1);
    if (std::from_chars(part.data(), part.data() + part.size(), milliseconds)
            .ec != std::errc()) {
      return std::nullopt;
    }
  }
  return log_time(seconds * 1000 + milliseconds);
}

}  // namespace

std::string_view log_line::Field(std::string_view key) const {
  const auto it = fields.find(key);
  return it == fields.end() ? std::string_view() : it->second;
}

bool log_line::HasFieldValue(std::string_view value) const {
  return std::any_of(fields.begin(), fields.end(), [value](const auto& field) {
    return field.second == value;
  });
}

std::optional<log_line> ParseLogLine(std::string_view text) {
  const size_t start = text.find("time=");
  if (start == std::string_view::npos) return std::nullopt;
  text.remove_prefix(start);
  log_line line;
  line.text = std::string(text);
  while (auto field = TakeField(text)) line.fields.insert(std::move(*field));
  const auto at = ParseTime(line.Field("time"));
  if (!at || line.Field("event").empty()) return std::nullopt;
  line.at = *at;
  line.instance = std::string(line.Field("instance"));
  line.event = std::string(line.Field("event"));
  return line;
}

std::vector<log_line> ParseLogs(const std::vector<std::string>& texts) {
  std::vector<log_line> lines;
  for (const std::string_view text : texts) {
    size_t start = 0;
    while (start < text.size()) {
      const size_t end = std::min(text.find('\n', start), text.size());
      if (auto line = ParseLogLine(text.substr(start, end - start))) {
        lines.push_back(std::move(*line));
      }
      start = end + 1;
    }
  }
  std::stable_sort(
      lines.begin(), lines.end(),
      [](const log_line& a, const log_line& b) { return a.at < b.at; });
  return lines;
}

}  // namespace poplarstair
