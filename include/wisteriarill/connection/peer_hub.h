/// \file
/// Connects the peer transport with the rest of the node. Dispatches each
/// received message to the component that handles its type, or to the call
/// that waits for it.
#ifndef WISTERIARILL_CONNECTION_PEER_HUB_H_
#define WISTERIARILL_CONNECTION_PEER_HUB_H_

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

#include "wisteriarill/connection/call_table.h"
#include "wisteriarill/connection/peer_transport.h"
#include "wisteriarill/process/metrics.h"
#include "wisteriarill/version/config_disseminator.h"

namespace wisteriarill {

/// Callbacks that receive messages by component. They are called on nng's
/// threads, so they must only enqueue the message. They return false if the
/// queue is full.
struct PeerMessageHandlers {
  std::function<bool(PeerTarget, PeerMessage)> configuration;
  std::function<bool(PeerTarget, PeerMessage)> admission;
  std::function<bool(PeerTarget, PeerMessage)> backend;
};

/// An established link and the Hello of its peer.
struct PeerConnection {
  LinkId link;
  Hello peer;
};

/// The links of a node to its peers, and the calls that use them. Thread-safe.
class PeerHub : public PeerTransportObserver {
 public:
  PeerHub(PeerTransportOptions options, std::function<Hello()> hello,
          Metrics* metrics);
  ~PeerHub() override;

  /// Sets the message handlers and starts to listen.
  Status Start(PeerMessageHandlers handlers);
  std::string address() const { return transport_->address(); }

  /// Returns an established link to `address`. Waits up to `timeout` for it.
  std::optional<PeerConnection> Connect(const std::string& address,
                                        nanoseconds timeout);
  /// Queues a message for `target` and dials its address if there is no link.
  /// Returns false if the message can't be queued.
  bool Send(const PeerTarget& target, const PeerMessage& message);
  void OnTick(Instant now) { transport_->OnTick(now); }

  /// Returns the calls that this node received from callers.
  CallTable& ingress_calls() { return ingress_calls_; }
  /// Returns the calls that this node's backend server runs.
  CallTable& served_calls() { return served_calls_; }
  PeerTransportStats stats() const { return transport_->stats(); }

  void OnLinkUp(LinkId link, const Hello& peer, bool dialed) override;
  void OnMessage(LinkId link, PeerMessage message) override;
  void OnLinkDown(LinkId link) override;

 private:
  bool Route(LinkId link, PeerMessage message);

  Metrics* const metrics_;
  PeerMessageHandlers handlers_;
  std::mutex established_mutex_;
  std::condition_variable established_changed_;
  std::unordered_map<LinkId, Hello> established_;
  CallTable ingress_calls_;
  CallTable served_calls_;
  std::unique_ptr<PeerTransport> transport_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_CONNECTION_PEER_HUB_H_
