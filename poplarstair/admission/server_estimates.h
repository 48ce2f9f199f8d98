// What the callers' packets alone tell of each backend server: work in
// progress, time of a request, silence.
#ifndef POPLARSTAIR_ADMISSION_SERVER_ESTIMATES_H_
#define POPLARSTAIR_ADMISSION_SERVER_ESTIMATES_H_

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "poplarstair/admission/work_time.h"
#include "poplarstair/core/time.h"

namespace poplarstair {

struct estimate_settings {
  /// Weight of the newest request in the smoothed request time. A server that
  /// turns slow has to be noticed within some ten requests.
  double time_weight = 0.15;
  /// How fast the smoothed work in progress follows.
  duration load_window = std::chrono::milliseconds(500);
  /// Request and work times that are not refreshed fall back to the usual ones
  /// this fast, so that a server that was slow is tried again.
  duration forget_after = std::chrono::seconds(4);
  /// Weight of the newest request in the share of unanswered ones.
  double unanswered_weight = 0.1;
  /// How much longer the expected wait counts if no request is answered. A
  /// server that acknowledges and never answers looks idle otherwise; as a
  /// factor it can't empty a service whose servers are all bad.
  double unanswered_factor = 20;
  /// Request time of a server that has not answered yet.
  duration first_time = std::chrono::milliseconds(30);
  /// Observations that are further apart than this do not add up: each may
  /// have been a lost packet.
  duration witness_age = std::chrono::milliseconds(1500);
  /// Callers repeat a packet after 200 ms; the same bytes sooner were
  /// reordered on the way.
  duration repeat_after = std::chrono::milliseconds(150);
  /// Flows that must have waited in vain before a server counts as silent.
  uint32_t silent_flows = 2;
  /// Time between flows to a server on trial; the first copy of a packet that
  /// opens a flow comes after 200 ms.
  duration trial_interval = std::chrono::milliseconds(250);
  /// Time until a silent server is tested; doubles with each trial that fails,
  /// as another server may answer at its address, up to the longest: the entry
  /// of one that is still silent has been removed by then.
  duration first_test = std::chrono::milliseconds(400);
  duration longest_test = std::chrono::milliseconds(3600);
  /// A server's entry is in the store before the server answers; by then the
  /// store has told of it, if asked.
  duration store_time = std::chrono::milliseconds(50);
  /// What peers say of a server's load counts this long.
  duration peer_load_age = std::chrono::milliseconds(1500);
};

/// Rows are those of the caller's own table of servers.
class server_estimates {
 public:
  explicit server_estimates(const estimate_settings& settings)
      : settings_(settings) {}

  void Resize(size_t rows) { rows_.resize(rows); }
  /// `service` is the number of the server's service: the usual work time is
  /// that of its servers.
  /// A server is cold for no longer than `cold_time` after its start; 0 if that
  /// is not stated.
  void SetServer(uint32_t row, uint32_t service, uint32_t slots,
                 duration cold_time = duration::zero());
  /// Forgets everything about a server that has started anew.
  void Forget(uint32_t row);

  // Events of flows.
  void OnFlowOpened(uint32_t row) { ++rows_[row].flows; }
  void OnFlowClosed(uint32_t row);
  /// Returns the requests per slot that the server has with this one.
  double OnRequestSent(time_point now, uint32_t row);
  /// `per_slot` is what OnRequestSent returned for the request; nothing if the
  /// server was silent meanwhile: `took` says little of its work then.
  void OnRequestDone(time_point now, uint32_t row, duration took,
                     std::optional<double> per_slot = 1);
  /// A request that ended without an answer after `waited`.
  void OnRequestDropped(time_point now, uint32_t row, duration waited);
  /// The caller has got something new from the server, on a flow that has been
  /// known since `flow_since`. True if the server counted as silent before.
  bool OnProgress(time_point now, uint32_t row, time_point flow_since);
  /// A caller repeats what was sent to the server at `sent_at` for the first
  /// time. True if the server counts as silent from now on.
  bool OnRepeat(time_point now, uint32_t row, uint64_t flow,
                time_point sent_at);
  /// Flows have waited in vain at other instances, so many in all. True as for
  /// OnRepeat.
  bool OnPeerWitnesses(time_point now, uint32_t row, uint32_t witnesses);
  /// A flow's handshake is overdue, though its caller has repeated nothing
  /// yet. True as for OnRepeat.
  bool OnOverdue(time_point now, uint32_t row, uint64_t flow,
                 time_point sent_at);
  /// No flow is to be sent there before a test, for a reason other than those
  /// above. True as for OnRepeat.
  bool OnGivenUp(time_point now, uint32_t row) {
    return BecomeSilent(now, rows_[row]);
  }
  /// Another instance sees this much work in progress; the sum over peers is
  /// kept by the caller.
  void SetPeerLoad(time_point now, uint32_t row, double load);
  /// Work times that another instance of the domain has measured.
  void AddPeerWorkTime(time_point now, uint32_t row,
                       const work_time_samples& told);
  /// A server that counted as silent takes connections again: one flow at a
  /// time until one makes progress.
  void OnReachable(time_point now, uint32_t row);
  /// A silent server does not take connections either.
  void OnUnreachable(uint32_t row);

  /// What the servers had reported by `confirmed_at` is known.
  void SetConfirmed(time_point confirmed_at) { confirmed_at_ = confirmed_at; }
  /// True if the server was silent, answers again, and may have started anew:
  /// its entry has not been confirmed since, and no flow of before goes on.
  bool MayHaveRestarted(time_point now, uint32_t row) const {
    return MayHaveRestarted(now, rows_[row]);
  }
  /// As of when the servers' reports have to be known to tell whether the
  /// server has started anew; time_point{} if that is known.
  time_point ConfirmationNeeded(time_point now, uint32_t row) const {
    const estimate& e = rows_[row];
    return MayHaveRestarted(now, e) ? e.answers_since + settings_.store_time
                                    : time_point{};
  }

  /// A new flow was sent to the server.
  void OnPlaced(time_point now, uint32_t row);

  bool IsSilent(uint32_t row) const { return rows_[row].is_silent; }
  /// It was silent, takes connections again, and has not answered a flow yet.
  bool IsOnTrial(uint32_t row) const { return rows_[row].is_on_trial; }
  /// False while it is silent, or on trial with a flow that may still answer.
  bool TakesFlow(time_point now, uint32_t row) const {
    const estimate& e = rows_[row];
    return !e.is_silent && (!e.is_on_trial || now >= e.next_trial);
  }
  /// True if it is time to test a silent server.
  bool NeedsTest(time_point now, uint32_t row) const {
    return rows_[row].is_silent && now >= rows_[row].next_test;
  }
  /// A test is under way; the next one is due after a pause.
  void OnTested(time_point now, uint32_t row) {
    rows_[row].next_test = now + settings_.first_test;
  }
  /// Flows of this instance that have waited in vain of late.
  uint32_t OwnWitnesses(time_point now, uint32_t row) const {
    const estimate& e = rows_[row];
    return now - e.witness_at <= settings_.witness_age ? e.waiting : 0;
  }
  /// Silent to callers, and takes no connections.
  bool IsUnreachable(uint32_t row) const { return rows_[row].is_unreachable; }
  /// Independent observations that it answers nobody: flows seen here and
  /// other instances.
  uint32_t Witnesses(uint32_t row) const;
  /// Callers of this instance have repeated packets to it in vain.
  bool HasOwnRepeats(uint32_t row) const { return rows_[row].repeats > 0; }
  /// Other instances whose callers wait for it in vain.
  uint32_t PeerWitnesses(uint32_t row) const {
    return rows_[row].peer_witnesses;
  }
  /// When it answered after it had counted as silent.
  time_point SilenceEndedAt(uint32_t row) const {
    return rows_[row].silence_ended_at;
  }
  time_point LastProgress(uint32_t row) const {
    return rows_[row].last_progress;
  }
  /// Work in progress that this instance sees, smoothed.
  double OwnLoad(time_point now, uint32_t row) const;
  /// Own samples of the work time, to be told to other instances.
  work_time_samples OwnWorkTime(time_point now, uint32_t row) const;
  /// The work time of a request at the server, by all samples.
  work_time_samples WorkTime(time_point now, uint32_t row) const;
  /// Time until a further request would be answered, in microseconds.
  double ExpectedWait(time_point now, uint32_t row, uint32_t slots) const;
  /// The same behind `in_progress` requests.
  double ExpectedWaitBehind(time_point now, uint32_t row, uint32_t in_progress,
                            uint32_t slots) const;
  /// True if a further request would not have to wait for another one.
  bool HasFreeSlot(time_point now, uint32_t row, uint32_t slots) const;
  uint32_t Flows(uint32_t row) const { return rows_[row].flows; }

 private:
  static constexpr size_t kMaxWitnesses = 4;

  struct estimate {
    uint32_t flows = 0;
    uint32_t in_flight = 0;
    double smoothed_load = 0;
    time_point load_at{};
    double peer_load = 0;
    time_point peer_load_at = time_point{};
    uint32_t service = 0;
    uint32_t slots = 1;
    duration cold_time = duration::zero();
    work_time work;
    /// Microseconds; 0 if unknown.
    double request_time = 0;
    time_point time_at{};
    /// Share of requests without an answer, smoothed.
    double unanswered = 0;
    time_point unanswered_at{};
    time_point last_progress = time_point{};
    time_point silence_ended_at = time_point{};
    /// Its last answer before the silence.
    time_point answered_until = time_point{};
    /// When it answered again; kNever if it is known to be the same process.
    time_point answers_since = kNever;
    /// Flows that wait in vain since the last progress.
    std::array<uint64_t, kMaxWitnesses> waiting_flows{};
    uint8_t waiting = 0;
    time_point witness_at{};
    uint8_t repeats = 0;
    uint8_t peer_witnesses = 0;
    uint8_t failed_trials = 0;
    bool is_silent = false;
    bool is_on_trial = false;
    bool is_unreachable = false;
    time_point next_trial{};
    time_point next_test{};
  };

  void Smooth(time_point now, estimate& e);
  double SmoothedLoad(time_point now, const estimate& e) const;
  void AddWorkTime(time_point now, estimate& e, double sample);
  void EndRequest(time_point now, estimate& e);
  void NoteAnswer(time_point now, estimate& e, bool is_answered);
  double Unanswered(time_point now, const estimate& e) const;
  double RequestTime(time_point now, const estimate& e) const;
  /// Requests per slot with one more.
  double PerSlot(time_point now, const estimate& e, uint32_t slots) const;
  /// Usual work time at the servers of the same service, in microseconds.
  double UsualWork(const estimate& e) const;
  /// As PerSlot, counted higher for a server that leaves
  /// requests unanswered.
  double Occupancy(time_point now, uint32_t row, uint32_t slots) const;
  /// Factor for a server that leaves requests unanswered.
  double Penalty(time_point now, const estimate& e) const {
    return 1 + settings_.unanswered_factor * Unanswered(now, e);
  }
  bool MayHaveRestarted(time_point now, const estimate& e) const {
    if (e.answers_since == kNever) return false;
    // It has started before it answered.
    const bool is_warm =
        e.cold_time > duration::zero() && now >= e.answers_since + e.cold_time;
    return !is_warm && confirmed_at_ < e.answers_since + settings_.store_time;
  }
  static void ClearSilence(estimate& e);
  bool AddWitness(time_point now, estimate& e, uint64_t flow);
  bool BecomeSilent(time_point now, estimate& e);

  const estimate_settings settings_;
  std::vector<estimate> rows_;
  time_point confirmed_at_{};
  /// Mean request time of all servers, in microseconds; 0 if unknown.
  double usual_time_ = 0;
  /// Mean work time of each service, in microseconds; 0 if unknown.
  std::vector<double> usual_work_;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_ADMISSION_SERVER_ESTIMATES_H_
