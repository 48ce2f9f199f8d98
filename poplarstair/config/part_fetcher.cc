#include "poplarstair/config/part_fetcher.h"

#include <algorithm>

namespace poplarstair {

namespace {

constexpr size_t kMaxInFlight = 16;
constexpr size_t kMaxSources = 16;
/// A source that left this many successive requests unanswered is dropped until
/// it announces the target again. More than one, because a single lost message
/// must not cost a source.
constexpr int kMaxLate = 3;

}  // namespace

void part_fetcher::Begin(const config_roots& target) {
  target_ = target;
  sources_.clear();
}

void part_fetcher::Stop() {
  target_ = {};
  sources_.clear();
  in_flight_.clear();
}

part_fetcher::source* part_fetcher::FindSource(instance_id id) {
  const auto it = std::find_if(sources_.begin(), sources_.end(),
                               [id](const source& s) { return s.id == id; });
  return it == sources_.end() ? nullptr : &*it;
}

void part_fetcher::AddSource(instance_id id) {
  if (source* known = FindSource(id)) {
    known->late = 0;
  } else if (sources_.size() < kMaxSources) {
    sources_.push_back({id, 0});
  }
}

bool part_fetcher::OnPart(const std::string& hash) {
  const auto it = in_flight_.find(hash);
  if (it == in_flight_.end()) return false;
  if (source* answering = FindSource(it->second.source)) answering->late = 0;
  in_flight_.erase(it);
  return true;
}

void part_fetcher::DropLate(time_point now) {
  for (auto it = in_flight_.begin(); it != in_flight_.end();) {
    if (it->second.give_up_at > now) {
      ++it;
      continue;
    }
    source* late = FindSource(it->second.source);
    if (late != nullptr && late->id != kPlatform) ++late->late;
    it = in_flight_.erase(it);
  }
  std::erase_if(sources_, [](const source& s) { return s.late >= kMaxLate; });
}

bool part_fetcher::Continue(time_point now, const part_map& parts,
                            random_source& random) {
  DropLate(now);
  // Finding the missing parts walks the whole tree, so new requests are sent
  // only when at most half of the allowed ones are under way.
  if (in_flight_.size() > kMaxInFlight / 2) return false;
  std::vector<std::string> missing =
      MissingParts(target_.base, parts, kMaxInFlight);
  for (const std::string& hash :
       MissingParts(target_.overlay, parts, kMaxInFlight)) {
    missing.push_back(hash);
  }
  if (missing.empty()) return true;
  std::map<instance_id, std::vector<std::string>> wanted;
  for (const std::string& hash : missing) {
    if (sources_.empty() || in_flight_.size() >= kMaxInFlight) break;
    if (in_flight_.contains(hash)) continue;
    const instance_id id = sources_[RandomBelow(random, sources_.size())].id;
    in_flight_[hash] = {id, now + timeout_};
    wanted[id].push_back(hash);
  }
  for (const auto& [id, hashes] : wanted) ask_(id, hashes);
  return false;
}

}  // namespace poplarstair
