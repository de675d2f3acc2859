#include "wisteriarill/mesh/registry_puller.h"

#include <utility>
#include <vector>

#include "wisteriarill/mesh/forwarded_call.h"
#include "wisteriarill/mesh/response_relay.h"
#include "wisteriarill/process/hashing.h"
#include "wisteriarill/process/log.h"

namespace wisteriarill {
namespace {

/// How long a node that watches the store waits before it reads changes from a
/// peer. The store usually sends the same change within this time.
constexpr milliseconds kWatcherPullDelay{200};
constexpr milliseconds kPullTimeout{1000};
/// Time between attempts to read a peer's changes.
constexpr milliseconds kPullRetryInterval{15};
/// Maximum random delay before changes are read from another failure domain.
/// One node of a domain usually reads them first, and the others read them from
/// that node.
constexpr milliseconds kMaxCrossDomainDelay{100};
/// Maximum size of an encoded registry.
constexpr std::size_t kMaxReplicaBytes = 16U << 20;

}  // namespace

RegistryPuller::RegistryPuller(asio::io_context* loop,
                               const ProxySettings& settings, PeerTable* peers,
                               RegistrySynchronizer* registry, Metrics* metrics)
    : loop_(loop),
      settings_(settings),
      peers_(peers),
      registry_(registry),
      metrics_(metrics),
      timer_(*loop),
      random_(Hash64(settings.name)) {}

void RegistryPuller::Start() {
  SpawnService(loop_, "registry-pull", [this] { return Run(); });
}

void RegistryPuller::OnRevision(const std::string& ip, std::uint64_t revision) {
  if (revision <= registry_->revision()) return;
  const bool idle = ahead_.empty();
  ahead_[ip] = revision;
  if (idle) timer_.cancel();
}

void RegistryPuller::DropReached() {
  const std::uint64_t revision = registry_->revision();
  std::erase_if(
      ahead_, [revision](const auto& peer) { return peer.second <= revision; });
}

milliseconds RegistryPuller::DrawCrossDomainDelay() {
  std::uniform_int_distribution<std::int64_t> delay(
      0, kMaxCrossDomainDelay.count());
  return milliseconds(delay(random_));
}

std::string RegistryPuller::ChoosePeer(Instant now) {
  std::vector<std::string> same_domain;
  std::vector<std::string> others;
  for (const auto& [ip, revision] : ahead_) {
    const Peer* peer = peers_->Find(ip);
    if (peer == nullptr || !peer->IsReachable(now)) continue;
    const bool near = peer->failure_domain == settings_.failure_domain;
    (near ? same_domain : others).push_back(ip);
  }
  const bool may_cross_domains = now >= ahead_since_ + cross_domain_delay_;
  if (same_domain.empty() && may_cross_domains) same_domain.swap(others);
  if (same_domain.empty()) return "";
  // Pick at random, so that not all nodes read from the same peer.
  std::uniform_int_distribution<std::size_t> any(0, same_domain.size() - 1);
  return same_domain[any(random_)];
}

Task<void> RegistryPuller::Run() {
  for (;;) {
    DropReached();
    if (ahead_.empty()) {
      ahead_since_ = kNever;
      timer_.expires_at(asio::steady_timer::time_point::max());
    } else {
      timer_.expires_after(kPullRetryInterval);
    }
    if (ahead_since_ != kNever || ahead_.empty()) {
      error_code ignored;  // OnRevision cancels the timer.
      co_await timer_.async_wait(
          asio::redirect_error(asio::use_awaitable, ignored));
      DropReached();
    }
    if (ahead_.empty()) continue;
    const Instant now = BootClock::now();
    if (ahead_since_ == kNever) {
      ahead_since_ = now;
      cross_domain_delay_ = DrawCrossDomainDelay();
    }
    if (registry_->watching() && now < ahead_since_ + kWatcherPullDelay)
      continue;
    const std::string ip = ChoosePeer(now);
    if (ip.empty()) continue;
    co_await PullFrom(ip);
  }
}

Task<void> RegistryPuller::PullFrom(std::string ip) {
  const Instant began = BootClock::now();
  Peer* peer = peers_->Find(ip);
  std::shared_ptr<ClientConnection> connection =
      peer->pool->Take(BootClock::now());
  if (!connection->has_sent_request()) {
    const Status connected = co_await connection->Connect(kPullTimeout);
    if (!connected) {
      LogFailedRead(ip, connected.error(), began);
      // A later status of the peer adds it again.
      ahead_.erase(ip);
      co_return;
    }
  }
  std::string bytes;
  const Status read = co_await ReadChanges(connection.get(), ip, &bytes);
  // The peer may have been removed meanwhile.
  peer = peers_->Find(ip);
  if (peer != nullptr)
    peer->pool->Return(std::move(connection), BootClock::now());
  if (!read) {
    LogFailedRead(ip, read.error(), began);
    co_return;
  }
  Result<RegistryBatch> batch = DecodeBatch(bytes);
  if (!batch) {
    ahead_.erase(ip);
    LogEvent(LogLevel::kWarning, "peer_copy_malformed")
        .With("peer", ip)
        .With(batch.error());
    co_return;
  }
  metrics_->Add("wisteria_peer_copies_read");
  registry_->Apply(std::move(batch.value()), RegistrySource::kPeer,
                   "peer-" + ip);
}

void RegistryPuller::LogFailedRead(const std::string& ip, const Error& error,
                                   Instant began) {
  metrics_->Add("wisteria_peer_copies_failed");
  LogEvent(LogLevel::kInfo, "registry_read_failed")
      .With("peer", ip)
      .With("after_ms", ToMillis(BootClock::now() - began))
      .With(error);
}

Task<Status> RegistryPuller::ReadChanges(ClientConnection* connection,
                                         std::string ip, std::string* bytes) {
  HttpRequest request;
  request.method = "GET";
  request.target = std::string(kRegistryReplicaPath) +
                   "?after=" + std::to_string(registry_->revision());
  request.fields.push_back({"Host", ip});
  const Status sent = co_await connection->Send(SerializeRequestHead(request),
                                                &request.body, kPullTimeout);
  if (!sent) co_return sent.error();
  const auto head = co_await connection->ReadHead(kPullTimeout);
  if (!head) co_return head.error();
  if (head.value().status != 200) {
    co_await DrainResponse(connection);
    co_return MakeError(ErrorKind::kRefused, "the peer is busy",
                        "wait; another read follows");
  }
  std::string buffer(16U << 10, '\0');
  while (bytes->size() <= kMaxReplicaBytes) {
    const auto read = co_await connection->ReadBody(
        buffer.data(), buffer.size(), kPullTimeout);
    if (!read) co_return read.error();
    if (read.value() == 0) co_return OkStatus();
    bytes->append(buffer, 0, read.value());
  }
  connection->Close();
  co_return MakeError(ErrorKind::kMalformedMessage,
                      "the registry exceeds the maximum size",
                      "check what the peer's address serves");
}

}  // namespace wisteriarill
