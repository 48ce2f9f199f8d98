#include "poplarstair/catalog/store_follower.h"

#include <algorithm>
#include <utility>

namespace poplarstair {

namespace {

/// Parts of one instance number their calls in ranges of their own, so that an
/// answer finds its part by the number alone.
constexpr uint64_t kCallsPerCollection = 1ULL << 48;

enum class follow_phase : uint8_t { kStopped, kListing, kWatching, kPausing };

}  // namespace

class store_follower::impl {
 public:
  impl(collection what, const follower_settings& settings, random_source random,
       hooks actions)
      : what_(what),
        settings_(settings),
        random_(random),
        actions_(std::move(actions)),
        last_call_(kCallsPerCollection * (1 + static_cast<uint64_t>(what))) {}

  void Load(time_point now) {
    if (phase_ != follow_phase::kStopped) return;
    pause_ = settings_.first_pause;
    CallAgain(now);
  }

  void Follow(time_point now, store_position known) {
    is_following_ = true;
    if (phase_ != follow_phase::kStopped) return;
    position_ = known.epoch < epoch_ ? store_position{} : known;
    is_current_ = false;
    pause_ = settings_.first_pause;
    CallAgain(now);
  }

  void Stop() {
    is_following_ = false;
    phase_ = follow_phase::kStopped;
    awaited_ = 0;
  }

  void OnEpochHeard(time_point now, store_epoch epoch) {
    if (epoch > KnownEpoch()) Restart(now);
  }

  void Rewatch(time_point now, store_position known) {
    if (phase_ != follow_phase::kWatching) return;
    position_ = std::max(position_, known);
    is_current_ = false;
    Watch(now);
  }

  void Restart(time_point now) {
    if (!is_following_) return;
    position_ = {};
    confirmed_at_ = time_point{};
    writers_known_at_ = time_point{};
    answered_at_ = time_point{};
    CallAgain(now);
  }

  void Reload(time_point now) {
    if (phase_ == follow_phase::kListing) return;
    position_ = {};
    pause_ = settings_.first_pause;
    CallAgain(now);
  }

  void Refresh(time_point now) {
    const bool is_between_lists =
        phase_ == follow_phase::kWatching || phase_ == follow_phase::kPausing;
    if (!is_following_ || !is_between_lists || is_lost_) return;
    const bool is_asking = phase_ == follow_phase::kWatching && awaited_ != 0 &&
                           wait_ <= settings_.lost_wait;
    if (!is_asking) Watch(now, settings_.lost_wait);
  }

  void OnReply(time_point now, store_reply reply) {
    if (reply.id != awaited_ || awaited_ == 0) return;
    awaited_ = 0;
    const bool is_first_page =
        phase_ == follow_phase::kListing && listed_.empty();
    const bool is_returned = reply.epoch > KnownEpoch();
    if (is_returned) {
      BeginEpoch(*reply.epoch);
    } else if (reply.status == store_status::kOk) {
      reply.status = StatusInEpoch(reply);
    }
    if (reply.status == store_status::kOk &&
        (IsEarlierAnswer(reply) || IsEndlessPage(reply))) {
      reply.status = store_status::kMalformed;
    }
    if (reply.status != store_status::kOk) return OnFailure(now, reply.status);
    if (is_lost_) {
      actions_.log(log_record("store_regained")
                       .With("collection", NameOf(what_))
                       .With("epoch", epoch_)
                       .With("revision", reply.revision));
      is_lost_ = false;
    }
    // One that begins to follow may do so since the store was away.
    if (!is_current_) regained_at_ = now;
    answered_at_ = now;
    // The call went on from what is of an earlier epoch.
    if (is_returned && !is_first_page) return CallAgain(now);
    epoch_ = KnownEpoch();
    is_current_ = true;
    for (const unreadable_object& object : reply.nameless) {
      actions_.log(log_record("store_object_unreadable", log_level::kWarning)
                       .With("collection", NameOf(what_))
                       .With("problem", object.problem));
    }
    pause_ = settings_.first_pause;
    if (phase_ == follow_phase::kListing) {
      OnPage(now, std::move(reply));
    } else {
      OnEvents(now, std::move(reply));
    }
  }

  void OnTick(time_point now) {
    if (phase_ == follow_phase::kPausing && now >= resume_at_) CallAgain(now);
  }

  bool IsFollowing() const { return is_following_; }
  store_epoch Epoch() const { return position_.epoch; }
  bool IsListing() const { return phase_ == follow_phase::kListing; }
  bool Awaits(uint64_t id) const { return awaited_ != 0 && id == awaited_; }

  time_point ConfirmedAt() const { return confirmed_at_; }
  time_point WritersKnownAt() const { return writers_known_at_; }

  time_point InTouchAt(time_point now) const {
    const bool is_waiting = phase_ == follow_phase::kWatching && awaited_ != 0;
    if (!is_waiting || !IsCurrent()) return answered_at_;
    // The store has had the time to answer a call that can't be served.
    const bool has_waited = now - called_at_ >= settings_.lost_wait;
    return has_waited ? now : answered_at_;
  }

 private:
  /// The latest epoch that the store, or whoever handed over what is known, has
  /// told of.
  store_epoch KnownEpoch() const { return std::max(epoch_, position_.epoch); }

  void BeginEpoch(store_epoch epoch) {
    epoch_ = epoch;
    position_ = {};
    listed_.clear();
    actions_.epoch_begun(epoch);
  }

  /// Whether an answer that begins no epoch can be put in order with what is
  /// known: its revisions alone may be those of another epoch.
  store_status StatusInEpoch(const store_reply& reply) const {
    if (reply.epoch.value_or(0) == KnownEpoch()) return store_status::kOk;
    return reply.epoch ? store_status::kEarlierEpoch : store_status::kNoEpoch;
  }

  void CallAgain(time_point now) {
    if (position_.revision == 0) {
      listed_.clear();
      List(now, "");
    } else {
      Watch(now);
    }
  }

  void List(time_point now, const std::string& after) {
    called_at_ = now;
    phase_ = follow_phase::kListing;
    store_request request;
    request.operation = store_operation::kList;
    request.after = after;
    request.timeout = settings_.list_timeout;
    Send(std::move(request));
  }

  void Watch(time_point now) {
    if (!IsCurrent()) return Watch(now, settings_.lost_wait);
    // News confirm no more than the time of the call before them: the next
    // answer is due as soon as if they had not come.
    const duration unconfirmed =
        has_news_ ? now - confirmed_at_ : duration::zero();
    Watch(now,
          std::max(settings_.WatchWait() - unconfirmed, settings_.lost_wait));
  }

  void Watch(time_point now, duration wait) {
    called_at_ = now;
    wait_ = wait;
    phase_ = follow_phase::kWatching;
    store_request request;
    request.operation = store_operation::kWatch;
    request.revision = position_.revision;
    request.wait = wait;
    request.timeout = request.wait + settings_.watch_answer_time;
    Send(std::move(request));
  }

  void Send(store_request request) {
    awaited_ = ++last_call_;
    request.id = awaited_;
    request.what = what_;
    actions_.call(std::move(request));
  }

  /// True if the store has confirmed lately what is known. Only then does a
  /// watch that waits mean that nothing has changed since.
  bool IsCurrent() const { return is_current_ && !is_lost_; }

  /// True for a second copy of an earlier call's answer, which arrived late on
  /// a connection that was in use again.
  bool IsEarlierAnswer(const store_reply& reply) const {
    if (phase_ == follow_phase::kWatching) {
      return reply.revision < position_.revision ||
             (reply.revision == position_.revision && !reply.objects.empty());
    }
    if (listed_.empty() || reply.objects.empty()) return false;
    const std::string& first = reply.objects.front().name;
    return std::any_of(
        listed_.begin(), listed_.end(),
        [&first](const store_object& known) { return known.name == first; });
  }

  /// True if more pages follow, but no object names where to continue. Asking
  /// again would give the same page.
  bool IsEndlessPage(const store_reply& reply) const {
    return phase_ == follow_phase::kListing && reply.has_more &&
           reply.objects.empty();
  }

  /// All that was in the store at `as_of` is known.
  void Confirm(time_point as_of) {
    confirmed_at_ = std::max(confirmed_at_, as_of);
    const bool may_lack_words =
        regained_at_ != time_point{} &&
        as_of < regained_at_ + settings_.written_again_time;
    if (may_lack_words) return;
    writers_known_at_ = std::max(writers_known_at_, as_of - delay_);
  }

  void OnPage(time_point now, store_reply reply) {
    // Later pages may be newer; watching from the first one's revision repeats
    // what they already hold, but misses nothing.
    if (listed_.empty()) {
      first_page_revision_ = reply.revision;
      listed_since_ = called_at_;
    }
    std::move(reply.objects.begin(), reply.objects.end(),
              std::back_inserter(listed_));
    if (reply.has_more) return List(now, listed_.back().name);
    position_ = {epoch_, first_page_revision_};
    has_news_ = false;
    delay_ = now - listed_since_;
    Confirm(listed_since_);
    actions_.replaced(position_, std::exchange(listed_, {}));
    if (!is_following_) return Stop();
    Watch(now);
  }

  void OnEvents(time_point now, store_reply reply) {
    // An answer without news is given at the end of the wait; when it was given
    // otherwise is not known.
    has_news_ = !reply.objects.empty();
    const bool has_waited = !has_news_ && now >= called_at_ + wait_;
    const time_point as_of = has_waited ? called_at_ + wait_ : called_at_;
    if (has_waited) delay_ = now - as_of;
    Confirm(as_of);
    position_.revision = std::max(position_.revision, reply.revision);
    if (reply.objects.empty()) {
      Watch(now);
      return actions_.confirmed(position_);
    }
    const bool is_burst = now - news_at_ < settings_.gather_time;
    news_at_ = now;
    if (is_burst) {
      phase_ = follow_phase::kPausing;
      resume_at_ = now + settings_.gather_time;
    } else {
      Watch(now);
    }
    actions_.changed(position_, std::move(reply.objects));
  }

  void OnFailure(time_point now, store_status status) {
    if (status == store_status::kHistoryGone) {
      actions_.log(log_record("store_history_gone")
                       .With("collection", NameOf(what_))
                       .With("epoch", position_.epoch)
                       .With("revision", position_.revision));
      position_ = {};
      return CallAgain(now);
    }
    if (!is_lost_) {
      actions_.log(log_record("store_lost", log_level::kWarning)
                       .With("collection", NameOf(what_))
                       .With("status", NameOf(status))
                       .With("epoch", position_.epoch)
                       .With("revision", position_.revision));
    }
    is_lost_ = true;
    is_current_ = false;
    phase_ = follow_phase::kPausing;
    const double spread = 0.75 + 0.5 * RandomUnit(random_);
    const duration pause(static_cast<int64_t>(pause_.count() * spread));
    resume_at_ = now + std::min(pause, settings_.LongestPause());
    pause_ = std::min(pause_ * 2, settings_.LongestPause());
  }

  const collection what_;
  const follower_settings settings_;
  random_source random_;
  const hooks actions_;
  follow_phase phase_ = follow_phase::kStopped;
  /// Watches once everything is listed.
  bool is_following_ = false;
  /// What is known; revision 0 for nothing.
  store_position position_;
  /// The latest epoch in which the store has answered.
  store_epoch epoch_ = 0;
  store_revision first_page_revision_ = 0;
  std::vector<store_object> listed_;
  uint64_t last_call_;
  /// The call under way; 0 for none.
  uint64_t awaited_ = 0;
  /// The store has answered since this follower began, or last lost it.
  bool is_current_ = false;
  bool is_lost_ = false;
  duration pause_{};
  /// When the call under way was made.
  time_point called_at_{};
  /// How long the store may hold the watch under way.
  duration wait_{};
  /// When the first page of the list under way was asked for.
  time_point listed_since_{};
  time_point resume_at_{};
  /// When the last news came.
  time_point news_at_{};
  /// How long the store's last answer took, beyond the time that it was asked
  /// to hold it; of the last answer for which that is known.
  duration delay_{};
  /// The last answer told something.
  bool has_news_ = false;
  time_point answered_at_{};
  time_point confirmed_at_{};
  time_point writers_known_at_{};
  /// When the store answered after it had been lost; time_point{} if never.
  time_point regained_at_{};
};

store_follower::store_follower(collection what,
                               const follower_settings& settings,
                               random_source random, hooks actions)
    : impl_(
          std::make_unique<impl>(what, settings, random, std::move(actions))) {}
store_follower::~store_follower() = default;
void store_follower::Load(time_point now) { impl_->Load(now); }
void store_follower::Rewatch(time_point now, store_position known) {
  impl_->Rewatch(now, known);
}
void store_follower::Follow(time_point now, store_position known) {
  impl_->Follow(now, known);
}
void store_follower::Stop() { impl_->Stop(); }
void store_follower::Restart(time_point now) { impl_->Restart(now); }
void store_follower::Reload(time_point now) { impl_->Reload(now); }
void store_follower::Refresh(time_point now) { impl_->Refresh(now); }
void store_follower::OnReply(time_point now, store_reply reply) {
  impl_->OnReply(now, std::move(reply));
}
void store_follower::OnTick(time_point now) { impl_->OnTick(now); }
void store_follower::OnEpochHeard(time_point now, store_epoch epoch) {
  impl_->OnEpochHeard(now, epoch);
}
store_epoch store_follower::Epoch() const { return impl_->Epoch(); }
bool store_follower::IsFollowing() const { return impl_->IsFollowing(); }
bool store_follower::IsListing() const { return impl_->IsListing(); }
bool store_follower::Awaits(uint64_t id) const { return impl_->Awaits(id); }
time_point store_follower::ConfirmedAt() const { return impl_->ConfirmedAt(); }
time_point store_follower::WritersKnownAt() const {
  return impl_->WritersKnownAt();
}
time_point store_follower::InTouchAt(time_point now) const {
  return impl_->InTouchAt(now);
}

}  // namespace poplarstair
