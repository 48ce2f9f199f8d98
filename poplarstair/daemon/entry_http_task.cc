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
  store_revision since = 0;
};

std::optional<store_revision> SinceOf(std::string_view query) {
  if (query.empty()) return 0;
  if (!query.starts_with(kSinceQuery)) return std::nullopt;
  query.remove_prefix(kSinceQuery.size());
  store_revision since = 0;
  const char* const end = query.data() + query.size();
  const auto parsed = std::from_chars(query.data(), end, since);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return since;
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
  if (path == "/ready") return known_page{page::kReady, {}, "text/plain", 0};
  if (path == "/state")
    return known_page{page::kState, {}, "application/json", 0};
  if (path == "/metrics") {
    return known_page{page::kMetrics, {}, "text/plain; version=0.0.4", 0};
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
