/// \file
/// Decides whether requests are within the rate of their workspace, with tokens
/// that the workspaces' owners grant.
#ifndef WISTERIARILL_MESH_RATE_ADMISSION_H_
#define WISTERIARILL_MESH_RATE_ADMISSION_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "wisteriarill/mesh/async.h"
#include "wisteriarill/mesh/peer_table.h"
#include "wisteriarill/mesh/rate_owner_selector.h"
#include "wisteriarill/mesh/rate_tokens.h"

namespace wisteriarill {

/// Whether a request is within the rate of its workspace.
struct RateLimitDecision {
  bool admitted = false;
  milliseconds retry_after{0};
  std::string reason;
};

/// Sends datagrams to peers, and measures how many of them it reaches.
class DatagramSender {
 public:
  virtual ~DatagramSender() = default;
  virtual void Send(const std::string& ip, const PeerDatagram& datagram) = 0;
  /// Asks a peer for its status.
  virtual void SendProbe(Peer* peer) = 0;
  /// Begins to measure the reach anew. Returns since when the probes are sent
  /// that it will rest on.
  virtual Instant MeasureReach() = 0;
};

/// Requests tokens of the workspaces in use, and grants tokens of the
/// workspaces that this node owns.
class RateAdmission {
 public:
  RateAdmission(asio::io_context* loop, std::string own_ip, PeerTable* peers,
                DatagramSender* sender, RateTolerance tolerance);

  /// Sets the workspaces of the current configuration.
  void Configure(const std::vector<MeshWorkspace>& workspaces);
  /// Sets whether this node is registered. Only registered nodes own
  /// workspaces, because all nodes know these.
  void SetRegistered(bool registered) { registered_ = registered; }
  /// Records that this node leaves, and gives up what it owns.
  void OnLeaving(Instant now);
  /// Updates what this node owns, and logs what it refused.
  /// `reach` is the fraction of the nodes that this node reaches, by probes
  /// that were sent after `measured_since`.
  void OnTick(double reach, Instant measured_since, Instant now);
  /// Replies to a request of `from`.
  void OnGrantRequest(const TokenGrantRequest& request,
                      const std::string& from);
  void OnGrant(const TokenGrant& grant);
  /// Takes a token for one request of `workspace`, if necessary by requesting
  /// tokens from the workspace's owner. The request waits up to `max_wait` for
  /// the grant.
  Task<RateLimitDecision> Admit(std::string workspace, nanoseconds max_wait);

 private:
  struct WorkspaceTokens {
    RateTokenClient client;
    std::vector<std::string> ranked;  ///< As of `ranked_epoch`.
    std::uint64_t ranked_epoch = 0;
    std::vector<asio::steady_timer*> waiters;
  };

  std::uint64_t epoch() const;
  void UpdateOwned(Instant now);
  /// Returns the candidates that rank first as owners.
  const std::vector<std::string>& Ranked(const std::string& workspace,
                                         WorkspaceTokens* tokens);
  /// Returns the address of the owner in the view of this node, and probes
  /// nodes on which that depends.
  std::string ChooseOwner(const std::string& workspace, WorkspaceTokens* tokens,
                          Instant now);
  /// Grants up to `wanted` tokens as the owner. Returns nothing if this node
  /// has just become one and doesn't know yet which part of the rate it has.
  std::optional<std::uint32_t> GrantAsOwner(const std::string& workspace,
                                            std::uint32_t wanted, Instant now);
  void RequestTokensIfNeeded(const std::string& workspace,
                             WorkspaceTokens* tokens, Instant now);
  Task<void> AwaitGrant(WorkspaceTokens* tokens, nanoseconds max_wait);
  void LogReports();

  asio::io_context* loop_;
  std::string own_ip_;
  PeerTable* peers_;
  DatagramSender* sender_;
  RateOwnerSelector selector_;
  std::uint64_t selector_epoch_ = 0;
  RateTokenOwner owner_;
  std::map<std::string, WorkspaceTokens> workspaces_;
  bool registered_ = false;
  bool leaving_ = false;
  std::uint64_t configurations_ = 0;
  std::uint64_t owned_epoch_ = 0;  ///< Epoch of the last UpdateOwned.
  int ticks_ = 0;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_RATE_ADMISSION_H_
