#include "poplarstair/config/config_publisher.h"

#include <algorithm>

#include "poplarstair/config/config_error.h"

namespace poplarstair {

namespace {

constexpr int kReadBackTries = 5;

struct versioned_head {
  config_head head;
  object_version version = 0;
};

versioned_head ReadVersionedHead(const platform_caller& call_platform) {
  const platform_reply reply = call_platform(
      {0, platform_operation::kGet, std::string(kHeadKey), 0, ""});
  if (reply.status == platform_status::kNotFound) return {};
  if (reply.status != platform_status::kOk) {
    throw platform_unavailable("reading the current configuration");
  }
  return {config_head::FromJson(reply.body), reply.version};
}

/// Reads the head, and retries if the platform returns one older than
/// `based_on`.
versioned_head ReadHeadSince(generation based_on,
                             const platform_caller& call_platform) {
  versioned_head current = ReadVersionedHead(call_platform);
  for (int i = 1; i < kReadBackTries && current.head.number < based_on; ++i) {
    current = ReadVersionedHead(call_platform);
  }
  if (current.head.number < based_on) {
    throw platform_answers_old(current.head.number, based_on);
  }
  return current;
}

constexpr size_t kMaxInlineBytes = 128 << 10;

/// Stores each part. A part's key is its hash, so kConflict means that the same
/// part is stored already.
void StoreParts(const part_map& parts, const platform_caller& call_platform) {
  for (const auto& [hash, content] : parts) {
    const platform_reply reply = call_platform(
        {0, platform_operation::kPut, ContentKey(hash), 0, content});
    if (reply.status != platform_status::kOk &&
        reply.status != platform_status::kConflict) {
      throw platform_unavailable("storing the files; nothing has changed");
    }
  }
}

bool HasEdit(const config_head& head, const std::string& edit_id) {
  return std::any_of(
      head.history.begin(), head.history.end(),
      [&](const config_edit& edit) { return edit.edit_id == edit_id; });
}

/// An edit with its files cut into parts.
struct prepared_edit {
  const edit_request& request;
  std::string base_root;
  std::string overlay_root;
  part_map parts;
};

prepared_edit Prepare(const edit_request& edit) {
  prepared_edit made{edit, "", "", {}};
  made.base_root = AddContent(edit.base.text, made.parts);
  made.overlay_root = AddContent(edit.overlay.text, made.parts);
  return made;
}

std::string RootOf(const config_head& head, const std::string& site) {
  const auto it = head.overlay_roots.find(site);
  return it == head.overlay_roots.end() ? "" : it->second;
}

/// Returns what the edit changes: "base", "overlay SITE" or
/// "base, overlay SITE".
std::string SubjectOf(const prepared_edit& edit, const config_head& current) {
  const std::string& site = edit.request.site;
  const std::string overlay = "overlay " + site;
  const bool base_changes = edit.base_root != current.base_root;
  const bool overlay_changes = edit.overlay_root != RootOf(current, site);
  if (base_changes && overlay_changes) return "base, " + overlay;
  return base_changes ? "base" : overlay;
}

bool Touches(const config_edit& edit, const std::string& site) {
  return edit.subject.starts_with("base") || edit.subject.ends_with(" " + site);
}

/// Throws edit_conflict if the edit would overwrite another edit that was
/// accepted after the generation it is based on.
void CheckBasis(const edit_request& edit, const config_head& current) {
  if (edit.based_on == current.number) return;
  const bool is_known = edit.based_on < current.number &&
                        !current.history.empty() &&
                        current.history.front().number <= edit.based_on + 1;
  if (!is_known) {
    throw edit_conflict(edit.based_on, current.history.empty()
                                           ? config_edit{current.number}
                                           : current.history.back());
  }
  for (const config_edit& other : current.history) {
    if (other.number <= edit.based_on) continue;
    if (edit.based_on == 0 || Touches(other, edit.site)) {
      throw edit_conflict(edit.based_on, other);
    }
  }
}

/// Checks a changed base against the overlay of every other site.
void CheckOtherSites(const prepared_edit& edit, const config_head& current,
                     const platform_caller& call_platform) {
  if (edit.base_root == current.base_root) return;
  std::vector<config_problem> problems;
  for (const auto& [site, root] : current.overlay_roots) {
    if (site == edit.request.site) continue;
    part_map parts;
    ReadContent(root, parts, call_platform);
    const config_source overlay{"overlay of " + site,
                                AssembleContent(root, parts).value()};
    try {
      LoadConfig(edit.request.base, overlay, site);
    } catch (const config_error& failure) {
      problems.insert(problems.end(), failure.Problems().begin(),
                      failure.Problems().end());
    }
  }
  if (!problems.empty()) throw config_error(std::move(problems));
}

/// Returns the parts that the platform does not have yet.
part_map NewParts(const prepared_edit& edit, const config_head& current,
                  const platform_caller& call_platform) {
  part_map all = edit.parts;
  part_map added = edit.parts;
  for (const std::string& root :
       {current.base_root, RootOf(current, edit.request.site)}) {
    if (root.empty()) continue;
    ReadContent(root, all, call_platform);
    for (const std::string& hash : ReachableParts(root, all)) added.erase(hash);
  }
  return added;
}

config_head NextHead(const config_head& current, const prepared_edit& edit,
                     const part_map& added) {
  const edit_request& request = edit.request;
  config_head next = current;
  next.number = current.number + 1;
  next.base_root = edit.base_root;
  next.overlay_roots[request.site] = edit.overlay_root;
  next.new_parts.clear();
  size_t bytes = 0;
  for (const auto& [hash, content] : added) bytes += content.size();
  if (bytes <= kMaxInlineBytes) next.new_parts = added;
  next.history.push_back(
      {next.number, request.edit_id, request.author, SubjectOf(edit, current)});
  if (next.history.size() > kHistoryLength) {
    next.history.erase(next.history.begin());
  }
  return next;
}

/// Finds out whether an update was accepted whose reply was lost, or that
/// conflicted because the platform received it twice.
generation ReadBack(const edit_request& edit, generation number,
                    const platform_caller& call_platform) {
  for (int i = 0; i < kReadBackTries; ++i) {
    try {
      const config_head head = ReadHead(call_platform);
      if (HasEdit(head, edit.edit_id)) return number;
      // Only another edit with this number proves that this edit can never take
      // effect.
      for (const config_edit& other : head.history) {
        if (other.number == number) throw edit_conflict(edit.based_on, other);
      }
    } catch (const platform_unavailable&) {
      continue;
    }
  }
  throw edit_outcome_unknown(edit.edit_id);
}

}  // namespace

config_head ReadHead(const platform_caller& call_platform) {
  return ReadVersionedHead(call_platform).head;
}

void ReadContent(const std::string& root, part_map& parts,
                 const platform_caller& call_platform) {
  constexpr size_t kBatch = 64;
  for (auto missing = MissingParts(root, parts, kBatch); !missing.empty();
       missing = MissingParts(root, parts, kBatch)) {
    for (const std::string& hash : missing) {
      platform_reply reply =
          call_platform({0, platform_operation::kGet, ContentKey(hash), 0, ""});
      if (reply.status != platform_status::kOk ||
          ContentHash(reply.body) != hash) {
        throw platform_unavailable("reading the files");
      }
      parts.emplace(hash, std::move(reply.body));
    }
  }
}

site_files ReadFiles(const std::string& site,
                     const platform_caller& call_platform) {
  const config_head head = ReadHead(call_platform);
  const std::string overlay_root = RootOf(head, site);
  if (overlay_root.empty()) return {};
  part_map parts;
  ReadContent(head.base_root, parts, call_platform);
  ReadContent(overlay_root, parts, call_platform);
  return {head.number, AssembleContent(head.base_root, parts).value(),
          AssembleContent(overlay_root, parts).value()};
}

generation PublishEdit(const edit_request& edit,
                       const platform_caller& call_platform) {
  LoadConfig(edit.base, edit.overlay, edit.site);
  const versioned_head current = ReadHeadSince(edit.based_on, call_platform);
  CheckBasis(edit, current.head);
  const prepared_edit prepared = Prepare(edit);
  CheckOtherSites(prepared, current.head, call_platform);
  const part_map added = NewParts(prepared, current.head, call_platform);
  StoreParts(added, call_platform);

  const config_head next = NextHead(current.head, prepared, added);
  const platform_reply reply =
      call_platform({0, platform_operation::kPut, std::string(kHeadKey),
                     current.version, next.ToJson()});
  if (reply.status == platform_status::kOk) return next.number;
  return ReadBack(edit, next.number, call_platform);
}

}  // namespace poplarstair
