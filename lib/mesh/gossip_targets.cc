#include "wisteriarill/mesh/gossip_targets.h"

#include <algorithm>
#include <set>

namespace wisteriarill {

std::vector<Peer*> GossipTargets::ForChange(
    const std::vector<Peer*>& registered, bool from_store) {
  std::vector<Peer*> shuffled = registered;
  std::shuffle(shuffled.begin(), shuffled.end(), random_);
  std::vector<Peer*> targets;
  std::size_t in_domain = 0;
  std::set<std::string> other_domains;
  for (Peer* peer : shuffled) {
    if (peer->failure_domain == own_domain_) {
      if (in_domain < kDomainFanout) targets.push_back(peer);
      ++in_domain;
      continue;
    }
    if (!from_store && !other_domains.empty()) continue;
    if (other_domains.insert(peer->failure_domain).second)
      targets.push_back(peer);
  }
  return targets;
}

}  // namespace wisteriarill
