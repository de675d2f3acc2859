/// \file
/// The servers of each service among which a node chooses. In a large fleet a
/// node uses only some of them, so that its connections and probes don't grow
/// with the fleet: those of its failure domain first, and enough in others to
/// survive the loss of its own.
#ifndef WISTERIARILL_MESH_SERVER_SUBSETS_H_
#define WISTERIARILL_MESH_SERVER_SUBSETS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "wisteriarill/mesh/membership.h"

namespace wisteriarill {

/// Selects subsets by rendezvous order, so that a server that joins or leaves
/// changes the subsets of few nodes. Does no I/O, reads no clock, and is used
/// from one thread.
class ServerSubsets {
 public:
  /// Services with at most this many servers are used whole.
  static constexpr std::size_t kMaxWholeService = 24;
  /// Size of the subset of a larger service, and the part of it that is in the
  /// own failure domain if that has enough servers.
  static constexpr std::size_t kSubsetSize = 18;
  static constexpr std::size_t kOwnDomainServers = 10;

  ServerSubsets(const std::string& own_ip, std::string own_domain);

  /// Returns the instances of `service` that this node uses. They accepted
  /// calls when `membership` last changed.
  const std::vector<std::string>& Instances(const std::string& service,
                                            const Membership& membership);
  /// Returns all instances of `service` that accept calls, for when no server
  /// of the subset can take a call.
  const std::vector<std::string>& AllInstances(const std::string& service,
                                               const Membership& membership);

 private:
  struct ServiceServers {
    std::vector<std::string> all;
    std::vector<std::string> subset;
  };

  const ServiceServers& Find(const std::string& service,
                             const Membership& membership);
  ServiceServers Build(const std::string& service,
                       const Membership& membership) const;

  std::string own_domain_;
  std::uint64_t own_hash_;
  std::uint64_t epoch_ = 0;  ///< Of the membership, when services_ was built.
  std::map<std::string, ServiceServers> services_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_SERVER_SUBSETS_H_
