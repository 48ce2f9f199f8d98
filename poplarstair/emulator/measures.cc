#include "poplarstair/emulator/measures.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>
#include <vector>

#include "poplarstair/core/error.h"

namespace poplarstair {

namespace {

double AnsweredShare(const nlohmann::json& counts) {
  const double sent = counts.at("sent").get<double>();
  return sent > 0 ? counts.at("answered").get<double>() / sent : 1.0;
}

double ImbalanceOf(const std::vector<double>& flows) {
  double sum = 0;
  for (const double f : flows) sum += f;
  const double fair = sum / static_cast<double>(flows.size());
  return fair > 0 ? *std::max_element(flows.begin(), flows.end()) / fair : 1.0;
}

double WorstImbalance(const nlohmann::json& servers) {
  std::map<std::string, std::vector<double>> by_service;
  for (const auto& server : servers) {
    by_service[server.at("service").get<std::string>()].push_back(
        server.at("flows_at_snapshot").get<double>());
  }
  double worst = 0;
  for (const auto& [service, flows] : by_service) {
    worst = std::max(worst, ImbalanceOf(flows));
  }
  return worst;
}

void AppendRow(std::string& text, const char* label, const std::string& value) {
  char row[128];
  std::snprintf(row, sizeof(row), "  %-44s %12s\n", label, value.c_str());
  text += row;
}

std::string Percent(double share) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.2f%%", share * 100);
  return text;
}

std::string Ratio(double value) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.3f", value);
  return text;
}

}  // namespace

uint64_t measures::Violations() const {
  return broken_flows + wrong_service + packets_after_withdrawal +
         new_work_after_drain + requests_run_twice + mixed_answers +
         unanswered_requests;
}

std::string measures::ToText(const std::string& name) const {
  std::string text = "promises (violations)\n";
  AppendRow(text, "broken flows", std::to_string(broken_flows));
  AppendRow(text, "packets at another service", std::to_string(wrong_service));
  AppendRow(text, "packets 3 s after a domain was withdrawn",
            std::to_string(packets_after_withdrawal));
  AppendRow(text, "new work 3 s after a drain",
            std::to_string(new_work_after_drain));
  AppendRow(text, "requests run twice", std::to_string(requests_run_twice));
  AppendRow(text, "mixed answers", std::to_string(mixed_answers));
  AppendRow(text, "requests with unknown outcome",
            std::to_string(unanswered_requests));
  text += "measures\n";
  AppendRow(text, "flows opened", std::to_string(flows_opened));
  AppendRow(text, "flows given up with their domain",
            std::to_string(flows_given_up));
  AppendRow(text, "opens that failed", std::to_string(failed_opens));
  AppendRow(text, "imbalance (busiest server / fair share)", Ratio(imbalance));
  AppendRow(text, "service while the domain left and returned",
            Percent(service_while_out));
  AppendRow(text, "service overall", Percent(service_overall));
  char result[256];
  std::snprintf(result, sizeof(result),
                "result name=%s violations=%llu broken_flows=%llu "
                "imbalance=%.3f service_while_out=%.4f\n",
                name.c_str(), static_cast<unsigned long long>(Violations()),
                static_cast<unsigned long long>(broken_flows), imbalance,
                service_while_out);
  return text + result;
}

measures ComputeMeasures(const std::string& client_report,
                         const std::string& server_report) {
  try {
    const auto clients = nlohmann::json::parse(client_report);
    const auto servers = nlohmann::json::parse(server_report);
    measures m;
    clients.at("flows_broken").get_to(m.broken_flows);
    clients.at("wrong_service").get_to(m.wrong_service);
    clients.at("mixed_answers").get_to(m.mixed_answers);
    clients.at("flows_opened").get_to(m.flows_opened);
    clients.at("flows_given_up").get_to(m.flows_given_up);
    clients.at("failed_opens").get_to(m.failed_opens);
    clients.at("requests").at("outcome_unknown").get_to(m.unanswered_requests);
    servers.at("packets_after_withdrawal").get_to(m.packets_after_withdrawal);
    servers.at("new_work_after_drain").get_to(m.new_work_after_drain);
    servers.at("requests_run_twice").get_to(m.requests_run_twice);
    m.imbalance = WorstImbalance(servers.at("servers"));
    m.service_overall = AnsweredShare(clients.at("requests"));
    m.service_while_out =
        AnsweredShare(clients.at("requests_while_domain_out"));
    return m;
  } catch (const nlohmann::json::exception& failure) {
    throw malformed_message("report", failure.what());
  }
}

}  // namespace poplarstair
