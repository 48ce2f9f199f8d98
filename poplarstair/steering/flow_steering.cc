#include "poplarstair/steering/flow_steering.h"

#include <algorithm>
#include <utility>

#include "poplarstair/steering/flow_openings.h"
#include "poplarstair/steering/open_flows.h"
#include "poplarstair/steering/peer_loads.h"
#include "poplarstair/steering/steering_log.h"
#include "poplarstair/steering/steering_state.h"

namespace poplarstair {

namespace {

/// Most servers that are tested in one tick.
constexpr uint32_t kChecksPerTick = 4;
/// With so many servers silent, and no answer from any for as long as clients
/// try to open a flow, it is this instance that is cut off.
constexpr uint32_t kCutOffServers = 3;

}  // namespace

class flow_steering::impl {
 public:
  impl(const steering_settings& settings, random_source random,
       metric_registry& metrics, hooks actions)
      : state_(settings, metrics, std::move(actions), TrackerHooks()),
        openings_(state_, random, metrics),
        open_flows_(state_),
        samples_received_(metrics.Counter("server_samples_received",
                                          "Work times of servers that other "
                                          "instances have reported")) {}

  steer_decision OnSegment(time_point now, const segment& packet,
                           std::span<const uint8_t> bytes) {
    const uint64_t hash = packet.FlowHash();
    const steer_decision decision =
        packet.opens_flow ? openings_.OnPacket(now, packet, hash, bytes)
                          : open_flows_.OnPacket(now, packet, hash);
    state_.Count(decision.reason);
    // Its answer may have ended a request that left room.
    if (!packet.opens_flow) openings_.DecideHeld(now);
    return decision;
  }

  time_point NextHandshakeCheck() const { return openings_.NextDue(); }

  void OnHandshakeTimer(time_point now) { openings_.OnTimer(now); }

  void OnCatalog(time_point now, const catalog& current) {
    if (state_.complete_since == kNever) state_.complete_since = now;
    const server_changes changes = state_.servers.Update(now, current);
    for (const server_row row : changes.restarted) {
      state_.actions.log(
          log_record("server_started_anew")
              .With("server", ServerName(state_.servers.At(row).id)));
      state_.estimates.Forget(row);
    }
    LogCookies(changes.other_cookies);
    for (const rejected_entry& entry : changes.rejected) {
      state_.actions.log(
          log_record("server_entry_rejected", log_level::kWarning)
              .With("name", entry.name)
              .With("service", entry.service)
              .With("reason", NameOf(entry.reason))
              .With("routes_version", current.routes.version));
    }
    state_.estimates.Resize(state_.servers.Size());
    state_.routes.Update(current.routes);
    openings_.OnRoutes(now, current.routes);
    services_.clear();
    for (const service_limits& s : current.routes.services) {
      services_.push_back(s.name);
    }
    idle_timeout_ = current.routes.idle_timeout;
    longest_request_ = duration::zero();
    for (const service_route& route : current.routes.routes) {
      longest_request_ = std::max(longest_request_, route.timeout);
    }
    if (longest_request_ == duration::zero()) {
      longest_request_ = duration::max();
    }
  }

  void OnConfirmed(const catalog_times& times) {
    state_.times.Advance(times);
    state_.estimates.SetConfirmed(state_.times.servers_known_at);
  }

  time_point ConfirmationNeeded(time_point now) const {
    time_point needed = open_flows_.ConfirmationNeeded(now);
    for (server_row row = 0; row < state_.servers.Size(); ++row) {
      const known_server& server = state_.servers.At(row);
      if (server.TakesNewFlows()) {
        needed =
            std::max(needed, state_.estimates.ConfirmationNeeded(now, row));
      } else if (MayBeGoneForGood(now, row)) {
        needed =
            std::max(needed, server.gone_at + state_.settings.gone_to_reset);
      }
    }
    return needed;
  }

  void OnPause(time_point now) {
    state_.paused_at = now;
    state_.hold_until = now + kLastOpeningCopy;
    OnLate(now);
  }

  void SetHasNeighbours(bool has_neighbours) {
    open_flows_.SetHasNeighbours(has_neighbours);
  }

  void OnLate(time_point now) {
    // Until then come copies of packets that waited here.
    state_.flows.SetLateUntil(now + kLastOpeningCopy);
  }

  void OnCookieClaims(time_point now, const std::vector<cookie_claim>& claims) {
    LogCookies(state_.servers.OnCookieClaims(now, claims));
  }

  std::vector<cookie_claim> ContestedCookies(time_point now) const {
    return state_.servers.ContestedCookies(now);
  }

  void OnPeerReports(time_point now, uint64_t peer,
                     std::vector<server_report> reports) {
    for (server_report& report : reports) {
      if (report.server != backend_server_id()) continue;
      const server_row row = state_.servers.FindCookie(report.cookie);
      if (row != kNoServer) report.server = state_.servers.At(row).id;
    }
    peer_loads_.Update(now, peer, reports);
    for (const server_report& report : reports) {
      const server_row row = state_.servers.FindId(report.server);
      if (row == kNoServer) continue;
      const server_report sum = peer_loads_.Sum(
          now, state_.settings.estimates.peer_load_age, report.server);
      state_.estimates.SetPeerLoad(now, row, sum.load);
      if (report.work.count > 0) {
        state_.estimates.AddPeerWorkTime(now, row, report.work);
        samples_received_.Add();
      }
      if (state_.estimates.OnPeerWitnesses(now, row, sum.witnesses)) {
        state_.LogSilence(now, row, "peer");
      }
    }
  }

  std::vector<service_load> ServiceLoads() const {
    return openings_.Admission().Loads();
  }

  void OnFarLoads(time_point now, const std::string& domain,
                  const std::vector<service_load>& loads) {
    openings_.Admission().OnPeerLoads(now, domain, loads);
  }

  // Where no server of the own domain is left, each server of the others would
  // have to be found silent by flows of its own, while clients wait.
  void OnOthersSilent(time_point now, time_point since) {
    if (since == others_silent_since_) return;
    others_silent_since_ = since;
    const std::string& own = state_.settings.failure_domain;
    for (server_row row = 0; row < state_.servers.Size(); ++row) {
      const known_server& server = state_.servers.At(row);
      const bool has_answered = state_.estimates.LastProgress(row) >= since;
      if (server.failure_domain != own && server.TakesNewFlows() &&
          !has_answered &&
          !openings_.Services().IsServedIn(own, server.service) &&
          state_.estimates.OnGivenUp(now, row)) {
        state_.LogSilence(now, row, "domain");
      }
    }
  }

  void OnServerChecked(time_point now, server_row row, bool is_reachable) {
    if (!is_reachable) return state_.estimates.OnUnreachable(row);
    state_.estimates.OnReachable(now, row);
    state_.actions.log(
        log_record("server_reachable")
            .With("server", ServerName(state_.servers.At(row).id)));
  }

  void OnTick(time_point now) {
    if (now >= next_sweep_) {
      next_sweep_ = now + std::chrono::seconds(1);
      state_.flows.Sweep(now, idle_timeout_, longest_request_);
      LogCookies(state_.servers.OnTick(now));
    }
    TestSilentServers(now);
    openings_.OnTick(now);
  }

  std::vector<service_admission::named_summary> Admission(time_point now) {
    return openings_.Admission().Summaries(now);
  }

  std::vector<server_report> Reports(time_point now) {
    return reporter_.Reports(now, state_.servers, state_.estimates);
  }

  std::vector<server_belief> ServerBeliefs(time_point now, size_t most) const {
    return SlowestServers(now, state_.servers, state_.estimates, most);
  }

  size_t OpenFlows() const { return state_.flows.Size(); }

  bool CanServe() const {
    return std::all_of(services_.begin(), services_.end(),
                       [this](const std::string& service) {
                         return openings_.Services().IsServedOrEmpty(service);
                       });
  }

  bool HasSilentServers() const {
    for (server_row row = 0; row < state_.servers.Size(); ++row) {
      if (state_.estimates.IsSilent(row) &&
          state_.servers.At(row).TakesNewFlows()) {
        return true;
      }
    }
    return false;
  }

  bool IsCutOff(time_point now) const {
    if (now - state_.flows.LastProgress() < kOpeningGivenUp) return false;
    uint32_t silent = 0;
    for (server_row row = 0; row < state_.servers.Size(); ++row) {
      if (state_.estimates.IsSilent(row) &&
          state_.estimates.OwnWitnesses(now, row) > 0) {
        ++silent;
      }
    }
    return silent >= kCutOffServers;
  }

 private:
  void LogCookies(const std::vector<server_row>& rows) const {
    for (const server_row row : rows) {
      const known_server& server = state_.servers.At(row);
      state_.actions.log(log_record("server_cookie_shared")
                             .With("server", ServerName(server.id))
                             .With("name", server.name)
                             .With("cookie", server.cookie));
    }
  }

  /// True if only the store's word is missing to end the server's open flows.
  bool MayBeGoneForGood(time_point now, server_row row) const {
    const known_server& server = state_.servers.At(row);
    return server.gone_at != kNever && state_.estimates.IsSilent(row) &&
           state_.estimates.Flows(row) > 0 &&
           now >= server.gone_at + state_.settings.gone_to_reset;
  }

  void TestSilentServers(time_point now) {
    uint32_t checks = 0;
    for (size_t i = 0; i < state_.servers.Size() && checks < kChecksPerTick;
         ++i) {
      next_checked_ = (next_checked_ + 1) % state_.servers.Size();
      const known_server& server = state_.servers.At(next_checked_);
      if (!state_.estimates.NeedsTest(now, next_checked_)) continue;
      if (server.gone_at != kNever || server.is_address_taken) continue;
      ++checks;
      state_.estimates.OnTested(now, next_checked_);
      state_.actions.check_server(next_checked_, server.address);
    }
  }

  flow_tracker::hooks TrackerHooks() {
    return {
        [this](server_row row) {
          state_.actions.log(
              log_record("server_answers")
                  .With("server", ServerName(state_.servers.At(row).id)));
        },
        [this](time_point now, server_row row, std::string_view source) {
          state_.LogSilence(now, row, source);
        },
        [this](time_point now, uint64_t flow, server_row row) {
          openings_.OnStarted(now, flow, row);
        },
        [this](time_point now, uint64_t flow, std::optional<duration> took) {
          openings_.Admission().OnEnded(now, flow, took);
        }};
  }

  steering_state state_;
  flow_openings openings_;
  open_flows open_flows_;
  /// Services of the configuration.
  std::vector<std::string> services_;
  metric& samples_received_;
  peer_loads peer_loads_;
  server_reporter reporter_;
  duration idle_timeout_ = std::chrono::seconds(15);
  /// Longest timeout of any route; duration::max() if none is stated.
  duration longest_request_ = duration::max();
  time_point next_sweep_{};
  /// What OnOthersSilent was last told.
  time_point others_silent_since_{};
  server_row next_checked_ = 0;
};

flow_steering::flow_steering(const steering_settings& settings,
                             random_source random, metric_registry& metrics,
                             hooks actions)
    : impl_(std::make_unique<impl>(settings, random, metrics,
                                   std::move(actions))) {}
flow_steering::~flow_steering() = default;
steer_decision flow_steering::OnSegment(time_point now, const segment& packet,
                                        std::span<const uint8_t> bytes) {
  return impl_->OnSegment(now, packet, bytes);
}
void flow_steering::OnHandshakeTimer(time_point now) {
  impl_->OnHandshakeTimer(now);
}
time_point flow_steering::NextHandshakeCheck() const {
  return impl_->NextHandshakeCheck();
}
void flow_steering::OnCatalog(time_point now, const catalog& current) {
  impl_->OnCatalog(now, current);
}
void flow_steering::OnConfirmed(const catalog_times& times) {
  impl_->OnConfirmed(times);
}
time_point flow_steering::ConfirmationNeeded(time_point now) const {
  return impl_->ConfirmationNeeded(now);
}
void flow_steering::OnPause(time_point now) { impl_->OnPause(now); }
void flow_steering::SetHasNeighbours(bool has_neighbours) {
  impl_->SetHasNeighbours(has_neighbours);
}
void flow_steering::OnLate(time_point now) { impl_->OnLate(now); }
void flow_steering::OnPeerReports(time_point now, uint64_t peer,
                                  std::vector<server_report> reports) {
  impl_->OnPeerReports(now, peer, std::move(reports));
}
void flow_steering::OnCookieClaims(time_point now,
                                   const std::vector<cookie_claim>& claims) {
  impl_->OnCookieClaims(now, claims);
}
std::vector<cookie_claim> flow_steering::ContestedCookies(
    time_point now) const {
  return impl_->ContestedCookies(now);
}
std::vector<service_load> flow_steering::ServiceLoads() const {
  return impl_->ServiceLoads();
}
void flow_steering::OnFarLoads(time_point now, const std::string& domain,
                               const std::vector<service_load>& loads) {
  impl_->OnFarLoads(now, domain, loads);
}
void flow_steering::OnOthersSilent(time_point now, time_point since) {
  impl_->OnOthersSilent(now, since);
}
void flow_steering::OnServerChecked(time_point now, server_row server,
                                    bool is_reachable) {
  impl_->OnServerChecked(now, server, is_reachable);
}
void flow_steering::OnTick(time_point now) { impl_->OnTick(now); }
std::vector<server_report> flow_steering::Reports(time_point now) {
  return impl_->Reports(now);
}
std::vector<server_belief> flow_steering::ServerBeliefs(time_point now,
                                                        size_t most) const {
  return impl_->ServerBeliefs(now, most);
}
std::vector<service_admission::named_summary> flow_steering::Admission(
    time_point now) {
  return impl_->Admission(now);
}
size_t flow_steering::OpenFlows() const { return impl_->OpenFlows(); }
bool flow_steering::CanServe() const { return impl_->CanServe(); }
bool flow_steering::HasSilentServers() const {
  return impl_->HasSilentServers();
}
bool flow_steering::IsCutOff(time_point now) const {
  return impl_->IsCutOff(now);
}

}  // namespace poplarstair
