/// \file
/// Links between nodes: nng byte streams that carry frames, with heartbeats,
/// bounded queues and a fresh link in place of a silent one. nng's message
/// sockets are not used: pair1 drops what a full pipe can't take, req/rep
/// resends on its own, and a pair0 listener takes one peer only.
#ifndef WISTERIARILL_CONNECTION_PEER_TRANSPORT_H_
#define WISTERIARILL_CONNECTION_PEER_TRANSPORT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "wisteriarill/connection/peer_message.h"
#include "wisteriarill/process/error.h"
#include "wisteriarill/process/ids.h"
#include "wisteriarill/process/time.h"

namespace wisteriarill {

/// What a transport tells its owner. Called on the library's threads: an
/// implementation only enqueues.
class PeerTransportObserver {
 public:
  virtual ~PeerTransportObserver() = default;
  /// A link's peer has introduced itself; `dialled` tells who opened it.
  virtual void OnLinkUp(LinkId link, const Hello& peer, bool dialled) = 0;
  virtual void OnMessage(LinkId link, PeerMessage message) = 0;
  virtual void OnLinkDown(LinkId link) = 0;
};

struct PeerTransportOptions {
  std::string listen = "127.0.0.1:0";  ///< IP:port; port 0 picks a free one.
  microseconds heartbeat = milliseconds(400);
  /// A link that received nothing for so long is replaced.
  microseconds silence = milliseconds(1500);
  /// A dialled link nobody sent on for so long is closed.
  microseconds idle = seconds(30);
  std::size_t queue_bytes = 4U << 20;  ///< Waiting to be sent, per link.
};

/// Figures of a transport since its start.
struct PeerTransportStats {
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t links = 0;
  std::uint64_t silent_links = 0;  ///< Closed for silence.
  std::uint64_t malformed_frames = 0;
};

/// All links of one process. Thread-safe.
class PeerTransport {
 public:
  /// `hello` is asked for each new link. `sink` outlives the transport.
  PeerTransport(PeerTransportOptions options, std::function<Hello()> hello,
                PeerTransportObserver* sink);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  /// Starts to listen; fails if the address can't be bound.
  Status Listen();
  /// Returns the IP:port that peers dial.
  std::string address() const;

  /// Returns the link to `address`, dialling it if there is none. Messages
  /// sent before it is up wait in its queue.
  LinkId Dial(const std::string& address);
  /// Returns the peer's Hello once the link is up.
  std::optional<Hello> FindPeer(LinkId link) const;
  /// Queues a message; false if the link is gone or its queue is full.
  bool Send(LinkId link, const PeerMessage& message);
  /// Closes a link; OnLinkDown follows.
  void Close(LinkId link);
  /// Sends heartbeats and closes silent and idle links. Called on a timer.
  void OnTick(Instant now);

  PeerTransportStats stats() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_CONNECTION_PEER_TRANSPORT_H_
