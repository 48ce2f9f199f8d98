#include "poplarstair/steering/server_reporter.h"

#include <algorithm>

namespace poplarstair {

namespace {

/// Most servers that one report to other instances names.
constexpr size_t kMaxReports = 64;
/// Load below which a server is not worth reporting.
constexpr double kReportedLoad = 0.05;
/// Servers that one report names for their work time alone. In turn, so that
/// digests stay small and a domain hears of each server every second or two.
constexpr size_t kWorkTimeReports = 8;
/// Fewer samples than this are not worth reporting.
constexpr double kReportedSamples = 0.5;

bool IsLoadedOrSilent(time_point now, const server_estimates& estimates,
                      server_row row) {
  return estimates.OwnLoad(now, row) >= kReportedLoad ||
         estimates.OwnWitnesses(now, row) > 0;
}

}  // namespace

std::vector<server_report> server_reporter::Reports(
    time_point now, const server_set& servers,
    const server_estimates& estimates) {
  std::vector<server_report> reports;
  for (server_row row = 0; row < servers.Size(); ++row) {
    const known_server& server = servers.At(row);
    if (server.gone_at != kNever) continue;
    if (!IsLoadedOrSilent(now, estimates, row)) continue;
    reports.push_back({server.id, estimates.OwnLoad(now, row),
                       estimates.OwnWitnesses(now, row),
                       estimates.OwnWorkTime(now, row), server.cookie});
    if (reports.size() == kMaxReports) break;
  }
  AddWorkTimes(now, servers, estimates, reports);
  return reports;
}

void server_reporter::AddWorkTimes(time_point now, const server_set& servers,
                                   const server_estimates& estimates,
                                   std::vector<server_report>& reports) {
  const size_t limit = std::min(reports.size() + kWorkTimeReports, kMaxReports);
  for (size_t i = 0; i < servers.Size() && reports.size() < limit; ++i) {
    last_reported_ = (last_reported_ + 1) % servers.Size();
    const known_server& server = servers.At(last_reported_);
    if (server.gone_at != kNever) continue;
    if (IsLoadedOrSilent(now, estimates, last_reported_)) continue;
    const work_time_samples work = estimates.OwnWorkTime(now, last_reported_);
    if (work.count < kReportedSamples) continue;
    reports.push_back({server.id, 0, 0, work, server.cookie});
  }
}

std::vector<server_belief> SlowestServers(time_point now,
                                          const server_set& servers,
                                          const server_estimates& estimates,
                                          size_t most) {
  std::vector<server_belief> beliefs;
  for (server_row row = 0; row < servers.Size(); ++row) {
    const known_server& server = servers.At(row);
    if (server.gone_at != kNever) continue;
    beliefs.push_back({server.id, server.service, server.failure_domain,
                       estimates.WorkTime(now, row),
                       estimates.OwnLoad(now, row), estimates.IsSilent(row),
                       server.TakesNewFlows()});
  }
  std::stable_sort(beliefs.begin(), beliefs.end(),
                   [](const server_belief& a, const server_belief& b) {
                     return a.work.mean > b.work.mean;
                   });
  if (beliefs.size() > most) beliefs.resize(most);
  return beliefs;
}

}  // namespace poplarstair
