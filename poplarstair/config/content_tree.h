// Stores files as trees of parts named by hash, so that a small change to a
// file transfers few bytes.
#ifndef POPLARSTAIR_CONFIG_CONTENT_TREE_H_
#define POPLARSTAIR_CONFIG_CONTENT_TREE_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace poplarstair {

/// The largest part, in bytes; far smaller than the largest frame or platform
/// object.
inline constexpr size_t kMaxPartBytes = 16 << 10;

/// Parts by content hash. A part is either text or a list of hashes.
using part_map = std::map<std::string, std::string, std::less<>>;

/// Cuts `text` at table headers chosen by their content, so that an edit
/// changes only the parts near it. Adds all parts, and the lists of their
/// hashes, to `parts`. Returns the name of the root, "DEPTH-HASH".
std::string AddContent(std::string_view text, part_map& parts);

/// Returns at most `limit` hashes under `root` that `parts` lacks. Hashes in
/// lists that are missing themselves are not known yet. Empty if the content is
/// complete. Throws malformed_message.
std::vector<std::string> MissingParts(const std::string& root,
                                      const part_map& parts, size_t limit);

/// Returns the hashes of the parts under `root` that `parts` has, including the
/// root's.
std::vector<std::string> ReachableParts(const std::string& root,
                                        const part_map& parts);

/// Returns the text, or nothing if a part is missing. Throws malformed_message.
std::optional<std::string> AssembleContent(const std::string& root,
                                           const part_map& parts);

}  // namespace poplarstair

#endif  // POPLARSTAIR_CONFIG_CONTENT_TREE_H_
