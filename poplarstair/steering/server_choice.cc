#include "poplarstair/steering/server_choice.h"

#include <vector>

namespace poplarstair {

namespace {

/// Candidate servers that are compared with each other.
class candidate_group {
 public:
  void Add(server_row row) { rows_.push_back(row); }
  size_t Size() const { return rows_.size(); }

  /// Compares up to `compared` candidates, drawn without replacement, with
  /// `best` and replaces it by one with a shorter expected wait.
  void Compare(time_point now, const choice_context& context, uint32_t compared,
               random_source& random, server_choice& best) {
    for (size_t i = 0; i < rows_.size() && i < compared; ++i) {
      const size_t drawn = i + RandomBelow(random, rows_.size() - i);
      std::swap(rows_[i], rows_[drawn]);
      const uint32_t slots = context.servers.At(rows_[i]).slots;
      const double wait = context.estimates.ExpectedWait(now, rows_[i], slots);
      if (best.row != kNoServer && wait >= best.expected_wait) continue;
      best.row = rows_[i];
      best.expected_wait = wait;
    }
  }

 private:
  std::vector<server_row> rows_;
};

bool IsEligible(time_point now, const choice_context& context, server_row row) {
  const known_server& server = context.servers.At(row);
  if (!server.TakesNewFlows()) return false;
  if (!context.estimates.TakesFlow(now, row)) return false;
  // The connection test at this address reached the server that now has it.
  return !server.is_address_taken || !context.estimates.IsOnTrial(row);
}

server_choice ChooseCandidate(time_point now, const choice_context& context,
                              random_source& random) {
  server_choice best;
  const size_t count = context.candidates.size();
  // Ties go to a random one.
  const size_t first = count == 0 ? 0 : RandomBelow(random, count);
  for (size_t i = 0; i < count; ++i) {
    const server_row row = context.candidates[(first + i) % count];
    if (!IsEligible(now, context, row)) continue;
    if (IsCold(now, context.servers, context.estimates, row)) continue;
    ++best.eligible;
    const double wait = context.estimates.ExpectedWaitBehind(
        now, row, context.in_progress(row), context.servers.At(row).slots);
    if (best.row != kNoServer && wait >= best.expected_wait) continue;
    best.row = row;
    best.expected_wait = wait;
  }
  return best;
}

}  // namespace

server_choice ChooseServer(time_point now, const choice_context& context,
                           const choice_settings& settings,
                           const std::string& service, random_source& random) {
  const server_choice candidate = ChooseCandidate(now, context, random);
  if (candidate.row != kNoServer) return candidate;
  candidate_group own;
  candidate_group others;
  candidate_group cold;
  for (const server_row row : context.servers.OfService(service)) {
    const known_server& server = context.servers.At(row);
    if (!IsEligible(now, context, row)) continue;
    if (IsCold(now, context.servers, context.estimates, row)) {
      if (context.cold_owners(server) > 0) cold.Add(row);
      continue;
    }
    (server.failure_domain == context.domain ? own : others).Add(row);
  }
  server_choice best;
  best.eligible = static_cast<uint32_t>(own.Size() + others.Size());
  own.Compare(now, context, settings.compared, random, best);
  const bool has_free_slot =
      best.row != kNoServer &&
      context.estimates.HasFreeSlot(now, best.row,
                                    context.servers.At(best.row).slots);
  if (!has_free_slot) {
    others.Compare(now, context, settings.compared, random, best);
  }
  if (best.row == kNoServer) {
    cold.Compare(now, context, settings.compared, random, best);
    if (best.row != kNoServer) {
      best.cold_owners = context.cold_owners(context.servers.At(best.row));
    }
  }
  return best;
}

}  // namespace poplarstair
