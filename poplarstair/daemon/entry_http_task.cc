#include "poplarstair/daemon/entry_http_task.h"

#include <charconv>
#include <optional>
#include <string_view>

#include "poplarstair/daemon/digest_task.h"

namespace poplarstair {

namespace {

struct known_page {
  entry_query::page page;
  collection what = collection::kRoutes;
  const char* type;
  store_position since = {};
};

std::optional<uint64_t> NumberOf(std::string_view text) {
  uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return number;
}

std::optional<store_position> SinceOf(std::string_view query) {
  if (query.empty()) return store_position{};
  if (!query.starts_with(kSinceQuery)) return std::nullopt;
  query.remove_prefix(kSinceQuery.size());
  const size_t end = query.find(kEpochQuery);
  const auto revision = NumberOf(query.substr(0, end));
  const auto epoch = end == std::string_view::npos
                         ? std::optional<uint64_t>(0)
                         : NumberOf(query.substr(end + kEpochQuery.size()));
  if (!revision || !epoch) return std::nullopt;
  return store_position{*epoch, *revision};
}

std::optional<known_page> CollectionPageOf(std::string_view path) {
  path.remove_prefix(kCollectionPath.size());
  const std::string_view name = path.substr(0, path.find('?'));
  const auto what = ValueOf<collection>(name);
  const auto since = SinceOf(path.substr(name.size()));
  if (!what || !since) return std::nullopt;
  return known_page{entry_query::page::kCollection, *what,
                    "application/msgpack", *since};
}

std::optional<known_page> PageOf(const std::string& path) {
  using page = entry_query::page;
  if (path == "/ready") return known_page{page::kReady, {}, "text/plain"};
  if (path == "/state") return known_page{page::kState, {}, "application/json"};
  if (path == "/metrics") {
    return known_page{page::kMetrics, {}, "text/plain; version=0.0.4"};
  }
  if (path.starts_with(kCollectionPath)) return CollectionPageOf(path);
  return std::nullopt;
}

}  // namespace

entry_http_task::entry_http_task(event_loop& loop, const endpoint& local,
                                 entry_mailboxes& board)
    : board_(board),
      server_(
          loop, local,
          [this](const http_request& request, const http_responder& respond) {
            Handle(request, respond);
          }) {}

void entry_http_task::Handle(const http_request& request,
                             const http_responder& respond) {
  const std::optional<known_page> known = PageOf(request.path);
  if (!known) {
    return respond({404,
                    {},
                    "known pages: /ready, /state, /metrics, "
                    "/catalog/routes, /catalog/servers, "
                    "/catalog/withdrawals\n"});
  }
  if (request.method != "GET") return respond({405, {}, "use GET\n"});
  entry_query query;
  query.wanted = known->page;
  query.what = known->what;
  query.since = known->since;
  query.answer = [respond, type = known->type](int status, std::string body) {
    respond({status, {{"content-type", type}}, std::move(body)});
  };
  board_.steering.Post(std::move(query));
}

}  // namespace poplarstair
