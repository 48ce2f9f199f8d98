#include "poplarstair/config/config_publisher.h"

#include <criterion/criterion.h>

#include <functional>
#include <map>
#include <utility>

#include "poplarstair/config/config_error.h"

using namespace poplarstair;

namespace {

constexpr const char* kBase =
    "format = 1\n[failure_domains.a]\n[services.feed]\n"
    "addresses = [\"10.0.0.1:443\"]\n"
    "[services.feed.backend_servers.f1]\nfailure_domain = \"a\"\n"
    "address = \"127.0.0.1:7001\"\nrequest_address = \"127.0.0.1:7002\"\n"
    "[services.feed.backend_servers.f2]\nfailure_domain = \"a\"\n"
    "address = \"127.0.0.2:7001\"\nrequest_address = \"127.0.0.2:7002\"\n";

struct stored_object {
  object_version version = 0;
  std::string body;
};

/// Replies at once. `before_commit` runs before the next commit, and
/// `lose_answer` loses the replies to commits.
class platform_mock {
 public:
  platform_reply Call(const platform_request& request) {
    const bool is_commit = request.operation == platform_operation::kPut &&
                           request.key == kHeadKey;
    if (is_commit && before_commit) std::exchange(before_commit, nullptr)();
    platform_reply reply = Perform(request);
    if (is_commit && lose_answer) {
      is_down = stay_down;
      return {0, platform_status::kUnavailable, 0, ""};
    }
    return reply;
  }

  std::function<void()> before_commit;
  bool lose_answer = false;
  bool stay_down = false;
  bool is_down = false;
  std::map<std::string, stored_object> objects;

 private:
  platform_reply Perform(const platform_request& request) {
    if (is_down) return {0, platform_status::kUnavailable, 0, ""};
    stored_object& object = objects[request.key];
    if (request.operation != platform_operation::kPut) {
      if (object.version == 0) return {0, platform_status::kNotFound, 0, ""};
      return {0, platform_status::kOk, object.version, object.body};
    }
    if (object.version != request.version) {
      return {0, platform_status::kConflict, object.version, ""};
    }
    object = {object.version + 1, request.body};
    return {0, platform_status::kOk, object.version, ""};
  }
};

generation Publish(platform_mock& platform, const std::string& base,
                   const std::string& overlay, generation based_on,
                   const std::string& site = "north") {
  static int edits = 0;
  return PublishEdit(
      {site,
       {"base", base},
       {"overlay", overlay},
       std::to_string(++edits),
       "ada",
       based_on},
      [&](const auto& request) { return platform.Call(request); });
}

std::string Weight(const std::string& value) {
  return "[services.feed.backend_servers.f1]\nweight = " + value + "\n";
}

}  // namespace

Test(config_publisher, an_edit_from_an_older_generation_is_a_conflict) {
  platform_mock platform;
  cr_assert_eq(Publish(platform, kBase, Weight("1.0"), 0), 1u);
  cr_assert_eq(Publish(platform, kBase, Weight("2.0"), 1), 2u);
  cr_assert_throw(Publish(platform, kBase, Weight("3.0"), 1), edit_conflict);
  cr_assert_throw(Publish(platform, kBase, Weight("3.0"), 0), edit_conflict);
  const auto files = ReadFiles(
      "north", [&](const auto& request) { return platform.Call(request); });
  cr_assert_eq(files.number, 2u);
  cr_assert_eq(files.overlay, Weight("2.0"));
}

Test(config_publisher, an_old_answer_of_the_platform_is_no_conflict) {
  platform_mock platform;
  Publish(platform, kBase, Weight("1.0"), 0);
  const auto old_objects = platform.objects;
  Publish(platform, kBase, Weight("2.0"), 1);
  int old_answers = 2;
  const auto call = [&](const platform_request& request) {
    const bool is_old = request.key == kHeadKey && old_answers > 0 &&
                        request.operation == platform_operation::kGet;
    if (!is_old) return platform.Call(request);
    --old_answers;
    const stored_object& old = old_objects.at(std::string(kHeadKey));
    return platform_reply{0, platform_status::kOk, old.version, old.body};
  };
  const edit_request edit{"north", {"base", kBase}, {"overlay", Weight("3.0")},
                          "e",     "ada",           2};
  cr_assert_eq(PublishEdit(edit, call), 3u);
  old_answers = 1000;
  cr_assert_throw(PublishEdit(edit, call), platform_answers_old);
}

Test(config_publisher, base_and_overlay_edited_at_once_conflict) {
  platform_mock platform;
  Publish(platform, kBase, "", 0);
  const std::string new_base = std::string("# changed\n") + kBase;
  platform.before_commit = [&] { Publish(platform, new_base, "", 1); };
  cr_assert_throw(Publish(platform, kBase, Weight("2.0"), 1), edit_conflict);
}

Test(config_publisher, another_sites_overlay_is_no_conflict) {
  platform_mock platform;
  Publish(platform, kBase, "", 0);
  cr_assert_eq(Publish(platform, kBase, "", 1, "south"), 2u);
  cr_assert_eq(Publish(platform, kBase, Weight("2.0"), 2, "south"), 3u);
  cr_assert_eq(Publish(platform, kBase, Weight("3.0"), 1), 4u);
}

Test(config_publisher, a_base_is_checked_against_every_overlay) {
  platform_mock platform;
  Publish(platform, kBase, "", 0);
  Publish(platform, kBase, "remove = [\"services.feed.backend_servers.f2\"]", 1,
          "south");
  const std::string without_f2 =
      std::string(kBase).substr(0, std::string(kBase).find("[services.feed."
                                                           "backend_servers.f2"
                                                           "]"));
  try {
    Publish(platform, without_f2, "", 2);
    cr_assert_fail("was accepted");
  } catch (const config_error& failure) {
    cr_assert_eq(failure.Problems().front().file, "overlay of south");
    cr_assert_eq(failure.Problems().front().fault, config_fault::kUnknownName);
  }
}

Test(config_publisher, a_lost_answer_is_settled_by_the_edit_id) {
  platform_mock platform;
  Publish(platform, kBase, "", 0);
  platform.lose_answer = true;
  cr_assert_eq(Publish(platform, kBase, Weight("2.0"), 1), 2u);
  platform.stay_down = true;
  cr_assert_throw(Publish(platform, kBase, Weight("3.0"), 2),
                  edit_outcome_unknown);
}

Test(config_publisher, a_rejected_edit_changes_nothing) {
  platform_mock platform;
  Publish(platform, kBase, "", 0);
  const size_t before = platform.objects.size();
  cr_assert_throw(Publish(platform, kBase, Weight("-1.0"), 1), config_error);
  cr_assert_eq(platform.objects.size(), before);
}
