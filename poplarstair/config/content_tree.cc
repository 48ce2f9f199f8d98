#include "poplarstair/config/content_tree.h"

#include <algorithm>
#include <functional>

#include "poplarstair/config/config_head.h"
#include "poplarstair/core/error.h"
#include "poplarstair/core/hash.h"

namespace poplarstair {

namespace {

constexpr size_t kMinPartBytes = 2 << 10;
/// On average, one table header in this many begins a new part.
constexpr uint64_t kTablesPerPart = 32;
/// On average, one hash in this many ends a list.
constexpr uint64_t kHashesPerList = 64;
constexpr size_t kMaxHashesPerList = 256;
constexpr size_t kHashBytes = 32;
constexpr int kMaxDepth = 8;

struct tree_node {
  std::string hash;
  int depth = 0;
};

tree_node ParseRoot(const std::string& root) {
  const bool is_name = root.size() == kHashBytes + 2 && root[1] == '-' &&
                       root[0] >= '0' && root[0] < '0' + kMaxDepth;
  if (!is_name) throw malformed_message("content name", root);
  return {root.substr(2), root[0] - '0'};
}

std::vector<std::string_view> CutText(std::string_view text) {
  std::vector<std::string_view> pieces;
  size_t start = 0;
  size_t line = 0;
  while (line < text.size()) {
    const size_t newline = text.find('\n', line);
    const size_t next =
        newline == std::string_view::npos ? text.size() : newline + 1;
    const std::string_view content = text.substr(line, next - line);
    const bool is_cut = content.starts_with('[') &&
                        line - start >= kMinPartBytes &&
                        HashBytes(content) % kTablesPerPart == 0;
    if (line > start && (is_cut || next - start > kMaxPartBytes)) {
      pieces.push_back(text.substr(start, line - start));
      start = line;
    }
    for (; next - start > kMaxPartBytes; start += kMaxPartBytes) {
      pieces.push_back(text.substr(start, kMaxPartBytes));
    }
    line = next;
  }
  if (start < text.size() || pieces.empty()) {
    pieces.push_back(text.substr(start));
  }
  return pieces;
}

std::string AddPart(std::string_view content, part_map& parts) {
  std::string hash = ContentHash(content);
  parts.emplace(hash, content);
  return hash;
}

std::vector<std::string> AddLists(const std::vector<std::string>& hashes,
                                  part_map& parts) {
  std::vector<std::string> lists;
  std::string list;
  for (const std::string& hash : hashes) {
    list += hash;
    if (HashBytes(hash) % kHashesPerList == 0 ||
        list.size() >= kMaxHashesPerList * kHashBytes) {
      lists.push_back(AddPart(list, parts));
      list.clear();
    }
  }
  if (!list.empty()) lists.push_back(AddPart(list, parts));
  return lists;
}

/// Called for every node, children in order, with null as the content of a
/// missing node. Returning false ends the walk.
using visitor = std::function<bool(const tree_node&, const std::string*)>;

bool Walk(const tree_node& node, const part_map& parts, const visitor& visit) {
  const auto it = parts.find(node.hash);
  const std::string* content = it == parts.end() ? nullptr : &it->second;
  if (!visit(node, content)) return false;
  if (node.depth == 0 || content == nullptr) return true;
  if (content->size() % kHashBytes != 0) {
    throw malformed_message("content list", "uneven length");
  }
  for (size_t at = 0; at < content->size(); at += kHashBytes) {
    const tree_node child{content->substr(at, kHashBytes), node.depth - 1};
    if (!Walk(child, parts, visit)) return false;
  }
  return true;
}

}  // namespace

std::string AddContent(std::string_view text, part_map& parts) {
  std::vector<std::string> level;
  for (const std::string_view piece : CutText(text)) {
    level.push_back(AddPart(piece, parts));
  }
  int depth = 0;
  for (; level.size() > 1; ++depth) {
    // A short level becomes one list, which ensures that the tree ends.
    if (level.size() <= kMaxHashesPerList / 4) {
      std::string list;
      for (const std::string& hash : level) list += hash;
      level = {AddPart(list, parts)};
    } else {
      level = AddLists(level, parts);
    }
  }
  return std::to_string(depth) + "-" + level.front();
}

std::vector<std::string> MissingParts(const std::string& root,
                                      const part_map& parts, size_t limit) {
  std::vector<std::string> missing;
  Walk(ParseRoot(root), parts,
       [&](const tree_node& node, const std::string* content) {
         if (content == nullptr && std::find(missing.begin(), missing.end(),
                                             node.hash) == missing.end()) {
           missing.push_back(node.hash);
         }
         return missing.size() < limit;
       });
  return missing;
}

std::vector<std::string> ReachableParts(const std::string& root,
                                        const part_map& parts) {
  std::vector<std::string> reachable;
  Walk(ParseRoot(root), parts,
       [&](const tree_node& node, const std::string* content) {
         if (content != nullptr) reachable.push_back(node.hash);
         return true;
       });
  return reachable;
}

std::optional<std::string> AssembleContent(const std::string& root,
                                           const part_map& parts) {
  std::string text;
  const bool is_whole =
      Walk(ParseRoot(root), parts,
           [&](const tree_node& node, const std::string* content) {
             if (content == nullptr) return false;
             if (node.depth == 0) text += *content;
             return true;
           });
  if (!is_whole) return std::nullopt;
  return text;
}

}  // namespace poplarstair
