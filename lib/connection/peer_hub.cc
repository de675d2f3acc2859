#include "wisteriarill/connection/peer_hub.h"

#include <utility>

namespace wisteriarill {
namespace {

enum class Destination {
  kConfiguration,
  kAdmission,
  kBackend,
  kIngressCall,
  kServedCall,
};

struct DestinationVisitor {
  // PeerTransport handles Hello and Heartbeat itself and does not pass them on.
  Destination operator()(const Hello&) { return Destination::kConfiguration; }
  Destination operator()(const Heartbeat&) {
    return Destination::kConfiguration;
  }
  Destination operator()(const CallStart&) { return Destination::kBackend; }
  Destination operator()(const CallCancel&) { return Destination::kBackend; }
  Destination operator()(const ResultQuery&) { return Destination::kBackend; }
  Destination operator()(const ResultAck&) { return Destination::kBackend; }
  Destination operator()(const ResponseCredit&) {
    return Destination::kBackend;
  }
  Destination operator()(const CallPiece&) { return Destination::kServedCall; }
  Destination operator()(const CallCredit&) {
    return Destination::kIngressCall;
  }
  Destination operator()(const ResponseStart&) {
    return Destination::kIngressCall;
  }
  Destination operator()(const ResponsePiece&) {
    return Destination::kIngressCall;
  }
  Destination operator()(const TokenLeaseRequest&) {
    return Destination::kAdmission;
  }
  Destination operator()(const TokenLeaseReply&) {
    return Destination::kAdmission;
  }
  Destination operator()(const ShardClaim&) { return Destination::kAdmission; }
  Destination operator()(const ShardRelease&) {
    return Destination::kAdmission;
  }
  Destination operator()(const OwnershipHistoryRequest&) {
    return Destination::kAdmission;
  }
  Destination operator()(const OwnershipHistory&) {
    return Destination::kAdmission;
  }
  Destination operator()(const ProbeRequest&) {
    return Destination::kAdmission;
  }
  Destination operator()(const ProbeEcho&) { return Destination::kAdmission; }
  Destination operator()(const VmView&) { return Destination::kConfiguration; }
  Destination operator()(const Gossip&) { return Destination::kConfiguration; }
  Destination operator()(const ManifestPull&) {
    return Destination::kConfiguration;
  }
  Destination operator()(const ManifestData&) {
    return Destination::kConfiguration;
  }
  Destination operator()(const ManifestDelta&) {
    return Destination::kConfiguration;
  }
  Destination operator()(const ChunkPull&) {
    return Destination::kConfiguration;
  }
  Destination operator()(const ChunkData&) {
    return Destination::kConfiguration;
  }
};

RequestId RequestIdOf(const PeerMessage& message) {
  return std::visit(
      [](const auto& typed) {
        if constexpr (requires { RequestId(typed.id); }) {
          return RequestId(typed.id);
        } else {
          return RequestId();
        }
      },
      message);
}

}  // namespace

PeerHub::PeerHub(PeerTransportOptions options, std::function<Hello()> hello,
                 Metrics* metrics)
    : metrics_(metrics),
      transport_(std::make_unique<PeerTransport>(std::move(options),
                                                 std::move(hello), this)) {}

PeerHub::~PeerHub() { transport_.reset(); }

Status PeerHub::Start(PeerMessageHandlers handlers) {
  handlers_ = std::move(handlers);
  return transport_->Listen();
}

std::optional<PeerConnection> PeerHub::Connect(const std::string& address,
                                               nanoseconds timeout) {
  const LinkId link = transport_->Dial(address);
  std::unique_lock lock(established_mutex_);
  const bool is_established = established_changed_.wait_for(
      lock, timeout, [&] { return established_.count(link) > 0; });
  if (!is_established) return std::nullopt;
  return PeerConnection{link, established_.at(link)};
}

bool PeerHub::Send(const PeerTarget& target, const PeerMessage& message) {
  if (target.link.has_value()) return transport_->Send(*target.link, message);
  if (target.address.empty()) return false;
  return transport_->Send(transport_->Dial(target.address), message);
}

void PeerHub::OnLinkUp(LinkId link, const Hello& peer, bool /*dialed*/) {
  {
    const std::lock_guard lock(established_mutex_);
    established_[link] = peer;
  }
  established_changed_.notify_all();
}

void PeerHub::OnLinkDown(LinkId link) {
  {
    const std::lock_guard lock(established_mutex_);
    established_.erase(link);
  }
  ingress_calls_.OnLinkDown(link);
  served_calls_.OnLinkDown(link);
}

void PeerHub::OnMessage(LinkId link, PeerMessage message) {
  if (!Route(link, std::move(message))) metrics_->Add("peer_messages_dropped");
}

bool PeerHub::Route(LinkId link, PeerMessage message) {
  const PeerTarget from{link, {}};
  switch (std::visit(DestinationVisitor(), message)) {
    case Destination::kConfiguration:
      return handlers_.configuration(from, std::move(message));
    case Destination::kAdmission:
      return handlers_.admission(from, std::move(message));
    case Destination::kBackend:
      return handlers_.backend(from, std::move(message));
    case Destination::kIngressCall: {
      const RequestId id = RequestIdOf(message);
      ingress_calls_.Post(id, std::move(message));
      return true;  // Not counted as dropped: the call may have ended.
    }
    case Destination::kServedCall: {
      const RequestId id = RequestIdOf(message);
      served_calls_.Post(id, std::move(message));
      return true;
    }
  }
  return false;
}

}  // namespace wisteriarill
