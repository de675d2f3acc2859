/// \file
/// Joins the links of a process to its duties: messages go to the ring of the
/// duty that they concern, or to the call that waits for them.
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

/// Where messages go. Called on the library's threads: each only enqueues and
/// returns false if it can't.
struct PeerMessageHandlers {
  std::function<bool(PeerTarget, PeerMessage)> configuration;
  std::function<bool(PeerTarget, PeerMessage)> admission;
  std::function<bool(PeerTarget, PeerMessage)> backend;
};

/// A link that is up, and who is at its other end.
struct PeerConnection {
  LinkId link;
  Hello peer;
};

class PeerHub : public PeerTransportObserver {
 public:
  PeerHub(PeerTransportOptions options, std::function<Hello()> hello,
          Metrics* metrics);
  ~PeerHub() override;

  /// Sets the routes and starts to listen.
  Status Start(PeerMessageHandlers routes);
  std::string address() const { return transport_->address(); }

  /// Returns a link to `address` that is up, waiting up to `timeout`.
  std::optional<PeerConnection> Connect(const std::string& address,
                                        nanoseconds timeout);
  /// Sends to a target, dialling if needed; false if it can't be queued.
  bool Send(const PeerTarget& target, const PeerMessage& message);
  void OnTick(Instant now) { transport_->OnTick(now); }

  /// Calls that entered at this node.
  CallTable& ingress_calls() { return ingress_calls_; }
  /// Calls that this node's backend server runs.
  CallTable& served_calls() { return served_calls_; }
  PeerTransportStats stats() const { return transport_->stats(); }

  void OnLinkUp(LinkId link, const Hello& peer, bool dialled) override;
  void OnMessage(LinkId link, PeerMessage message) override;
  void OnLinkDown(LinkId link) override;

 private:
  bool Route(LinkId link, PeerMessage message);

  Metrics* const metrics_;
  PeerMessageHandlers routes_;
  std::mutex up_mutex_;
  std::condition_variable up_changed_;
  std::unordered_map<LinkId, Hello> up_;
  CallTable ingress_calls_;
  CallTable served_calls_;
  std::unique_ptr<PeerTransport> transport_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_CONNECTION_PEER_HUB_H_
