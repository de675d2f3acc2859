/// \file
/// Decides which node grants the tokens of a workspace. The load it answers is
/// a partition: all nodes of a side must agree on one owner, however few of the
/// nodes that rank first are on that side.
#ifndef WISTERIARILL_MESH_RATE_OWNER_SELECTOR_H_
#define WISTERIARILL_MESH_RATE_OWNER_SELECTOR_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wisteriarill {

/// What a node knows of another that may own a workspace.
enum class OwnerCandidateState {
  kHeard,    ///< Was heard from a moment ago.
  kUnheard,  ///< Not known to be silent.
  kSilent,   ///< Left a probe unanswered.
  kLeaving,  ///< Stops, or is unknown.
};

/// A node's view of the other nodes.
class OwnerCandidateView {
 public:
  virtual ~OwnerCandidateView() = default;
  virtual OwnerCandidateState StateOf(const std::string& ip) const = 0;
};

/// The owner of a workspace in the view of one node.
struct OwnerChoice {
  std::string ip;
  /// Nodes of which the view should soon be newer.
  std::vector<std::string> to_probe;
};

/// Selects owners for one node. All registered nodes are candidates for every
/// workspace, in an order that is the same at all nodes: a few by rendezvous
/// hashing, then all on a ring of hashes, from the workspace's place on. Does
/// no I/O, reads no clock, and is used from one thread.
class RateOwnerSelector {
 public:
  /// Number of candidates that are ranked by rendezvous hashing.
  static constexpr std::size_t kRanked = 4;

  explicit RateOwnerSelector(std::string own_ip) : own_ip_(std::move(own_ip)) {}

  /// Sets the addresses of the registered nodes, this one included if it is
  /// registered.
  void SetNodes(std::vector<std::string> nodes);
  /// Records that this node leaves. The others pass it over then, so it owns a
  /// workspace only if there is no other node to do so.
  void OnLeaving() { leaving_ = true; }
  /// Returns the candidates that come first for `workspace`.
  std::vector<std::string> Rank(std::string_view workspace) const;
  /// Returns the first candidate that isn't known to be silent, or this node if
  /// there is none. `ranked` is the result of Rank.
  OwnerChoice Choose(std::string_view workspace,
                     const std::vector<std::string>& ranked,
                     const OwnerCandidateView& view) const;

 private:
  class Candidates;

  std::string own_ip_;
  bool leaving_ = false;
  std::vector<std::string> nodes_;
  /// Hash and position in `nodes_`, in the order of the hashes.
  std::vector<std::pair<std::uint64_t, std::size_t>> ring_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_RATE_OWNER_SELECTOR_H_
