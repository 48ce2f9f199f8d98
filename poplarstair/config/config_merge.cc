#include "poplarstair/config/config_merge.h"

#include <sstream>

namespace poplarstair {

namespace {

using problem_list = std::vector<config_problem>;

/// Writes every value of `overlay` over `base`; tables merge key by key.
void MergeInto(toml::table& base, toml::table&& overlay) {
  for (auto&& [key, node] : overlay) {
    toml::node* existing = base.get(key);
    if (existing != nullptr && existing->is_table() && node.is_table()) {
      MergeInto(*existing->as_table(), std::move(*node.as_table()));
      continue;
    }
    // The node is moved, because a copy would lose its file and line.
    base.insert_or_assign(key, std::move(node));
  }
}

/// Removes the value or table at dotted `path` from `table`. Returns false if
/// there is none.
bool RemovePath(toml::table& table, std::string_view path) {
  const size_t dot = path.find('.');
  if (dot == std::string_view::npos) return table.erase(path) > 0;
  toml::node* child = table.get(path.substr(0, dot));
  if (child == nullptr || !child->is_table()) return false;
  return RemovePath(*child->as_table(), path.substr(dot + 1));
}

/// Applies the overlay's `remove` list to `base` and deletes the list.
void ApplyRemovals(toml::table& base, toml::table& overlay,
                   const std::string& overlay_file, problem_list& problems) {
  const toml::node* node = overlay.get("remove");
  if (node == nullptr) return;
  const uint32_t line = node->source().begin.line;
  const toml::array* paths = node->as_array();
  if (paths == nullptr) {
    problems.push_back({config_fault::kWrongType, overlay_file, line, "remove",
                        "", "must be a list of dotted paths"});
    return;
  }
  for (const toml::node& item : *paths) {
    const std::string path = item.value_or(std::string());
    if (!RemovePath(base, path)) {
      problems.push_back({config_fault::kUnknownName, overlay_file,
                          item.source().begin.line, "remove", path,
                          "the base has nothing of this name"});
    }
  }
  overlay.erase("remove");
}

void RenderTable(const toml::table& table, const std::string& path,
                 std::vector<config_value>& values) {
  for (const auto& [key, node] : table) {
    std::string name = path.empty() ? "" : path + ".";
    name += key.str();
    const bool is_empty_table = node.is_table() && node.as_table()->empty();
    if (node.is_table() && !is_empty_table) {
      RenderTable(*node.as_table(), name, values);
      continue;
    }
    std::ostringstream text;
    node.visit([&](const auto& value) { text << value; });
    const toml::source_region& source = node.source();
    values.push_back({std::move(name), text.str(),
                      source.path ? *source.path : std::string(),
                      source.begin.line});
  }
}

}  // namespace

toml::table MergeSources(const config_source& base,
                         const config_source& overlay, problem_list& problems) {
  toml::table merged = ParseToml(base.text, base.file);
  toml::table changes = ParseToml(overlay.text, overlay.file);
  ApplyRemovals(merged, changes, overlay.file, problems);
  MergeInto(merged, std::move(changes));
  return merged;
}

std::vector<config_value> RenderConfig(const config_source& base,
                                       const config_source& overlay) {
  problem_list problems;
  const toml::table merged = MergeSources(base, overlay, problems);
  if (!problems.empty()) throw config_error(std::move(problems));
  std::vector<config_value> values;
  RenderTable(merged, "", values);
  return values;
}

}  // namespace poplarstair
