#include "poplarstair/testing/site_operator.h"

#include "poplarstair/config/config_publisher.h"
#include "poplarstair/core/error.h"

namespace poplarstair {

namespace {

/// How soon an accepted edit has to be in force.
constexpr duration kConfigBound = std::chrono::seconds(5);

}  // namespace

site_operator::site_operator(site_state& site) : site_(site) {
  Publish(accepted_, "first");
}

bool site_operator::Edit(const std::string& key, const std::string& value) {
  const auto before = overrides_;
  overrides_[key] = value;
  const bool accepted = Publish(accepted_, key + " = " + value);
  MustNotBeRefused(key);
  if (accepted) {
    NoteEdit(key, value);
  } else {
    overrides_ = before;
  }
  return accepted;
}

void site_operator::NoteEdit(const std::string& key, const std::string& value) {
  for (const failure_domain_config& domain :
       site_.deployed.config.failure_domains) {
    if (key != "failure_domains." + domain.name + ".in_service") continue;
    history_event event;
    event.kind =
        value == "false" ? history_kind::kDomainOut : history_kind::kDomainIn;
    event.domain = domain.id;
    if (value == "false") site_.planted.SetWithdrawn(domain.id);
    site_.Record(std::move(event));
  }
  for (size_t s = 0; s < site_.servers.size(); ++s) {
    const std::string& name = site_.NameOfServer(site_.servers[s].Config().id);
    const size_t slash = name.find('/');
    if (key != "services." + name.substr(0, slash) + ".backend_servers." +
                   name.substr(slash + 1) + ".state") {
      continue;
    }
    const bool drains = value == "\"draining\"";
    if (drains) site_.planted.SetDraining(site_.servers[s].Config().id);
    site_.NoteServer(
        drains ? history_kind::kServerDraining : history_kind::kServerActive,
        s);
  }
}

void site_operator::MoveServer(const std::string& server,
                               const std::string& service) {
  const size_t s = site_.ServerIndex(server);
  const backend_server_config& config = site_.servers[s].Config();
  const size_t slash = server.find('/');
  const std::string name = server.substr(slash + 1);
  const std::string key = "services." + service + ".backend_servers." + name;
  const auto* domain = site_.deployed.config.FindDomain(config.failure_domain);
  const auto before = overrides_;
  std::erase_if(overrides_, [&](const auto& entry) {
    return entry.first.starts_with("services." + server.substr(0, slash) +
                                   ".backend_servers." + name + ".");
  });
  overrides_["remove"] = "[\"services." + server.substr(0, slash) +
                         ".backend_servers." + name + "\"]";
  overrides_[key + ".failure_domain"] = "\"" + domain->name + "\"";
  overrides_[key + ".address"] = "\"" + config.address.ToString() + "\"";
  overrides_[key + ".request_address"] =
      "\"" + config.request_address.ToString() + "\"";
  overrides_[key + ".slots"] = std::to_string(config.slots);
  overrides_[key + ".connections"] = std::to_string(config.connections);
  const bool accepted = Publish(accepted_, "move " + server + " to " + service);
  MustNotBeRefused(key);
  if (!accepted) {
    overrides_ = before;
    return;
  }
  const service_id owner = IdFromName<service_id>(service);
  site_.facts.servers[config.id].owners.push_back(owner);
  // A new server of its new service, whatever it was before.
  site_.NoteServer(history_kind::kServerActive, s);
}

void site_operator::RaceEdits() {
  const generation base = accepted_;
  const auto before = overrides_;
  overrides_["limits.max_queued_requests"] = "900";
  const bool first = Publish(base, "race one");
  const auto after = overrides_;
  overrides_ = before;
  overrides_["limits.max_queued_requests"] = "800";
  const bool second = Publish(base, "race two");
  if (!second) overrides_ = first ? after : before;
}

bool site_operator::Publish(generation based_on, const std::string& what) {
  edit_request edit;
  edit.site = site_.deployed.site;
  edit.base = site_.deployed.base;
  edit.overlay = site_.deployed.overlay;
  for (const auto& [key, value] : overrides_) {
    edit.overlay.text.append("\n").append(key).append(" = ").append(value);
  }
  edit.edit_id = "edit-" + std::to_string(++last_edit_);
  edit.author = "operator";
  edit.based_on = based_on;
  const auto call = [this](const platform_request& r) {
    return site_.platform.CallNow(r);
  };
  refusal_.clear();
  try {
    PublishEdit(edit, call);
  } catch (const error& failure) {
    refusal_ = failure.Kind();
  }
  return NoteAccepted(based_on, what);
}

void site_operator::MustNotBeRefused(const std::string& key) const {
  if (refusal_ == "edit_conflict") throw planned_edit_refused(key, refusal_);
}

bool site_operator::NoteAccepted(generation based_on, const std::string& what) {
  const platform_reply reply = site_.platform.CallNow(
      {0, platform_operation::kGet, std::string(kHeadKey), 0, ""});
  const generation now = reply.status == platform_status::kOk
                             ? config_head::FromJson(reply.body).number
                             : accepted_;
  site_.Trace("edit " + what +
              (refusal_.empty() ? "" : " refused: " + refusal_));
  if (now <= accepted_) return false;
  accepted_ = now;
  accepted_at_.emplace_back(site_.queue.Now(), now);
  history_event event;
  event.kind = history_kind::kConfigAccepted;
  event.number = now;
  event.wanted = based_on;
  site_.Record(std::move(event));
  return true;
}

void site_operator::CheckConfig() {
  generation due = 0;
  for (const auto& [when, number] : accepted_at_) {
    if (site_.queue.Now() - when >= kConfigBound) due = number;
  }
  for (size_t i = 0; i < site_.instances.size(); ++i) {
    const entry_instance& instance = site_.instances[i];
    if (!instance.process || instance.is_paused) continue;
    if (site_.queue.Now() - instance.reachable_since < kConfigBound) continue;
    if (site_.IsIsolated(instance.domain)) continue;
    history_event event;
    event.kind = history_kind::kConfigChecked;
    event.instance = instance.id;
    event.number = instance.in_force;
    event.wanted = due;
    site_.Record(std::move(event));
  }
}

}  // namespace poplarstair
