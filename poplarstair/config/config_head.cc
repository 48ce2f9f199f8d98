#include "poplarstair/config/config_head.h"

#include <xxhash.h>

#include <cstdio>
#include <nlohmann/json.hpp>

#include "poplarstair/core/error.h"

namespace poplarstair {

namespace {

constexpr int kHeadFormat = 1;

}  // namespace

std::string ContentKey(const std::string& content_hash) {
  return "config/content/" + content_hash;
}

std::string ContentHash(std::string_view text) {
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  char hexadecimal[33];
  std::snprintf(hexadecimal, sizeof(hexadecimal), "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return hexadecimal;
}

std::string config_head::ToJson() const {
  nlohmann::json json = {
      {"format", kHeadFormat},  {"generation", number},
      {"base", base_root},      {"overlays", overlay_roots},
      {"new_parts", new_parts}, {"history", nlohmann::json::array()}};
  for (const config_edit& edit : history) {
    json["history"].push_back({{"generation", edit.number},
                               {"edit_id", edit.edit_id},
                               {"author", edit.author},
                               {"subject", edit.subject}});
  }
  return json.dump();
}

config_head config_head::FromJson(std::string_view text) {
  try {
    const nlohmann::json json = nlohmann::json::parse(text);
    const auto format = json.at("format").get<int64_t>();
    if (format != kHeadFormat) throw unsupported_head(format);
    config_head head;
    json.at("generation").get_to(head.number);
    json.at("base").get_to(head.base_root);
    json.at("overlays").get_to(head.overlay_roots);
    for (const auto& [hash, part] : json.at("new_parts").items()) {
      head.new_parts.emplace(hash, part.get<std::string>());
    }
    for (const nlohmann::json& entry : json.at("history")) {
      config_edit edit;
      entry.at("generation").get_to(edit.number);
      entry.at("edit_id").get_to(edit.edit_id);
      entry.at("author").get_to(edit.author);
      entry.at("subject").get_to(edit.subject);
      head.history.push_back(std::move(edit));
    }
    return head;
  } catch (const nlohmann::json::exception& failure) {
    throw malformed_message("configuration head", failure.what());
  }
}

}  // namespace poplarstair
