// An operator of a site: edits its configuration through the platform.
#ifndef POPLARSTAIR_TESTING_SITE_OPERATOR_H_
#define POPLARSTAIR_TESTING_SITE_OPERATOR_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "poplarstair/core/error.h"
#include "poplarstair/testing/site_state.h"

namespace poplarstair {

/// An edit that nothing raced with was refused, so that the scenario would
/// show nothing.
class planned_edit_refused : public error {
 public:
  planned_edit_refused(const std::string& key, const std::string& kind)
      : error("planned_edit_refused",
              "the edit of " + key + " was refused: " + kind) {}
};

class site_operator {
 public:
  /// Publishes the site's sample files.
  explicit site_operator(site_state& site);

  /// Sets a dotted key of the overlay; true if the edit was accepted.
  bool Edit(const std::string& key, const std::string& value);
  /// Gives a server ("service/server"), with its addresses, to a service.
  void MoveServer(const std::string& server, const std::string& service);
  /// Two conflicting edits that start from the same generation.
  void RaceEdits();
  /// Records which generation each instance has that should have the latest.
  void CheckConfig();

 private:
  /// Publishes the overlay with all edits so far.
  bool Publish(generation based_on, const std::string& what);
  /// The head tells what was accepted, whatever the operator was told.
  bool NoteAccepted(generation based_on, const std::string& what);
  /// Throws planned_edit_refused if the last edit was in conflict.
  void MustNotBeRefused(const std::string& key) const;
  /// Records what an accepted edit takes out or brings back.
  void NoteEdit(const std::string& key, const std::string& value);

  site_state& site_;
  std::map<std::string, std::string> overrides_;
  generation accepted_ = 0;
  std::vector<std::pair<time_point, generation>> accepted_at_;
  uint64_t last_edit_ = 0;
  /// Kind of the error that ended the last edit; empty if there was none.
  std::string refusal_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_TESTING_SITE_OPERATOR_H_
