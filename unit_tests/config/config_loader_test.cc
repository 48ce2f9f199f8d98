#include "poplarstair/config/config_loader.h"

#include <criterion/criterion.h>

#include "poplarstair/config/config_error.h"
#include "poplarstair/core/file.h"

using namespace poplarstair;

namespace {

constexpr const char* kBase = R"(format = 1
[failure_domains.a]
[failure_domains.b]
[services.feed]
addresses = ["10.0.0.1:443"]
[services.feed.backend_servers.f1]
failure_domain = "a"
address = "127.0.0.1:7001"
request_address = "127.0.0.1:7002"
slots = 2
[services.feed.backend_servers.f2]
failure_domain = "b"
address = "127.0.0.2:7001"
request_address = "127.0.0.2:7002"
)";

effective_config Load(const std::string& base, const std::string& overlay) {
  return LoadConfig({"base.toml", base}, {"overlay.toml", overlay}, "site");
}

config_problem OnlyProblem(const std::string& base,
                           const std::string& overlay) {
  try {
    Load(base, overlay);
  } catch (const config_error& failure) {
    cr_assert_eq(failure.Problems().size(), 1u, "%s", failure.what());
    return failure.Problems().front();
  }
  cr_assert_fail("nothing was thrown");
  return {};
}

}  // namespace

Test(config_loader, merges_the_overlay_over_the_base) {
  const auto config = Load(kBase, R"(
[failure_domains.b]
in_service = false
[services.feed.backend_servers.f1]
state = "draining"
)");
  const service_config& feed = *config.FindServiceByName("feed");
  cr_assert_eq(feed.backend_servers.size(), 2u);
  cr_assert_eq(feed.backend_servers[0].slots, 2u);
  cr_assert(!TakesNewWork(config, feed.backend_servers[0]));
  cr_assert(MayReceive(config, feed.backend_servers[0]));
  cr_assert(!MayReceive(config, feed.backend_servers[1]));
}

Test(config_loader, removes_by_path) {
  const auto config =
      Load(kBase, "remove = [\"services.feed.backend_servers.f2\"]");
  cr_assert_eq(config.services[0].backend_servers.size(), 1u);
}

Test(config_loader, names_file_line_key_and_value) {
  const auto problem =
      OnlyProblem(kBase, "[services.feed.backend_servers.f1]\nweight = -1.0\n");
  cr_assert_eq(problem.fault, config_fault::kOutOfRange);
  cr_assert_eq(problem.file, "overlay.toml");
  cr_assert_eq(problem.line, 2u);
  cr_assert_eq(problem.key, "services.feed.backend_servers.f1.weight");
  cr_assert_eq(problem.value, "-1.0");
}

Test(config_loader, suggests_the_nearest_key) {
  const auto problem =
      OnlyProblem(kBase, "[failure_domains.a]\nin_servise = true\n");
  cr_assert_eq(problem.fault, config_fault::kUnknownKey);
  cr_assert_eq(problem.hint, "did you mean \"in_service\"?");
}

Test(config_loader, rejects_invalid_values_and_syntax) {
  cr_assert_eq(OnlyProblem(kBase, "remove = [\"services.none\"]").fault,
               config_fault::kUnknownName);
  cr_assert_eq(OnlyProblem(kBase, "format = 2").fault,
               config_fault::kUnsupportedFormat);
  cr_assert_eq(OnlyProblem(kBase, "[[[").fault, config_fault::kSyntax);
  cr_assert_eq(
      OnlyProblem(kBase, "[services.feed.backend_servers.f1]\nslots = \"2\"")
          .fault,
      config_fault::kWrongType);
  cr_assert_eq(OnlyProblem(kBase,
                           "[services.feed.backend_servers.f1]\n"
                           "address = \"127.0.0.2:7001\"")
                   .fault,
               config_fault::kDuplicate);
}

Test(config_loader, loads_the_samples) {
  for (const std::string site : {"mu-north", "ost"}) {
    const std::string folder =
        std::string(SOURCE_FOLDER) + "/samples/" + site + "/";
    const auto config =
        LoadConfig({"base", ReadFile(folder + "base.toml")},
                   {"overlay", ReadFile(folder + "overlay.toml")}, site);
    cr_assert_eq(config.services.size(), 2u);
    cr_assert_eq(config.failure_domains.size(), 3u);
  }
}
