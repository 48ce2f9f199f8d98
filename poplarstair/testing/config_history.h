// Checks the history of a fleet's configurations against a small model.
#ifndef POPLARSTAIR_TESTING_CONFIG_HISTORY_H_
#define POPLARSTAIR_TESTING_CONFIG_HISTORY_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "poplarstair/core/enum_names.h"
#include "poplarstair/core/ids.h"

namespace poplarstair {

enum class config_violation : uint8_t {
  /// An instance went to a lower generation.
  kReverted,
  /// Two edits were told that they have the same generation.
  kAcceptedTwice,
  /// An accepted edit is not what its generation holds, or is missing.
  kLostEdit,
  /// An edit that was told to be refused came into force.
  kRefusedInForce,
};

template <>
struct enum_names<config_violation> {
  static constexpr std::string_view kNames[] = {
      "reverted", "accepted_twice", "lost_edit", "refused_in_force"};
};

/// The model: generations are a list of edits that only grows, and each
/// instance's place in it only grows, also over its restarts.
class config_history {
 public:
  // What operators were told. An edit whose outcome is unknown is not told.
  void Accepted(generation number, const std::string& edit);
  void Refused(const std::string& edit) { refused_.push_back(edit); }
  /// Instance `index` brought `number` into force, which holds `edit`.
  void InForce(size_t index, generation number, const std::string& edit);

  /// Everything that breaks the model; `at_end` holds what each instance has
  /// in force after all faults have ended.
  std::vector<config_violation> Check(
      const std::vector<generation>& at_end) const;

 private:
  std::map<generation, std::vector<std::string>> accepted_;
  std::vector<std::string> refused_;
  std::map<generation, std::string> seen_;
  std::map<size_t, generation> highest_;
  std::vector<config_violation> found_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_TESTING_CONFIG_HISTORY_H_
