// Steering of one instance, for tests.
#ifndef UNIT_TESTS_STEERING_STEERING_SITE_H_
#define UNIT_TESTS_STEERING_STEERING_SITE_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "poplarstair/steering/flow_steering.h"
// clang-format off: Criterion's macros change names in absl's headers.
#include <criterion/criterion.h>
// clang-format on

namespace poplarstair {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr time_point kStart{seconds(100)};
inline const endpoint kFeed = endpoint::Parse("198.18.0.1:443");
inline const endpoint kForms = endpoint::Parse("198.18.0.1:80");

/// Steering of one instance in domain "a", with four servers: 1 and 2 in its
/// own domain, 3 and 4 in domain "b".
class steering_site {
 public:
  steering_site() {
    AddRoute(kFeed, request_kind::kIdempotent);
    AddRoute(kForms, request_kind::kNotIdempotent);
    known.routes.version = 1;
    known.routes.services = {{"s", 0, 0}, {"other", 0, 0}};
    for (uint64_t id = 1; id <= 4; ++id) {
      server_entry server;
      server.id = backend_server_id(id);
      server.service = "s";
      server.address = endpoint::Parse("10.0.0." + std::to_string(id) + ":80");
      server.failure_domain = id <= 2 ? "a" : "b";
      server.slots = 2;
      known.servers[std::to_string(id)] = server;
    }
    Publish();
  }

  /// An instance whose first catalog is `start`.
  explicit steering_site(catalog start) : known(std::move(start)) { Publish(); }

  void AddRoute(const endpoint& address, request_kind kind) {
    service_route route;
    route.address = address;
    route.services = {{"s", 1}};
    route.kind = kind;
    known.routes.routes.push_back(route);
  }

  void Publish() {
    steering.OnCatalog(now, known);
    Confirm(now);
  }

  /// The store answers at once.
  void Confirm(time_point at) {
    const service_promises promises;
    steering.OnConfirmed({at + promises.routes_in_force, at, at});
  }

  steer_decision Open(uint16_t port, uint32_t copy = 0,
                      const endpoint& service = kFeed) {
    segment packet = Packet(port, service);
    packet.opens_flow = true;
    packet.copy = copy;
    return Send(packet);
  }

  /// The caller's answer to the handshake of the server named by `cookie`.
  steer_decision Answer(uint16_t port, flow_cookie cookie,
                        const endpoint& service = kFeed) {
    segment packet = Packet(port, service);
    packet.cookie = cookie;
    packet.sequence = 1;
    packet.acknowledged = 1;
    return Send(packet);
  }

  /// Data from the caller; the same `sequence` again is a repetition.
  steer_decision Data(uint16_t port, flow_cookie cookie, uint32_t sequence,
                      uint32_t acknowledged, const endpoint& service = kFeed) {
    segment packet = Packet(port, service);
    packet.cookie = cookie;
    packet.sequence = sequence;
    packet.acknowledged = acknowledged;
    packet.payload_bytes = 100;
    return Send(packet);
  }

  /// Opens a flow whose server answers at once; returns the decision.
  steer_decision OpenAndAnswer(uint16_t port, const endpoint& service = kFeed) {
    const steer_decision placed = Open(port, 0, service);
    now += milliseconds(3);
    Answer(port, placed.cookie, service);
    return placed;
  }

  /// Servers 1 to 4 have the rows 0 to 3.
  void Check(backend_server_id server, bool is_reachable) {
    const auto row = static_cast<server_row>(server.Value() - 1);
    steering.OnServerChecked(now, row, is_reachable);
  }

  void Pass(duration time) {
    const time_point end = now + time;
    while (now < end) {
      now += milliseconds(20);
      Confirm(now);
      if (now >= steering.NextHandshakeCheck()) steering.OnHandshakeTimer(now);
      steering.OnTick(now);
    }
  }

  /// Makes admission act: kForms is of a higher priority than kFeed, and the
  /// instance may have three requests in progress for each slot of domain "a".
  void LimitRoom() {
    known.routes.version = 2;
    known.routes.routes[0].priority = 2;
    known.routes.routes[1].priority = 1;
    fleet.is_settled = true;
    fleet.domains = 2;
    Publish();
  }

  /// Opens flows with requests in progress until the service is full; returns
  /// the flows' cookies by port. One has been answered before, so that it is
  /// known how long requests count.
  std::map<uint16_t, flow_cookie> FillService() {
    const steer_decision first = OpenAndAnswer(900);
    Data(900, first.cookie, 1, 1);
    now += milliseconds(500);
    Data(900, first.cookie, 101, 500);
    std::map<uint16_t, flow_cookie> open;
    for (uint16_t port = 901; port <= 911; ++port) {
      const steer_decision placed = Open(port);
      cr_assert_eq(placed.verdict, steer_verdict::kForward);
      Answer(port, placed.cookie);
      Data(port, placed.cookie, 1, 1);
      open[port] = placed.cookie;
    }
    return open;
  }

  steer_decision Send(const segment& packet) {
    static constexpr uint8_t kBytes[] = {42};
    return steering.OnSegment(now, packet, kBytes);
  }

  static segment Packet(uint16_t port, const endpoint& service) {
    segment packet;
    packet.caller = {ip_address::Parse("100.64.0.7"), port};
    packet.service = service;
    return packet;
  }

  static flow_cookie Cookie(uint64_t id) {
    return cookie_claims::CandidatesOf(std::to_string(id)).front();
  }

  time_point now = kStart;
  catalog known;
  std::vector<steer_decision> sent_again;
  std::vector<segment> reset;
  fleet_facts fleet;
  std::set<backend_server_id> tested;
  uint32_t cold_owners = 0;
  /// Other domains do not answer.
  bool may_be_cut = false;
  metric_registry metrics;
  flow_steering steering{
      Settings(),
      random_source(7),
      metrics,
      {[](const log_record&) {},
       [this](server_row row, const endpoint&) {
         tested.insert(backend_server_id(row + 1));
       },
       [this](std::span<const uint8_t>, const steer_decision& d) {
         sent_again.push_back(d);
       },
       [this](const segment& packet) { reset.push_back(packet); },
       [this](time_point) { return fleet; },
       [this](const known_server&) { return cold_owners; },
       [this](time_point) { return may_be_cut; }}};

 private:
  static steering_settings Settings() {
    steering_settings settings;
    settings.failure_domain = "a";
    return settings;
  }
};

inline bool IsOwn(const steer_decision& decision) {
  return decision.server.Value() <= 2;
}

/// Makes a server silent: two flows get no answer, even when sent again.
inline backend_server_id SilenceServerOf(steering_site& site, uint16_t port) {
  const steer_decision first = site.OpenAndAnswer(port);
  site.now += milliseconds(500);
  site.Data(port, first.cookie, 1, 1);
  site.now += milliseconds(200);
  site.Data(port, first.cookie, 1, 1);
  site.now += milliseconds(400);
  site.Data(port, first.cookie, 1, 1);
  return first.server;
}

}  // namespace poplarstair

#endif  // UNIT_TESTS_STEERING_STEERING_SITE_H_
