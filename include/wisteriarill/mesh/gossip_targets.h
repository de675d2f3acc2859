/// \file
/// Chooses the peers to which a node passes on a change. The number of messages
/// a node sends does not grow with the fleet: a change spreads as an epidemic,
/// and what an epidemic misses is found by the exchanges of ProbeOrder.
#ifndef WISTERIARILL_MESH_GOSSIP_TARGETS_H_
#define WISTERIARILL_MESH_GOSSIP_TARGETS_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "wisteriarill/mesh/peer_table.h"

namespace wisteriarill {

/// Draws peers at random. Does no I/O, reads no clock, and is used from one
/// thread.
class GossipTargets {
 public:
  /// Number of peers in the own failure domain to which a node passes on a
  /// change.
  static constexpr std::size_t kDomainFanout = 4;

  GossipTargets(std::string own_domain, std::uint64_t seed)
      : own_domain_(std::move(own_domain)), random_(seed) {}

  /// Returns the peers to which a change is sent: some in the own failure
  /// domain, and one in another. A node that read the change `from_store`
  /// sends it to one in each other failure domain.
  std::vector<Peer*> ForChange(const std::vector<Peer*>& registered,
                               bool from_store);

 private:
  std::string own_domain_;
  std::mt19937_64 random_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_GOSSIP_TARGETS_H_
