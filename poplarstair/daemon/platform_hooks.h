// What an adapter to a platform provides: its formats, and no decision.
#ifndef POPLARSTAIR_DAEMON_PLATFORM_HOOKS_H_
#define POPLARSTAIR_DAEMON_PLATFORM_HOOKS_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <vector>

#include "poplarstair/catalog/store_call.h"
#include "poplarstair/daemon/entry_daemon_settings.h"
#include "poplarstair/io/http_client.h"
#include "poplarstair/steering/segment.h"

namespace poplarstair {

struct platform_hooks {
  platform_facts facts;
  /// Nothing if the bytes are no packet of a caller.
  std::function<std::optional<segment>(std::span<const uint8_t>)> parse_packet;
  /// Writes the datagram for a backend server into the last argument.
  std::function<void(std::span<const uint8_t> packet, backend_server_id server,
                     flow_cookie cookie, std::vector<uint8_t>& datagram)>
      wrap_packet;
  /// Writes a reset for the flow's caller into the last argument.
  std::function<void(const segment& refused, std::vector<uint8_t>& datagram)>
      make_reset;
  std::function<http_call(const store_request&, const endpoint& store)>
      to_store_call;
  std::function<store_reply(time_point now, const store_request&,
                            const std::optional<http_reply>&)>
      from_store_answer;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_DAEMON_PLATFORM_HOOKS_H_
