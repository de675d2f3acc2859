/// \file
/// One node on a platform that publishes configuration and servers: its
/// traffic duty on one event loop, fed by the configuration duty.
#ifndef WISTERIARILL_MESH_PROXY_H_
#define WISTERIARILL_MESH_PROXY_H_

#include <memory>
#include <random>
#include <string>

#include "wisteriarill/mesh/http_server.h"
#include "wisteriarill/mesh/peer_request_handler.h"
#include "wisteriarill/mesh/ingress.h"

namespace wisteriarill {

class Proxy {
 public:
  Proxy(asio::io_context* loop, const ProxySettings& settings,
        const PlatformFieldNames& dialect, const ItemDecoder* decoder);
  ~Proxy();
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  /// Starts to listen and to talk to peers.
  Status Start();
  /// Begins a planned stop: the loop ends when all calls have ended, or just
  /// before the grace does.
  void Stop();
  /// Returns the configuration duty, which the store's reader feeds.
  RegistrySynchronizer* registry() { return &registry_; }

 private:
  class ReadyPage;
  class OperatorPages;

  void TakeUpdates();
  void OnUpdate(const RegistryUpdate& update);
  PeerHeartbeat MakeBeat() const;
  Task<void> TickLoop();
  void DecideWatch(Instant now);
  void OnBeat(const PeerHeartbeat& beat);
  Task<void> PullLoop();
  Task<void> PullFrom(Peer* peer);
  bool IsBehind(Instant now);
  Peer* FindPeerAhead();
  milliseconds DrawFarDelay();
  Task<void> StopSteps();
  std::string StatusText() const;
  bool ready() const { return state_.serving() && !stopping_; }

  asio::io_context* loop_;
  const ProxySettings settings_;
  const PlatformFieldNames dialect_;
  Metrics metrics_;
  RegistrySynchronizer registry_;
  MeshState state_;
  BackendDispatcher backend_;
  PeerTable peers_;
  PeerDatagramService peer_service_;
  std::unique_ptr<Ingress> ingress_;
  std::unique_ptr<PeerRequestHandler> inbound_;
  std::unique_ptr<ReadyPage> ready_page_;
  std::unique_ptr<OperatorPages> operator_pages_;
  std::unique_ptr<HttpServer> callers_;
  std::unique_ptr<HttpServer> inbound_server_;
  std::unique_ptr<HttpServer> ready_server_;
  std::unique_ptr<HttpServer> operator_server_;
  asio::steady_timer pull_timer_;
  std::mt19937_64 random_;
  std::uint64_t revision_ = 0;
  std::uint64_t ahead_revision_ = 0;  ///< Of a peer that knows more.
  Instant ahead_since_ = kNever;
  milliseconds far_pull_delay_{0};
  bool was_evacuated_ = false;
  bool stopping_ = false;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_PROXY_H_
