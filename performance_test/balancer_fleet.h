// Many whole instances on one message bus in virtual time.
#ifndef POPLARSTAIR_PERFORMANCE_TEST_BALANCER_FLEET_H_
#define POPLARSTAIR_PERFORMANCE_TEST_BALANCER_FLEET_H_

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "poplarstair/balancer/balancer.h"
#include "poplarstair/balancer/instance_list.h"
#include "poplarstair/config/config_loader.h"
#include "poplarstair/config/config_publisher.h"
#include "poplarstair/testing/message_bus.h"
#include "poplarstair/testing/platform_fake.h"

namespace poplarstair {

/// A base file with `servers` backend servers in services of 18.
inline std::string MakeBaseText(size_t servers, size_t max_flows) {
  constexpr size_t kServersInService = 18;
  std::ostringstream text;
  text << "format = 1\n[failure_domains.d0]\n[failure_domains.d1]\n"
       << "[limits]\nmax_flows = " << max_flows << "\n";
  std::string service;
  for (size_t i = 0; i < servers; ++i) {
    const size_t s = i / kServersInService;
    if (i % kServersInService == 0) {
      service = s == 0 ? "feeds" : "s" + std::to_string(s);
      text << "[services." << service << "]\nprotocol = \"tcp\"\n"
           << "addresses = [\"10.9." << s / 250 << "." << 1 + s % 250
           << ":443\"]\n";
    }
    std::ostringstream host;
    host << "10.5." << i / 250 << "." << 1 + i % 250;
    text << "[services." << service << ".backend_servers.w" << i << "]\n"
         << "failure_domain = \"d" << i % 2 << "\"\naddress = \"" << host.str()
         << ":7001\"\nrequest_address = \"" << host.str()
         << ":7002\"\nslots = 2\nconnections = 2000\n";
  }
  return text.str();
}

class balancer_fleet {
 public:
  balancer_fleet(size_t size, uint64_t seed, size_t max_flows = 4'000)
      : max_flows_(max_flows),
        random_(seed),
        bus_(queue_, {}, seed),
        platform_(queue_) {
    Describe(size);
    platform_.Write(std::string(kInstancesKey), ListJson());
    balancers_.resize(size);
    in_force_at_.resize(size);
    for (size_t i = 0; i < size; ++i) Start(i);
  }

  /// Accepts an edit that makes `overlay` the overlay.
  void Publish(const std::string& overlay) {
    edit_request edit;
    edit.site = "bench";
    edit.base = {"base.toml", MakeBaseText(18, max_flows_)};
    edit.overlay = {"overlay.toml", "format = 1\n" + overlay};
    edit.edit_id = "edit-" + std::to_string(++edits_);
    edit.based_on = published_;
    edit.author = "bench";
    published_ = PublishEdit(edit, [this](const platform_request& request) {
      return platform_.CallNow(request);
    });
    published_at_ = queue_.Now();
  }

  void RunFor(duration length) { queue_.RunFor(length); }

  /// Runs on; bytes/s that an instance sends, by channel.
  std::map<std::string, double> BytesPerS(duration length) {
    sent_.clear();
    calls_ = 0;
    queue_.RunFor(length);
    const double share =
        ToSeconds(length) * static_cast<double>(balancers_.size());
    for (auto& [channel, bytes] : sent_) bytes /= share;
    calls_per_s_ = static_cast<double>(calls_) / ToSeconds(length);
    all_calls_ += calls_;
    return sent_;
  }

  /// Calls of all instances in the last BytesPerS.
  double CallsPerS() const { return calls_per_s_; }
  uint64_t Calls() const { return all_calls_; }

  /// Seconds from the last edit until its last instance had it in force; a
  /// negative number if one has it not.
  double LastInForceS() const {
    time_point last = published_at_;
    for (size_t i = 0; i < balancers_.size(); ++i) {
      if (balancers_[i]->ConfigInForce() < published_) return -1;
      last = std::max(last, in_force_at_[i]);
    }
    return ToSeconds(last - published_at_);
  }

  /// From now on every instance sees this many new flows a second.
  void OpenFlows(double per_instance_s) {
    const auto interval = duration(static_cast<int64_t>(1e6 / per_instance_s));
    for (size_t i = 0; i < balancers_.size(); ++i) {
      queue_.Every(interval, interval, [this, i] {
        balancers_[i]->OnPacket(queue_.Now(), PacketOf(next_flow_++, true));
      });
    }
  }

  void OpenFlowsNow(size_t count) {
    for (size_t f = 0; f < count; ++f) {
      balancers_[0]->OnPacket(queue_.Now(), PacketOf(f, true));
    }
  }

  /// Packets of the flows 0 to `flows` in a scattered order.
  void SendPackets(size_t flows, size_t count) {
    constexpr size_t kStep = 7919;
    for (size_t p = 0; p < count; ++p) {
      balancers_[0]->OnPacket(queue_.Now(), PacketOf(p * kStep % flows, false));
    }
  }

 private:
  static constexpr duration kTick = std::chrono::milliseconds(50);

  void Describe(size_t size) {
    for (size_t i = 0; i < size; ++i) {
      instance_address address;
      address.name = "entry-" + std::to_string(i);
      address.id = IdFromName<instance_id>(address.name);
      address.failure_domain =
          IdFromName<failure_domain_id>(i % 2 == 0 ? "d0" : "d1");
      const auto host = static_cast<uint32_t>(0x0a000000 + i);
      address.peer_address = {ip_address::FromV4(host), 6081};
      address.hand_on_address = {ip_address::FromV4(host), 6082};
      addresses_.push_back(address);
    }
  }

  std::string ListJson() const {
    auto list = nlohmann::json::array();
    for (size_t i = 0; i < addresses_.size(); ++i) {
      const instance_address& a = addresses_[i];
      list.push_back({{"name", a.name},
                      {"failure_domain", i % 2 == 0 ? "d0" : "d1"},
                      {"peer_address", a.peer_address.ToString()},
                      {"hand_on_address", a.hand_on_address.ToString()}});
    }
    return list.dump();
  }

  void Start(size_t i) {
    balancer_settings settings;
    settings.self = addresses_[i];
    settings.life = 1;
    settings.random_seed = random_();
    settings.config.site = "bench";
    balancer::hooks actions;
    actions.send = [this](const peer_message& message) {
      sent_[std::string(NameOf(message.channel))] +=
          static_cast<double>(message.WireBytes());
      bus_.Send(message);
    };
    actions.call_platform = [this, i](const platform_request& request) {
      ++calls_;
      platform_.Call(
          request, [] { return true; },
          [this, i](const platform_reply& reply) {
            balancers_[i]->OnPlatformReply(queue_.Now(), reply);
          });
    };
    actions.log = [](const log_record&) {};
    actions.start_attempt = [](const attempt&) {};
    actions.cancel_attempt = [](attempt_id) {};
    actions.end_call = [](call_id, const answer&) {};
    balancers_[i] = std::make_unique<balancer>(settings, actions);
    bus_.Attach(addresses_[i].id, addresses_[i].failure_domain,
                [this, i](const peer_message& message) {
                  balancers_[i]->OnMessage(queue_.Now(), message);
                });
    const auto offset = static_cast<int64_t>(
        RandomBelow(random_, static_cast<uint64_t>(kTick.count())));
    queue_.Every(kTick, duration(offset), [this, i] { Tick(i); });
  }

  void Tick(size_t i) {
    const generation before = in_force_[i];
    balancers_[i]->OnTick(queue_.Now());
    in_force_[i] = balancers_[i]->ConfigInForce();
    if (in_force_[i] != before) in_force_at_[i] = queue_.Now();
  }

  static packet_info PacketOf(size_t flow, bool opens) {
    packet_info packet;
    packet.key.client = {
        ip_address::FromV4(static_cast<uint32_t>(0x0b000000 + flow / 60'000)),
        static_cast<uint16_t>(1024 + flow % 60'000)};
    packet.key.service = {ip_address::FromV4(0x0a090001), 443};
    packet.opens_flow = opens;
    return packet;
  }

  const size_t max_flows_;
  random_source random_;
  event_queue queue_;
  message_bus bus_;
  platform_fake platform_;
  std::vector<instance_address> addresses_;
  std::vector<std::unique_ptr<balancer>> balancers_;
  std::map<size_t, generation> in_force_;
  std::vector<time_point> in_force_at_;
  std::map<std::string, double> sent_;
  size_t next_flow_ = 0;
  uint64_t edits_ = 0;
  generation published_ = 0;
  time_point published_at_{};
  uint64_t calls_ = 0;
  uint64_t all_calls_ = 0;
  double calls_per_s_ = 0;
};

}  // namespace poplarstair

#endif  // POPLARSTAIR_PERFORMANCE_TEST_BALANCER_FLEET_H_
