/// \file
/// Links between nodes: nng byte streams that carry frames, with heartbeats and
/// bounded send queues. A link that does not answer heartbeats is closed, and
/// the next message opens a new one. nng's message sockets are not used: pair1
/// drops messages if a pipe is full, req/rep resends on its own, and a pair0
/// listener accepts only one peer.
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

/// Receives the events of a transport. The functions are called on nng's
/// threads, so an implementation must not block.
class PeerTransportObserver {
 public:
  virtual ~PeerTransportObserver() = default;
  /// The peer's Hello has arrived. `dialed` is true if this node opened the
  /// link.
  virtual void OnLinkUp(LinkId link, const Hello& peer, bool dialed) = 0;
  virtual void OnMessage(LinkId link, PeerMessage message) = 0;
  virtual void OnLinkDown(LinkId link) = 0;
};

/// Settings of a PeerTransport.
struct PeerTransportOptions {
  std::string listen = "127.0.0.1:0";  ///< IP:port. Port 0 selects a free port.
  microseconds heartbeat_interval = milliseconds(400);
  /// A link is closed if the peer sends nothing for this long after a
  /// heartbeat.
  microseconds heartbeat_timeout = milliseconds(1500);
  /// A link that this node opened is closed if it carries no message but
  /// heartbeats for this long.
  microseconds idle_timeout = seconds(30);
  std::size_t max_queued_bytes = 4U << 20;  ///< Unsent bytes of each link.
};

/// Counters of a transport since its start.
struct PeerTransportStats {
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t links = 0;  ///< Currently open.
  std::uint64_t unresponsive_links =
      0;  ///< Closed after unanswered heartbeats.
  std::uint64_t malformed_frames = 0;
};

/// All links of one process. Thread-safe.
class PeerTransport {
 public:
  /// `hello` is called for each new link. `observer` must outlive the
  /// transport.
  PeerTransport(PeerTransportOptions options, std::function<Hello()> hello,
                PeerTransportObserver* observer);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  /// Starts to listen. Fails if the address can't be bound.
  Status Listen();
  /// Returns the bound IP:port.
  std::string address() const;

  /// Returns the link to `address`, and dials the address if there is none.
  /// Messages wait in the link's queue until it is established.
  LinkId Dial(const std::string& address);
  /// Returns the peer's Hello, or std::nullopt before it has arrived.
  std::optional<Hello> FindPeer(LinkId link) const;
  /// Queues a message. Returns false if the link is closed or its queue is
  /// full.
  bool Send(LinkId link, const PeerMessage& message);
  /// Closes a link and calls OnLinkDown.
  void Close(LinkId link);
  /// Sends heartbeats, and closes idle links and those whose peer is
  /// unresponsive. Must be called periodically.
  void OnTick(Instant now);

  PeerTransportStats stats() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_CONNECTION_PEER_TRANSPORT_H_
