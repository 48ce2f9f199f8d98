#include "poplarstair/config/content_tree.h"

#include <criterion/criterion.h>

#include "poplarstair/core/error.h"

using namespace poplarstair;

namespace {

std::string ManyTables(int count) {
  std::string text;
  for (int i = 0; i < count; ++i) {
    text += "[services.s.backend_servers.b" + std::to_string(i) +
            "]\naddress = \"10.0.0.1:" + std::to_string(i) + "\"\n" +
            std::string(100, '#') + "\n";
  }
  return text;
}

}  // namespace

Test(content_tree, assembles_the_text_that_was_added) {
  const std::string one_line(3 * kMaxPartBytes, 'x');
  for (const std::string& text : {std::string(), std::string("format = 1"),
                                  one_line, ManyTables(20000)}) {
    part_map parts;
    const std::string root = AddContent(text, parts);
    cr_assert_eq(AssembleContent(root, parts).value(), text);
    for (const auto& [hash, part] : parts) {
      cr_assert_leq(part.size(), kMaxPartBytes);
    }
  }
}

Test(content_tree, a_small_change_moves_few_bytes) {
  part_map before;
  std::string text = ManyTables(20000);
  AddContent(text, before);
  text.replace(text.find("10.0.0.1:9999"), 8, "10.0.0.2");
  part_map after;
  const std::string root = AddContent(text, after);
  size_t new_bytes = 0;
  for (const auto& [hash, part] : after) {
    if (!before.contains(hash)) new_bytes += part.size();
  }
  cr_assert_gt(new_bytes, 0u);
  cr_assert_leq(new_bytes, 2 * kMaxPartBytes);
  cr_assert(!AssembleContent(root, before));
}

Test(content_tree, rejects_malformed_content_names) {
  cr_assert_throw(MissingParts("9-zz", {}, 1), malformed_message);
  cr_assert_throw(MissingParts("", {}, 1), malformed_message);
}
