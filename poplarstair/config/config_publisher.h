// Publishes an operator's edit through the platform's object API.
#ifndef POPLARSTAIR_CONFIG_CONFIG_PUBLISHER_H_
#define POPLARSTAIR_CONFIG_CONFIG_PUBLISHER_H_

#include <functional>
#include <string>

#include "poplarstair/config/config_head.h"
#include "poplarstair/config/config_loader.h"
#include "poplarstair/config/content_tree.h"
#include "poplarstair/core/error.h"
#include "poplarstair/object_store/platform_message.h"

namespace poplarstair {

/// Thrown if the base or this site's overlay has changed since the generation
/// that the operator edited.
class edit_conflict : public error {
 public:
  edit_conflict(generation based_on, const config_edit& other)
      : error("edit_conflict",
              "nothing was changed: your files started from generation " +
                  std::to_string(based_on) + ", but generation " +
                  std::to_string(other.number) + " (" + other.subject +
                  ", by " + other.author +
                  ") was accepted since; get it with `poplarctl fetch`, put "
                  "your change in and apply with its generation") {}
};

/// Thrown if the platform did not reply before the edit was committed.
class platform_unavailable : public error {
 public:
  explicit platform_unavailable(std::string_view step)
      : error("platform_unavailable",
              "the platform did not answer while " + std::string(step)) {}
};

/// Thrown if the platform keeps returning a head older than the generation that
/// the operator edited.
class platform_answers_old : public error {
 public:
  platform_answers_old(generation given, generation based_on)
      : error("platform_answers_old",
              "nothing was changed: the platform gives generation " +
                  std::to_string(given) + ", older than generation " +
                  std::to_string(based_on) +
                  " that your files started from; apply again later") {}
};

/// Thrown if the reply to the commit was lost and the outcome could not be read
/// back.
class edit_outcome_unknown : public error {
 public:
  explicit edit_outcome_unknown(const std::string& edit_id)
      : error("edit_outcome_unknown",
              "the platform did not answer; look for edit " + edit_id +
                  " in `poplarctl history` before you apply again") {}
};

struct edit_request {
  std::string site;
  config_source base;
  config_source overlay;
  /// Unique for this edit.
  std::string edit_id;
  std::string author;
  /// The generation that the operator's files started from; 0 if nothing had
  /// been accepted.
  generation based_on = 0;
};

using platform_caller = std::function<platform_reply(const platform_request&)>;

/// The accepted files of a site, with the generation that they were read from.
struct site_files {
  generation number = 0;
  std::string base;
  std::string overlay;
};

/// Reads the current head. Its number is 0 if no edit has been accepted yet.
/// Throws platform_unavailable.
config_head ReadHead(const platform_caller& call_platform);

/// Reads the parts under `root` that `parts` lacks, and adds them to it. Throws
/// platform_unavailable.
void ReadContent(const std::string& root, part_map& parts,
                 const platform_caller& call_platform);

/// Reads the accepted files of `site`. Their number is 0 if there are none.
/// Throws platform_unavailable.
site_files ReadFiles(const std::string& site,
                     const platform_caller& call_platform);

/// Checks the edit as a whole, for every site if it changes the base, and
/// makes it the current configuration with one conditional update. An edit
/// that started from an older generation is accepted only if no edit since
/// touched the base or this site's overlay. Returns the edit's generation.
/// Throws config_error, edit_conflict, platform_unavailable or
/// platform_answers_old (nothing has changed), or edit_outcome_unknown.
generation PublishEdit(const edit_request& edit,
                       const platform_caller& call_platform);

}  // namespace poplarstair

#endif  // POPLARSTAIR_CONFIG_CONFIG_PUBLISHER_H_
