#include "poplarstair/daemon/peer_task.h"

#include <map>

#include "poplarstair/core/error.h"
#include "poplarstair/io/socket.h"
#include "poplarstair/io/tcp_stream.h"
#include "poplarstair/wire/frame_codec.h"

namespace poplarstair {

namespace {

/// Output that may wait for a slow peer; what comes after is dropped.
constexpr size_t kMaxUnsentBytes = 4 << 20;
/// After this long without acknowledgement a connection is replaced.
constexpr duration kSilenceLimit = std::chrono::seconds(3);

}  // namespace

class peer_task::impl {
 public:
  impl(event_loop& loop, const daemon_settings& settings, incarnation life,
       task_mailboxes& board, log_hook log)
      : loop_(loop),
        self_(settings.Address().id),
        life_(life),
        board_(board),
        log_(std::move(log)),
        listener_(ListenTcp(settings.peers)),
        watcher_(loop, listener_.Get(),
                 [this](io_watcher::readiness) { Accept(); }) {
    watcher_.WaitFor({true, false});
    board_.peers.Bind(
        loop, [this](const outgoing_peer_message& message) { Send(message); });
  }

  ~impl() { board_.peers.Unbind(); }

  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

 private:
  struct incoming_connection {
    frame_decoder decoder;
    std::unique_ptr<tcp_stream> bytes;
  };

  void Accept() {
    for (unique_fd fd = AcceptTcp(listener_); fd.IsOpen();
         fd = AcceptTcp(listener_)) {
      const uint64_t id = ++last_connection_;
      incoming_connection& added = incoming_[id];
      added.bytes = std::make_unique<tcp_stream>(
          loop_, std::move(fd),
          tcp_stream::hooks{
              [this, id](std::string_view bytes) { OnBytes(id, bytes); },
              [this, id] { loop_.Post([this, id] { incoming_.erase(id); }); }});
    }
  }

  void OnBytes(uint64_t id, std::string_view bytes) {
    const auto it = incoming_.find(id);
    if (it == incoming_.end()) return;
    try {
      it->second.decoder.Append(bytes);
      while (auto message = it->second.decoder.Next()) {
        message->to = self_;
        board_.balancer.Post(std::move(*message));
      }
    } catch (const malformed_message& failure) {
      board_.counters.Post({"peers_disconnected",
                            "Connections ended because of a malformed frame."});
      log_(log_record("peer_disconnected", log_level::kWarning)
               .With("kind", failure.Kind())
               .With("error", failure.what()));
      loop_.Post([this, id] { incoming_.erase(id); });
    }
  }

  void Send(const outgoing_peer_message& outgoing) {
    const endpoint& address = outgoing.address;
    auto it = outgoing_.find(address);
    if (it == outgoing_.end()) it = Connect(address);
    if (it == outgoing_.end()) return;
    if (it->second->UnsentBytes() > kMaxUnsentBytes) return;
    peer_message message = outgoing.message;
    if (message.sender_incarnation == 0) message.sender_incarnation = life_;
    it->second->Write(EncodeFrame(message));
  }

  using connection_map = std::map<endpoint, std::unique_ptr<tcp_stream>>;

  connection_map::iterator Connect(const endpoint& address) {
    try {
      unique_fd fd = ConnectTcp(address);
      SetTcpUserTimeout(fd, kSilenceLimit);
      auto connection = std::make_unique<tcp_stream>(
          loop_, std::move(fd),
          tcp_stream::hooks{[](std::string_view) {},
                            [this, address] {
                              loop_.Post([this, address] {
                                outgoing_.erase(address);
                              });
                            }});
      return outgoing_.emplace(address, std::move(connection)).first;
    } catch (const system_failure& failure) {
      log_(log_record("peer_unreachable", log_level::kDebug)
               .With("address", address.ToString())
               .With("error", failure.what()));
      return outgoing_.end();
    }
  }

  event_loop& loop_;
  const instance_id self_;
  const incarnation life_;
  task_mailboxes& board_;
  const log_hook log_;
  unique_fd listener_;
  io_watcher watcher_;
  std::map<uint64_t, incoming_connection> incoming_;
  connection_map outgoing_;
  uint64_t last_connection_ = 0;
};

peer_task::peer_task(event_loop& loop, const daemon_settings& settings,
                     incarnation life, task_mailboxes& board, log_hook log)
    : impl_(std::make_unique<impl>(loop, settings, life, board,
                                   std::move(log))) {}
peer_task::~peer_task() = default;

}  // namespace poplarstair
