#include "wisteriarill/connection/peer_transport.h"

#include <Poco/Net/IPAddress.h>
#include <nng/nng.h>

#include <atomic>
#include <cstring>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

#include "peer_link.h"
#include "wisteriarill/process/log.h"

namespace wisteriarill {
namespace {

// If this process did not tick for this long, it was suspended itself. It could
// not receive replies meanwhile, so its peers must not count as unresponsive.
constexpr nanoseconds kSuspensionThreshold = seconds(1);
// Heartbeats are sent only on links that were used within this time.
constexpr nanoseconds kHeartbeatAfterUse = seconds(5);

// Returns the local address for outgoing connections. A node dials from the IP
// address that it listens on, so that peers and the network see one address for
// each node. Returns std::nullopt for a wildcard.
std::optional<nng_sockaddr> SourceAddress(const std::string& host) {
  Poco::Net::IPAddress address;
  const bool valid = Poco::Net::IPAddress::tryParse(host, address);
  if (!valid || address.isWildcard() ||
      address.family() != Poco::Net::IPAddress::IPv4) {
    return std::nullopt;
  }
  nng_sockaddr source{};
  source.s_in.sa_family = NNG_AF_INET;
  source.s_in.sa_port = 0;
  std::memcpy(&source.s_in.sa_addr, address.addr(), sizeof source.s_in.sa_addr);
  return source;
}

}  // namespace

class PeerTransport::Impl : public PeerLinkOwner {
 public:
  Impl(PeerTransportOptions options, std::function<Hello()> hello,
       PeerTransportObserver* observer)
      : options_(std::move(options)),
        hello_(std::move(hello)),
        observer_(observer),
        last_tick_(BootClock::now()) {
    nng_aio_alloc(&accept_aio_, &Impl::OnAccepted, this);
  }

  ~Impl() override {
    closing_ = true;
    if (listener_ != nullptr) nng_stream_listener_close(listener_);
    nng_aio_stop(accept_aio_);
    std::vector<std::shared_ptr<PeerLink>> links;
    {
      const std::lock_guard lock(mutex_);
      for (auto& [id, link] : links_) links.push_back(link);
      links_.clear();
      for (auto& link : closed_links_) links.push_back(link);
      closed_links_.clear();
    }
    for (auto& link : links) link->ShutDown();
    links.clear();
    nng_aio_free(accept_aio_);
    if (listener_ != nullptr) nng_stream_listener_free(listener_);
  }

  Status Listen() {
    const std::string url = "tcp://" + options_.listen;
    int code = nng_stream_listener_alloc(&listener_, url.c_str());
    if (code == 0) code = nng_stream_listener_listen(listener_);
    if (code != 0) {
      return NngError(code, "cannot listen on " + options_.listen,
                      "set peer_listen to a free address of this VM");
    }
    int port = 0;
    nng_stream_listener_get_int(listener_, NNG_OPT_TCP_BOUND_PORT, &port);
    const std::string host =
        options_.listen.substr(0, options_.listen.rfind(':'));
    address_ = host + ":" + std::to_string(port);
    source_ = SourceAddress(host);
    nng_stream_listener_accept(listener_, accept_aio_);
    return OkStatus();
  }

  const std::string& address() const { return address_; }

  LinkId Dial(const std::string& address) {
    std::shared_ptr<PeerLink> link;
    {
      const std::lock_guard lock(mutex_);
      const auto known = dialed_.find(address);
      if (known != dialed_.end()) return known->second;
      link = AddLink(address);
      dialed_[address] = link->id();
    }
    link->Dial();
    return link->id();
  }

  std::shared_ptr<PeerLink> Find(LinkId id) const {
    const std::lock_guard lock(mutex_);
    const auto found = links_.find(id);
    return found == links_.end() ? nullptr : found->second;
  }

  bool Send(LinkId id, const PeerMessage& message) {
    const auto link = Find(id);
    if (link == nullptr) return false;
    link->MarkUsed(BootClock::now());
    return link->Send(EncodeFrame(message));
  }

  void Close(LinkId id) {
    const auto link = Find(id);
    if (link == nullptr) return;
    link->ShutDown();
    RemoveLink(link.get());
  }

  void OnTick(Instant now) {
    const bool was_suspended = now - last_tick_ > kSuspensionThreshold;
    last_tick_ = now;
    std::vector<std::shared_ptr<PeerLink>> links;
    std::vector<std::shared_ptr<PeerLink>> closed;
    {
      const std::lock_guard lock(mutex_);
      for (auto& [id, link] : links_) links.push_back(link);
      closed.swap(closed_links_);
    }
    // Frees the links without holding the lock and outside of nng's callbacks.
    closed.clear();
    for (const auto& link : links) {
      if (was_suspended) link->ClearUnansweredHeartbeat();
      TickLink(link.get(), now);
    }
  }

  PeerTransportStats stats() const {
    const std::lock_guard lock(mutex_);
    PeerTransportStats stats = closed_stats_;
    stats.links = links_.size();
    stats.unresponsive_links = unresponsive_links_.load();
    stats.malformed_frames = malformed_frames_.load();
    for (const auto& [id, link] : links_) {
      stats.bytes_sent += link->bytes_sent();
      stats.bytes_received += link->bytes_received();
    }
    return stats;
  }

  void OnFrame(PeerLink* link, std::string body) override {
    Result<PeerMessage> message = DecodeFrameBody(body);
    if (!message) {
      RejectFrame(link, message.error());
      return;
    }
    if (auto* hello = std::get_if<Hello>(&message.value())) {
      link->SetPeer(*hello);
      observer_->OnLinkUp(link->id(), *hello, !link->dial_address().empty());
      return;
    }
    if (!link->peer().has_value()) {
      RejectFrame(link, MakeError(ErrorKind::kMalformedMessage,
                                  "first message is not a hello",
                                  "check that the peer is a wisterianode"));
      return;
    }
    if (auto* ping = std::get_if<Heartbeat>(&message.value())) {
      if (!ping->reply) link->Send(EncodeFrame(Heartbeat{ping->nonce, true}));
      return;
    }
    link->MarkUsed(BootClock::now());
    observer_->OnMessage(link->id(), std::move(message).value());
  }

  void OnBroken(PeerLink* link, const Error& error) override {
    if (closing_) return;
    if (error.kind == ErrorKind::kTooLarge) ++malformed_frames_;
    LogEvent(LogLevel::kDebug, "link_broken")
        .With("link", link->id().value)
        .With("dialled", link->dial_address())
        .With(error);
    RemoveLink(link);
  }

  std::string HelloFrame() override { return EncodeFrame(hello_()); }

 private:
  static void OnAccepted(void* self) {
    auto* impl = static_cast<Impl*>(self);
    if (nng_aio_result(impl->accept_aio_) != 0) {
      if (!impl->closing_) {
        nng_stream_listener_accept(impl->listener_, impl->accept_aio_);
      }
      return;
    }
    auto* stream =
        static_cast<nng_stream*>(nng_aio_get_output(impl->accept_aio_, 0));
    std::shared_ptr<PeerLink> link;
    {
      const std::lock_guard lock(impl->mutex_);
      link = impl->AddLink("");
    }
    link->AttachStream(stream);
    if (!impl->closing_) {
      nng_stream_listener_accept(impl->listener_, impl->accept_aio_);
    }
  }

  std::shared_ptr<PeerLink> AddLink(const std::string& address) {
    const LinkId id{++last_link_id_};
    auto link = std::make_shared<PeerLink>(id, address, source_,
                                           options_.max_queued_bytes, this);
    links_[id] = link;
    return link;
  }

  void RejectFrame(PeerLink* link, const Error& error) {
    ++malformed_frames_;
    LogEvent(LogLevel::kWarning, "frame_rejected")
        .With("link", link->id().value)
        .With(error);
    link->ShutDown();
    RemoveLink(link);
  }

  // Removes a link and notifies the observer. The link is freed on the next
  // tick, because this function may run in one of its callbacks.
  void RemoveLink(PeerLink* link) {
    {
      const std::lock_guard lock(mutex_);
      const auto found = links_.find(link->id());
      if (found == links_.end()) return;
      closed_stats_.bytes_sent += link->bytes_sent();
      closed_stats_.bytes_received += link->bytes_received();
      closed_links_.push_back(std::move(found->second));
      links_.erase(found);
      if (!link->dial_address().empty()) dialed_.erase(link->dial_address());
    }
    observer_->OnLinkDown(link->id());
  }

  void TickLink(PeerLink* link, Instant now) {
    const Instant unanswered_since = link->heartbeat_unanswered_since();
    if (unanswered_since != kNever &&
        now - unanswered_since > options_.heartbeat_timeout) {
      ++unresponsive_links_;
      LogEvent(LogLevel::kInfo, "link_silent")
          .With("link", link->id().value)
          .With("dialled", link->dial_address());
      link->ShutDown();
      RemoveLink(link);
      return;
    }
    const nanoseconds unused = now - link->last_used();
    if (unused > options_.idle_timeout && !link->dial_address().empty()) {
      link->ShutDown();
      RemoveLink(link);
      return;
    }
    // An unused link needs no heartbeats. They resume when it is used again.
    if (unused > kHeartbeatAfterUse) return;
    if (now - link->last_received() > options_.heartbeat_interval) {
      link->Send(EncodeFrame(Heartbeat{++last_nonce_, false}));
      link->MarkHeartbeatSent(now);
    }
  }

  const PeerTransportOptions options_;
  const std::function<Hello()> hello_;
  PeerTransportObserver* const observer_;
  nng_stream_listener* listener_ = nullptr;
  nng_aio* accept_aio_ = nullptr;
  std::string address_;
  std::optional<nng_sockaddr> source_;
  std::atomic<bool> closing_{false};
  mutable std::mutex mutex_;
  std::map<LinkId, std::shared_ptr<PeerLink>> links_;
  std::map<std::string, LinkId> dialed_;  ///< Links this node opened.
  std::vector<std::shared_ptr<PeerLink>> closed_links_;
  PeerTransportStats closed_stats_;
  std::uint64_t last_link_id_ = 0;
  std::uint64_t last_nonce_ = 0;
  Instant last_tick_;
  std::atomic<std::uint64_t> unresponsive_links_{0};
  std::atomic<std::uint64_t> malformed_frames_{0};
};

PeerTransport::PeerTransport(PeerTransportOptions options,
                             std::function<Hello()> hello,
                             PeerTransportObserver* observer)
    : impl_(std::make_unique<Impl>(std::move(options), std::move(hello),
                                   observer)) {}

PeerTransport::~PeerTransport() = default;

Status PeerTransport::Listen() { return impl_->Listen(); }

std::string PeerTransport::address() const { return impl_->address(); }

LinkId PeerTransport::Dial(const std::string& address) {
  return impl_->Dial(address);
}

std::optional<Hello> PeerTransport::FindPeer(LinkId link) const {
  const auto found = impl_->Find(link);
  if (found == nullptr) return std::nullopt;
  return found->peer();
}

bool PeerTransport::Send(LinkId link, const PeerMessage& message) {
  return impl_->Send(link, message);
}

void PeerTransport::Close(LinkId link) { impl_->Close(link); }

void PeerTransport::OnTick(Instant now) { impl_->OnTick(now); }

PeerTransportStats PeerTransport::stats() const { return impl_->stats(); }

}  // namespace wisteriarill
