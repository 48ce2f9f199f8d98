#include "poplarstair/daemon/admin_task.h"

namespace poplarstair {

admin_task::admin_task(event_loop& loop, const endpoint& local,
                       task_mailboxes& board)
    : board_(board),
      server_(
          loop, local,
          [this](const http_request& request, const http_responder& respond) {
            Handle(request, respond);
          }) {
  board_.counters.Bind(loop, [this](const counter_add& add) {
    io_metrics_.Counter(add.name, add.help).Add(add.amount);
  });
}

admin_task::~admin_task() { board_.counters.Unbind(); }

void admin_task::Handle(const http_request& request,
                        const http_responder& respond) {
  const bool is_metrics = request.path == "/metrics";
  if (!is_metrics && request.path != "/state") {
    return respond({404, {}, "known pages: /metrics, /state\n"});
  }
  if (request.method != "GET") return respond({405, {}, "use GET\n"});
  const std::string type =
      is_metrics ? "text/plain; version=0.0.4" : "application/json";
  const auto page =
      is_metrics ? admin_query::page::kMetrics : admin_query::page::kState;
  const std::string io_text = is_metrics ? io_metrics_.ToPrometheusText() : "";
  board_.balancer.Post(
      admin_query{page, [respond, type, io_text](const std::string& text) {
                    respond({200, {{"content-type", type}}, text + io_text});
                  }});
}

}  // namespace poplarstair
