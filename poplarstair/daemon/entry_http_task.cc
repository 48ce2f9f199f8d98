#include "poplarstair/daemon/entry_http_task.h"

#include <optional>

#include "poplarstair/daemon/digest_task.h"

namespace poplarstair {

namespace {

struct known_page {
  entry_query::page page;
  collection what = collection::kRoutes;
  const char* type;
};

std::optional<known_page> PageOf(const std::string& path) {
  using page = entry_query::page;
  if (path == "/ready") return known_page{page::kReady, {}, "text/plain"};
  if (path == "/state") return known_page{page::kState, {}, "application/json"};
  if (path == "/metrics") {
    return known_page{page::kMetrics, {}, "text/plain; version=0.0.4"};
  }
  if (!path.starts_with(kCollectionPath)) return std::nullopt;
  const auto what = ValueOf<collection>(path.substr(kCollectionPath.size()));
  if (!what) return std::nullopt;
  return known_page{page::kCollection, *what, "application/msgpack"};
}

}  // namespace

entry_http_task::entry_http_task(event_loop& loop, const endpoint& local,
                                 entry_board& board)
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
  query.answer = [respond, type = known->type](int status, std::string body) {
    respond({status, {{"content-type", type}}, std::move(body)});
  };
  board_.steering.Post(std::move(query));
}

}  // namespace poplarstair
