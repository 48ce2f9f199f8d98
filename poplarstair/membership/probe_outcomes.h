// The outcomes of an instance's latest probes.
#ifndef POPLARSTAIR_MEMBERSHIP_PROBE_OUTCOMES_H_
#define POPLARSTAIR_MEMBERSHIP_PROBE_OUTCOMES_H_

#include <bit>
#include <cstdint>

namespace poplarstair {

class probe_outcomes {
 public:
  void Add(bool is_answered) {
    unanswered_ =
        static_cast<uint8_t>(unanswered_ << 1 | (is_answered ? 0 : 1));
  }
  /// More than a lost failure domain explains.
  bool AreMostlyUnanswered() const {
    constexpr int kMany = 6;
    return std::popcount(unanswered_) >= kMany;
  }
  bool AreMostlyAnswered() const {
    constexpr int kFew = 2;
    return std::popcount(unanswered_) <= kFew;
  }

 private:
  /// One bit for each of the latest eight.
  uint8_t unanswered_ = 0;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_MEMBERSHIP_PROBE_OUTCOMES_H_
