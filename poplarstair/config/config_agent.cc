#include "poplarstair/config/config_agent.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <vector>

#include "poplarstair/config/config_error.h"
#include "poplarstair/config/config_head.h"
#include "poplarstair/config/config_loader.h"
#include "poplarstair/config/part_fetcher.h"
#include "poplarstair/config/spread_peers.h"
#include "poplarstair/core/codec.h"

namespace poplarstair {

namespace {

enum class message_kind : uint8_t { kAnnounce, kWant, kParts };

constexpr uint8_t kMessageFormat = 1;

/// Announces the generation that the sender holds, or lists hashes of parts
/// that it wants, or carries parts.
struct config_message {
  uint8_t format = kMessageFormat;
  uint8_t kind = 0;
  uint64_t site = 0;
  generation number = 0;
  std::string base;
  std::string overlay;
  bool reply_wanted = false;
  std::vector<std::string> items;
  MSGPACK_DEFINE(format, kind, site, number, base, overlay, reply_wanted, items)
};

effective_config_ptr LoadFiles(const config_files& files) {
  auto config = std::make_shared<effective_config>(
      LoadConfig({"base", files.base}, {"overlay", files.overlay}, files.site));
  config->number = files.number;
  return config;
}

}  // namespace

class config_agent::impl {
 public:
  impl(config_agent_settings settings, instance_id self, random_source random,
       hooks actions)
      : settings_(std::move(settings)),
        self_(self),
        site_(HashBytes(settings_.site)),
        random_(random),
        hooks_(std::move(actions)),
        fetcher_(
            settings_.part_timeout,
            [this](instance_id source, const std::vector<std::string>& hashes) {
              Ask(source, hashes);
            }),
        budget_(settings_.serve_burst) {}

  void OnPlatformReply(time_point now, const platform_reply& reply) {
    if (watch_id_ != 0 && reply.id == watch_id_) return OnWatchEnd(now, reply);
    if (recheck_id_ != 0 && reply.id == recheck_id_) {
      recheck_id_ = 0;
      OnHead(now, reply);
      return;
    }
    const auto call = content_calls_.find(reply.id);
    if (call == content_calls_.end()) return;
    const std::string hash = call->second;
    content_calls_.erase(call);
    if (reply.status == platform_status::kOk) OnPart(reply.body);
    Continue(now);
  }

  void OnMessage(time_point now, const peer_message& message) {
    const auto received = DecodeMessage<config_message>(message.body);
    if (received.format > kMessageFormat) {
      throw malformed_message("configuration message", "newer format");
    }
    last_heard_ = now;
    if (received.site != site_) return;
    switch (static_cast<message_kind>(received.kind)) {
      case message_kind::kAnnounce:
        return OnAnnounce(now, message.from, received);
      case message_kind::kWant:
        return Serve(message.from, received.items);
      case message_kind::kParts:
        for (const std::string& part : received.items) OnPart(part);
        return Continue(now);
    }
    throw malformed_message("configuration message", "unknown kind");
  }

  void OnMembers(const member_view& view) {
    peers_ = spread_peers::FromView(view, self_, settings_.watchers_per_domain);
    std::erase_if(unanswered_, [&](instance_id id) {
      const member* m = view.Find(id);
      return m == nullptr || !IsUsable(*m);
    });
  }

  void OnTick(time_point now) {
    if (!started_) Start(now);
    RefillBudget(now);
    if (joining_) {
      ContinueJoin(now);
    } else if (in_force_ == 0 && held_.number > 0) {
      Adopt(now);
    }
    const bool watch_lost = watch_id_ != 0 && now >= watch_lost_at_;
    if (IsWatcher(now) && now >= next_watch_ &&
        (watch_id_ == 0 || watch_lost)) {
      WatchHead(now);
    } else if (watch_id_ != 0 && now >= next_recheck_) {
      RecheckHead(now);
    }
    Continue(now);
    if (now < next_announce_) return;
    next_announce_ = now + settings_.announce_interval;
    for (instance_id id : PickSome(peers_.domain, 1, random_)) {
      Announce(id, true);
    }
    if (!peers_.is_watcher) return;
    for (instance_id id : PickSome(peers_.remote_watchers, 1, random_)) {
      Announce(id, true);
    }
  }

  generation InForce() const { return in_force_; }

  bool IsWatcher(time_point now) const {
    return peers_.is_watcher || now - last_heard_ > settings_.isolated_after;
  }

  std::string StateJson() const {
    return nlohmann::json{
        {"generation", in_force_}, {"site", settings_.site},
        {"held", held_.number},    {"refused", refused_},
        {"starting", joining_},    {"watcher", peers_.is_watcher}}
        .dump();
  }

 private:
  void Start(time_point now) {
    started_ = true;
    last_heard_ = now;
    last_refill_ = now;
    join_until_ = now + settings_.join_wait;
    join_give_up_ = now + settings_.join_give_up;
  }

  // A starting instance has no stored configuration, and the platform may reply
  // with older data. It therefore asks peers first and takes the highest
  // generation.
  void ContinueJoin(time_point now) {
    if (!asked_ && !peers_.domain.empty()) {
      asked_ = true;
      join_until_ = now + settings_.join_wait;
      for (instance_id id :
           PickSome(peers_.domain, settings_.join_peers, random_)) {
        unanswered_.insert(id);
      }
    }
    // The question is repeated, because messages are lost and replies become
    // outdated.
    if (asked_ && now >= next_ask_) {
      next_ask_ = now + kAskInterval;
      for (instance_id id : unanswered_) Announce(id, true);
      for (instance_id id : peers_.remote_watchers) Announce(id, true);
    }
    const bool all_answered = asked_ && unanswered_.empty();
    if (!all_answered && now < join_until_) return;
    joining_ = false;
    if (held_.number > 0) Adopt(now);
  }

  void OnAnnounce(time_point now, instance_id from,
                  const config_message& received) {
    unanswered_.erase(from);
    if (received.number > held_.number) {
      Consider(now, {received.number, received.base, received.overlay}, from);
    } else if (received.number < held_.number || received.reply_wanted) {
      Announce(from, false);
      return;
    }
    if (received.reply_wanted) Announce(from, false);
  }

  /// Begins to fetch a generation that `source` has, if it is the highest
  /// known.
  void Consider(time_point now, const config_roots& heard, instance_id source) {
    if (heard.number <= held_.number) return;
    if (heard.number > fetcher_.Target().number) fetcher_.Begin(heard);
    if (heard.number != fetcher_.Target().number) return;
    fetcher_.AddSource(source);
    // The first configuration is fetched as a whole. If it is large, the peers'
    // send limits would make that slow, so the platform is asked too.
    if (in_force_ == 0) fetcher_.AddSource(part_fetcher::kPlatform);
    Continue(now);
  }

  void OnPart(const std::string& content) {
    std::string hash = ContentHash(content);
    if (fetcher_.OnPart(hash)) parts_.emplace(std::move(hash), content);
  }

  void Continue(time_point now) {
    if (!fetcher_.IsActive()) return;
    bool is_whole = false;
    try {
      is_whole = fetcher_.Continue(now, parts_, random_);
    } catch (const malformed_message& failure) {
      // The announced content names are malformed. Stopping lets a later
      // announcement be fetched.
      fetcher_.Stop();
      throw;
    }
    if (is_whole) Hold(now);
  }

  void Hold(time_point now) {
    held_ = fetcher_.Target();
    fetcher_.Stop();
    DropOldParts();
    Push();
    Adopt(now);
  }

  void DropOldParts() {
    part_map kept;
    for (const std::string& root : {held_.base, held_.overlay}) {
      for (std::string& hash : ReachableParts(root, parts_)) {
        const auto it = parts_.find(hash);
        if (it == parts_.end()) continue;
        kept.emplace(std::move(hash), std::move(it->second));
        parts_.erase(it);
      }
    }
    parts_ = std::move(kept);
  }

  /// Announces the new generation to some peers. The others learn of it when
  /// they compare generations.
  void Push() {
    for (instance_id id : PickSome(peers_.domain, settings_.fan_out, random_)) {
      Announce(id, false);
    }
    if (!peers_.is_watcher) return;
    for (instance_id id :
         PickSome(peers_.remote_watchers, settings_.fan_out, random_)) {
      Announce(id, false);
    }
  }

  /// Puts the held generation into force. Content that is invalid on this
  /// instance stays held, so that peers can fetch it.
  void Adopt(time_point now) {
    if (held_.number <= in_force_ || held_.number == refused_) return;
    if (joining_) return;
    // After a start no generation lower than a peer's may come into force.
    const bool higher_known = fetcher_.Target().number > held_.number;
    if (in_force_ == 0 && higher_known && now < join_give_up_) return;
    try {
      const config_files files{held_.number, settings_.site,
                               AssembleContent(held_.base, parts_).value(),
                               AssembleContent(held_.overlay, parts_).value()};
      const effective_config_ptr config =
          hooks_.load ? hooks_.load(files) : LoadFiles(files);
      in_force_ = held_.number;
      hooks_.log(
          log_record("configuration_in_force").With("generation", in_force_));
      hooks_.in_force(now, config);
    } catch (const config_error& failure) {
      refused_ = held_.number;
      hooks_.log(log_record("configuration_rejected", log_level::kError)
                     .With("generation", refused_)
                     .With("error", failure.what()));
    }
  }

  // The platform.
  void WatchHead(time_point now) {
    watch_id_ = ++last_call_;
    watch_lost_at_ = now + kWatchLostAfter;
    next_recheck_ = now + settings_.recheck_interval;
    hooks_.call_platform({watch_id_, platform_operation::kWatch,
                          std::string(kHeadKey), head_version_, ""});
  }

  void RecheckHead(time_point now) {
    next_recheck_ = now + settings_.recheck_interval;
    recheck_id_ = ++last_call_;
    hooks_.call_platform(
        {recheck_id_, platform_operation::kGet, std::string(kHeadKey), 0, ""});
  }

  void OnWatchEnd(time_point now, const platform_reply& reply) {
    watch_id_ = 0;
    // A reply without a new generation must not start another watch at once.
    next_watch_ = now + settings_.retry_after;
    if (reply.status == platform_status::kNotModified) next_watch_ = now;
    if (OnHead(now, reply)) next_watch_ = now;
  }

  /// True if the platform has a newer generation.
  bool OnHead(time_point now, const platform_reply& reply) {
    if (reply.status != platform_status::kOk) return false;
    const config_head head = config_head::FromJson(reply.body);
    head_version_ = std::max(head_version_, reply.version);
    const auto overlay = head.overlay_roots.find(settings_.site);
    if (overlay == head.overlay_roots.end()) return false;
    if (head.number <= held_.number) return false;
    parts_.insert(head.new_parts.begin(), head.new_parts.end());
    Consider(now, {head.number, head.base_root, overlay->second},
             part_fetcher::kPlatform);
    return true;
  }

  void Ask(instance_id source, const std::vector<std::string>& hashes) {
    if (source != part_fetcher::kPlatform) {
      config_message wanted = Message(message_kind::kWant);
      wanted.items = hashes;
      return Send(source, wanted);
    }
    for (const std::string& hash : hashes) {
      content_calls_[++last_call_] = hash;
      hooks_.call_platform(
          {last_call_, platform_operation::kGet, ContentKey(hash), 0, ""});
    }
  }

  // Peers.
  void RefillBudget(time_point now) {
    budget_ += ToSeconds(now - last_refill_) * settings_.serve_rate;
    budget_ = std::min(budget_, settings_.serve_burst);
    last_refill_ = now;
  }

  /// Sends the requested parts within the send limit. Parts beyond it are not
  /// sent; the peer requests them from another source.
  void Serve(instance_id to, const std::vector<std::string>& hashes) {
    for (const std::string& hash : hashes) {
      const auto it = parts_.find(hash);
      if (it == parts_.end()) continue;
      const auto size = static_cast<double>(it->second.size());
      if (size > budget_) return;
      budget_ -= size;
      config_message parts = Message(message_kind::kParts);
      parts.items.push_back(it->second);
      Send(to, parts);
    }
  }

  config_message Message(message_kind kind) const {
    config_message message;
    message.kind = static_cast<uint8_t>(kind);
    message.site = site_;
    return message;
  }

  void Announce(instance_id peer, bool reply_wanted) {
    config_message message = Message(message_kind::kAnnounce);
    message.number = held_.number;
    message.base = held_.base;
    message.overlay = held_.overlay;
    message.reply_wanted = reply_wanted;
    Send(peer, message);
  }

  void Send(instance_id peer, const config_message& message) {
    hooks_.send(
        {self_, peer, message_channel::kConfiguration, EncodeMessage(message)});
  }

  static constexpr duration kAskInterval = std::chrono::milliseconds(200);
  static constexpr duration kWatchLostAfter = std::chrono::seconds(60);

  const config_agent_settings settings_;
  const instance_id self_;
  const uint64_t site_;
  random_source random_;
  const hooks hooks_;

  // The newest completely fetched generation, the generation in force, and the
  // latest one that was rejected as invalid.
  config_roots held_;
  part_map parts_;
  generation in_force_ = 0;
  generation refused_ = 0;
  part_fetcher fetcher_;

  // State of the start.
  bool started_ = false;
  bool joining_ = true;
  bool asked_ = false;
  std::set<instance_id> unanswered_;
  time_point next_ask_{};
  time_point join_until_{};
  time_point join_give_up_{};

  // Calls to the platform under way.
  uint64_t last_call_ = 0;
  uint64_t watch_id_ = 0;
  uint64_t recheck_id_ = 0;
  time_point next_recheck_{};
  time_point watch_lost_at_{};
  time_point next_watch_{};
  object_version head_version_ = 0;
  std::map<uint64_t, std::string> content_calls_;

  spread_peers peers_;
  time_point last_heard_{};
  time_point next_announce_{};
  double budget_ = 0;
  time_point last_refill_{};
};

config_agent::config_agent(const config_agent_settings& settings,
                           instance_id self, random_source random,
                           hooks actions)
    : impl_(
          std::make_unique<impl>(settings, self, random, std::move(actions))) {}

config_agent::~config_agent() = default;

void config_agent::OnPlatformReply(time_point now,
                                   const platform_reply& reply) {
  impl_->OnPlatformReply(now, reply);
}

void config_agent::OnMessage(time_point now, const peer_message& message) {
  impl_->OnMessage(now, message);
}

void config_agent::OnMembers(time_point /*now*/, const member_view& view) {
  impl_->OnMembers(view);
}

void config_agent::OnTick(time_point now) { impl_->OnTick(now); }

generation config_agent::InForce() const { return impl_->InForce(); }

bool config_agent::IsWatcher(time_point now) const {
  return impl_->IsWatcher(now);
}

std::string config_agent::StateJson() const { return impl_->StateJson(); }

}  // namespace poplarstair
