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

// A process that did not tick for so long was away itself and must not take
// its peers for silent.
constexpr nanoseconds kOwnAbsence = seconds(1);
constexpr nanoseconds kInUse = seconds(5);

// A node dials from the address that it listens on, so that peers and the
// network see one address for each node. Nothing for a wildcard.
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
       PeerTransportObserver* sink)
      : options_(std::move(options)),
        hello_(std::move(hello)),
        sink_(sink),
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
      for (auto& link : graveyard_) links.push_back(link);
      graveyard_.clear();
    }
    for (auto& link : links) link->Shut();
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
      const auto known = dialled_.find(address);
      if (known != dialled_.end()) return known->second;
      link = AddLink(address);
      dialled_[address] = link->id();
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
    link->Shut();
    Bury(link.get());
  }

  void OnTick(Instant now) {
    const bool was_away = now - last_tick_ > kOwnAbsence;
    last_tick_ = now;
    std::vector<std::shared_ptr<PeerLink>> links;
    std::vector<std::shared_ptr<PeerLink>> dead;
    {
      const std::lock_guard lock(mutex_);
      for (auto& [id, link] : links_) links.push_back(link);
      dead.swap(graveyard_);
    }
    dead.clear();  // Frees outside the lock and outside nng's callbacks.
    for (const auto& link : links) {
      if (was_away) link->ForgiveSilence();
      TickLink(link.get(), now);
    }
  }

  PeerTransportStats stats() const {
    const std::lock_guard lock(mutex_);
    PeerTransportStats stats = closed_stats_;
    stats.links = links_.size();
    stats.silent_links = silent_.load();
    stats.malformed_frames = malformed_.load();
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
      sink_->OnLinkUp(link->id(), *hello, !link->dialled().empty());
      return;
    }
    if (!link->peer().has_value()) {
      RejectFrame(link, MakeError(ErrorKind::kMalformedMessage,
                                  "first message is not a hello",
                                  "check that the peer is a wisterianode"));
      return;
    }
    if (auto* beat = std::get_if<Heartbeat>(&message.value())) {
      if (!beat->reply) link->Send(EncodeFrame(Heartbeat{beat->nonce, true}));
      return;
    }
    link->MarkUsed(BootClock::now());
    sink_->OnMessage(link->id(), std::move(message).value());
  }

  void OnBroken(PeerLink* link, const Error& error) override {
    if (closing_) return;
    if (error.kind == ErrorKind::kTooLarge) ++malformed_;
    LogEvent(LogLevel::kDebug, "link_broken")
        .With("link", link->id().value)
        .With("dialled", link->dialled())
        .With(error);
    Bury(link);
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
    link->Adopt(stream);
    if (!impl->closing_) {
      nng_stream_listener_accept(impl->listener_, impl->accept_aio_);
    }
  }

  std::shared_ptr<PeerLink> AddLink(const std::string& address) {
    const LinkId id{++last_link_};
    auto link = std::make_shared<PeerLink>(id, address, source_,
                                           options_.queue_bytes, this);
    links_[id] = link;
    return link;
  }

  void RejectFrame(PeerLink* link, const Error& error) {
    ++malformed_;
    LogEvent(LogLevel::kWarning, "frame_rejected")
        .With("link", link->id().value)
        .With(error);
    link->Shut();
    Bury(link);
  }

  // Takes a link out of use; it is freed on the next tick.
  void Bury(PeerLink* link) {
    {
      const std::lock_guard lock(mutex_);
      const auto found = links_.find(link->id());
      if (found == links_.end()) return;
      closed_stats_.bytes_sent += link->bytes_sent();
      closed_stats_.bytes_received += link->bytes_received();
      graveyard_.push_back(std::move(found->second));
      links_.erase(found);
      if (!link->dialled().empty()) dialled_.erase(link->dialled());
    }
    sink_->OnLinkDown(link->id());
  }

  void TickLink(PeerLink* link, Instant now) {
    const Instant unanswered = link->unanswered_since();
    if (unanswered != kNever && now - unanswered > options_.silence) {
      ++silent_;
      LogEvent(LogLevel::kInfo, "link_silent")
          .With("link", link->id().value)
          .With("dialled", link->dialled());
      link->Shut();
      Bury(link);
      return;
    }
    const nanoseconds unused = now - link->last_used();
    if (unused > options_.idle && !link->dialled().empty()) {
      link->Shut();
      Bury(link);
      return;
    }
    // A link that nobody uses needs no proof of life; the first use asks.
    if (unused > kInUse) return;
    if (now - link->last_received() > options_.heartbeat) {
      link->Send(EncodeFrame(Heartbeat{++last_nonce_, false}));
      link->MarkUnanswered(now);
    }
  }

  const PeerTransportOptions options_;
  const std::function<Hello()> hello_;
  PeerTransportObserver* const sink_;
  nng_stream_listener* listener_ = nullptr;
  nng_aio* accept_aio_ = nullptr;
  std::string address_;
  std::optional<nng_sockaddr> source_;
  std::atomic<bool> closing_{false};
  mutable std::mutex mutex_;
  std::map<LinkId, std::shared_ptr<PeerLink>> links_;
  std::map<std::string, LinkId> dialled_;
  std::vector<std::shared_ptr<PeerLink>> graveyard_;
  PeerTransportStats closed_stats_;
  std::uint64_t last_link_ = 0;
  std::uint64_t last_nonce_ = 0;
  Instant last_tick_;
  std::atomic<std::uint64_t> silent_{0};
  std::atomic<std::uint64_t> malformed_{0};
};

PeerTransport::PeerTransport(PeerTransportOptions options,
                             std::function<Hello()> hello, PeerTransportObserver* sink)
    : impl_(
          std::make_unique<Impl>(std::move(options), std::move(hello), sink)) {}

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
