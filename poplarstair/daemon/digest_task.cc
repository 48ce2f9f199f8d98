#include "poplarstair/daemon/digest_task.h"

#include <span>
#include <vector>

namespace poplarstair {

namespace {

/// A peer that is slower is as good as gone: another one is asked.
constexpr duration kFetchTimeout = std::chrono::milliseconds(400);
constexpr int kHttpOk = 200;

}  // namespace

digest_task::digest_task(event_loop& loop, const endpoint& local,
                         entry_mailboxes& board)
    : board_(board),
      socket_(BindUdp(local)),
      port_(LocalEndpoint(socket_).port),
      watcher_(loop, socket_.Get(),
               [this](io_watcher::readiness) { OnReadable(); }),
      client_(loop) {
  board_.digests.Bind(loop,
                      [this](const digest_to_send& digest) { Send(digest); });
  board_.fetches.Bind(
      loop, [this](const collection_wanted& wanted) { Fetch(wanted); });
  watcher_.WaitFor({true, false});
}

digest_task::~digest_task() {
  board_.digests.Unbind();
  board_.fetches.Unbind();
}

void digest_task::OnReadable() {
  for (const datagram& d : batch_.Receive(socket_)) {
    board_.steering.Post(digest_received{std::string(
        reinterpret_cast<const char*>(d.bytes.data()), d.bytes.size())});
  }
}

void digest_task::Send(const digest_to_send& digest) {
  const std::span<const uint8_t> bytes(
      reinterpret_cast<const uint8_t*>(digest.bytes.data()),
      digest.bytes.size());
  std::vector<datagram> out;
  for (const endpoint& peer : digest.peers) {
    if (out.size() == udp_batch::kMaxDatagrams) break;
    out.push_back({{peer.address, port_}, bytes});
  }
  // A digest that the kernel does not take is followed by the next one.
  batch_.Send(socket_, out);
}

void digest_task::Fetch(const collection_wanted& wanted) {
  http_call call;
  call.url = "http://" + wanted.peer.ToString() + std::string(kCollectionPath) +
             std::string(NameOf(wanted.what)) + std::string(kSinceQuery) +
             std::to_string(wanted.since.revision);
  if (wanted.since.epoch != 0) {
    call.url += std::string(kEpochQuery) + std::to_string(wanted.since.epoch);
  }
  call.timeout = kFetchTimeout;
  client_.Start(call, [this, wanted](const std::optional<http_reply>& reply) {
    collection_fetched fetched{wanted.peer, wanted.what, ""};
    if (reply && reply->status == kHttpOk) fetched.exported = reply->body;
    board_.steering.Post(std::move(fetched));
  });
}

}  // namespace poplarstair
