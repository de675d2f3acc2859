#include "wisteriarill/mesh/registry_puller.h"

#include <utility>

#include "wisteriarill/mesh/forwarded_call.h"
#include "wisteriarill/process/hashing.h"
#include "wisteriarill/process/log.h"

namespace wisteriarill {
namespace {

/// How long a node that watches the store waits before it reads changes from a
/// peer. The store usually sends the same change within this time.
constexpr milliseconds kWatcherPullDelay{200};
/// Time for a connection to a peer. A lost opening packet is sent again later
/// than this; another peer answers sooner.
constexpr milliseconds kConnectTimeout{300};
/// Time for each further step of a read.
constexpr milliseconds kReadTimeout{1000};
/// How often a node that is behind considers another read.
constexpr milliseconds kCheckInterval{15};
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
      selector_(Hash64(settings.name)) {}

void RegistryPuller::Start() {
  SpawnService(loop_, "registry-pull", [this] { return Run(); });
}

void RegistryPuller::OnPeerPosition(const std::string& ip,
                                    StorePosition position,
                                    std::uint32_t carried) {
  const Peer* peer = peers_->Find(ip);
  const StorePosition held = registry_->position();
  const bool lacks_carried =
      position.era == held.era && registry_->LacksCarried(carried);
  if (peer == nullptr || (position <= held && !lacks_carried)) return;
  const bool was_behind = selector_.IsBehind();
  selector_.OnPeerPosition(ip, position, lacks_carried ? carried : 0,
                           peer->failure_domain == settings_.failure_domain,
                           BootClock::now());
  if (!was_behind) timer_.cancel();
}

void RegistryPuller::UpdateHeld() {
  selector_.OnHeld(registry_->position(), [this](std::uint32_t digest) {
    return registry_->LacksCarried(digest);
  });
}

Task<void> RegistryPuller::Run() {
  for (;;) {
    UpdateHeld();
    CloseNeedlessReads();
    if (selector_.IsBehind()) StartRead();
    if (selector_.IsBehind()) {
      timer_.expires_after(kCheckInterval);
    } else {
      timer_.expires_at(asio::steady_timer::time_point::max());
    }
    error_code ignored;  // OnRevision cancels the timer.
    co_await timer_.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
}

void RegistryPuller::StartRead() {
  const Instant now = BootClock::now();
  const bool waits_for_store =
      registry_->watching() &&
      now < selector_.behind_since() + kWatcherPullDelay;
  if (waits_for_store) return;
  const auto ip = selector_.StartRead(now, [this, now](const std::string& ip) {
    const Peer* peer = peers_->Find(ip);
    return peer != nullptr && peer->IsReachable(now);
  });
  if (!ip) return;
  connections_[*ip] = peers_->Find(*ip)->pool->CreateConnection();
  SpawnTask(loop_, "registry-read", [this, ip = *ip] { return ReadFrom(ip); });
}

Task<void> RegistryPuller::ReadFrom(std::string ip) {
  const Instant began = BootClock::now();
  const std::shared_ptr<ClientConnection> connection = connections_.at(ip);
  std::string bytes;
  Status read = co_await ReadChanges(connection.get(), ip, &bytes);
  if (read) read = ApplyChanges(ip, bytes);
  const Instant now = BootClock::now();
  connections_.erase(ip);
  UpdateHeld();
  const bool needless = !selector_.IsAhead(ip);
  if (read || needless) {
    selector_.OnReadEnded(ip, PeerReadEnd::kDone, now);
  } else if (read.error().kind == ErrorKind::kRefused) {
    selector_.OnReadEnded(ip, PeerReadEnd::kBusy, now);
  } else {
    selector_.OnReadEnded(ip, PeerReadEnd::kFailed, now);
    RecordFailure(ip, read.error(), began);
  }
  timer_.cancel();
}

void RegistryPuller::CloseNeedlessReads() {
  for (const auto& [ip, connection] : connections_) {
    if (!selector_.IsAhead(ip)) connection->Close();
  }
}

Status RegistryPuller::ApplyChanges(const std::string& ip,
                                    const std::string& bytes) {
  Result<RegistryBatch> batch = DecodeBatch(bytes);
  if (!batch) return batch.error();
  metrics_->Add("wisteria_peer_copies_read");
  registry_->Apply(std::move(batch.value()), RegistrySource::kPeer,
                   "peer-" + ip);
  return OkStatus();
}

void RegistryPuller::RecordFailure(const std::string& ip, const Error& error,
                                   Instant began) {
  metrics_->Add("wisteria_peer_copies_failed");
  LogEvent(LogLevel::kInfo, "registry_read_failed")
      .With("peer", ip)
      .With("after_ms", ToMillis(BootClock::now() - began))
      .With(error);
}

Task<Status> RegistryPuller::ReadChanges(ClientConnection* connection,
                                         std::string ip, std::string* bytes) {
  const Status connected = co_await connection->Connect(kConnectTimeout);
  if (!connected) co_return connected.error();
  HttpRequest request;
  request.method = "GET";
  request.target = std::string(kRegistryReplicaPath) +
                   "?after=" + ToString(registry_->position());
  request.fields.push_back({"Host", ip});
  const Status sent = co_await connection->Send(SerializeRequestHead(request),
                                                &request.body, kReadTimeout);
  if (!sent) co_return sent.error();
  const auto head = co_await connection->ReadHead(kReadTimeout);
  if (!head) co_return head.error();
  if (head.value().status != 200) {
    connection->Close();
    co_return MakeError(ErrorKind::kRefused, "the peer is busy",
                        "wait; another read follows");
  }
  std::string buffer(16U << 10, '\0');
  while (bytes->size() <= kMaxReplicaBytes) {
    const auto read = co_await connection->ReadBody(
        buffer.data(), buffer.size(), kReadTimeout);
    if (!read) co_return read.error();
    selector_.OnProgress(ip, BootClock::now());
    if (read.value() == 0) co_return OkStatus();
    bytes->append(buffer, 0, read.value());
  }
  connection->Close();
  co_return MakeError(ErrorKind::kMalformedMessage,
                      "the registry exceeds the maximum size",
                      "check what the peer's address serves");
}

}  // namespace wisteriarill
