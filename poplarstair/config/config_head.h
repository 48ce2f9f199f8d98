// The head object, which records the accepted configuration.
#ifndef POPLARSTAIR_CONFIG_CONFIG_HEAD_H_
#define POPLARSTAIR_CONFIG_CONFIG_HEAD_H_

#include <map>
#include <string>
#include <vector>

#include "poplarstair/core/error.h"
#include "poplarstair/core/ids.h"

namespace poplarstair {

/// Key of the head object. An edit is accepted when a conditional update of
/// the head that carries it takes effect; there is no other commit point.
inline constexpr std::string_view kHeadKey = "config/head";

/// Key of the object that holds an immutable part of a file.
std::string ContentKey(const std::string& content_hash);
/// The content hash of a part: 128 bits in hexadecimal.
std::string ContentHash(std::string_view text);

/// One accepted edit.
struct config_edit {
  generation number = 0;
  /// Chosen by the author of the edit. Shows whether an edit whose reply was
  /// lost has been accepted.
  std::string edit_id = {};
  std::string author = {};
  /// "base", "overlay SITE" or "base, overlay SITE".
  std::string subject = {};
};

struct config_head {
  generation number = 0;
  /// Name of the base file's content, as AddContent returns it.
  std::string base_root;
  /// Name of the content of each site's overlay, by site.
  std::map<std::string, std::string> overlay_roots;
  /// Parts that the latest edit added, by hash, so that an instance that reads
  /// the head needs no other object. Empty if the parts are too large.
  std::map<std::string, std::string, std::less<>> new_parts;
  /// The latest edits, oldest first.
  std::vector<config_edit> history;

  std::string ToJson() const;
  /// Throws malformed_message, and unsupported_head for a newer format.
  static config_head FromJson(std::string_view text);
};

/// Thrown for a head that a newer program has written. The configuration in
/// force stays.
class unsupported_head : public error {
 public:
  explicit unsupported_head(int64_t format)
      : error("unsupported_head",
              "the configuration head has format " + std::to_string(format) +
                  "; this program reads format 1; upgrade it") {}
};

/// Number of latest edits that the head stores.
inline constexpr size_t kHistoryLength = 64;

}  // namespace poplarstair

#endif  // POPLARSTAIR_CONFIG_CONFIG_HEAD_H_
