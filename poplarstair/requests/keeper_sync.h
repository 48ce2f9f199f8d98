// Recovers the claims that a keeper may have lost before it votes again.
#ifndef POPLARSTAIR_REQUESTS_KEEPER_SYNC_H_
#define POPLARSTAIR_REQUESTS_KEEPER_SYNC_H_

#include <functional>
#include <optional>
#include <set>

#include "poplarstair/core/peer_message.h"
#include "poplarstair/core/time.h"
#include "poplarstair/membership/member.h"
#include "poplarstair/requests/claim_keeper.h"

namespace poplarstair {

/// After a start and after each change of the roster, asks every member for
/// the claims that it knows. The keeper may vote once all members have
/// answered, or when no earlier claim can still be in use (after the
/// quarantine, or when the whole site has just started).
class keeper_sync {
 public:
  struct hooks {
    send_hook send;
    /// Visits the claims that this instance makes for itself.
    std::function<void(const std::function<void(const claim_entry&)>&)> claims;
  };

  keeper_sync(instance_id self, claim_keeper& keeper, duration quarantine,
              hooks actions)
      : self_(self),
        keeper_(keeper),
        quarantine_(quarantine),
        hooks_(std::move(actions)) {}

  void OnMembers(time_point now, const member_view& view);
  void OnTick(time_point now);
  void OnSync(time_point now, const peer_message& message,
              const claim_sync& sync);
  void OnList(time_point now, const peer_message& message,
              const claim_list& list);

  /// All members, including dead ones.
  const std::vector<member>& Roster() const { return view_.members; }
  const member_view& View() const { return view_; }

 private:
  void Restart(time_point now);
  void Check(time_point now);

  const instance_id self_;
  claim_keeper& keeper_;
  const duration quarantine_;
  const hooks hooks_;
  member_view view_;
  std::set<instance_id> roster_;
  uint64_t number_ = 0;
  time_point began_{};
  time_point next_send_{};
  /// Members that have answered the current sync.
  std::set<instance_id> answered_;
  /// Members that reported that they have no earlier votes or claims.
  std::set<instance_id> fresh_;
  std::optional<time_point> site_started_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_REQUESTS_KEEPER_SYNC_H_
