#include "wisteriarill/mesh/rate_owner_selector.h"

#include <algorithm>

#include "wisteriarill/mesh/rate_tokens.h"
#include "wisteriarill/process/hashing.h"

namespace wisteriarill {
namespace {

/// Number of silent candidates that are probed again to notice their return.
/// The others' own probes tell of theirs.
constexpr std::size_t kReprobed = 4;

}  // namespace

/// The candidates of a workspace in their order: the ranked ones, then the
/// ring. Ranked ones come twice, which changes no choice.
class RateOwnerSelector::Candidates {
 public:
  Candidates(const RateOwnerSelector& selector, std::string_view workspace,
             const std::vector<std::string>& ranked)
      : selector_(selector), ranked_(ranked) {
    const auto& ring = selector.ring_;
    const auto place = std::lower_bound(
        ring.begin(), ring.end(), std::pair(Hash64(workspace), std::size_t{0}));
    ring_start_ = static_cast<std::size_t>(place - ring.begin());
  }

  std::size_t size() const { return ranked_.size() + selector_.ring_.size(); }
  const std::string& At(std::size_t i) const {
    if (i < ranked_.size()) return ranked_[i];
    const std::size_t step = i - ranked_.size();
    const auto& ring = selector_.ring_;
    return selector_.nodes_[ring[(ring_start_ + step) % ring.size()].second];
  }

 private:
  const RateOwnerSelector& selector_;
  const std::vector<std::string>& ranked_;
  std::size_t ring_start_;
};

void RateOwnerSelector::SetNodes(std::vector<std::string> nodes) {
  nodes_ = std::move(nodes);
  ring_.clear();
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    ring_.emplace_back(Hash64(nodes_[i]), i);
  }
  // Two nodes with the same hash are in the order of their addresses.
  std::sort(ring_.begin(), ring_.end(), [this](const auto& a, const auto& b) {
    return a.first != b.first ? a.first < b.first
                              : nodes_[a.second] < nodes_[b.second];
  });
}

std::vector<std::string> RateOwnerSelector::Rank(
    std::string_view workspace) const {
  return RankOwners(workspace, nodes_, kRanked);
}

OwnerChoice RateOwnerSelector::Choose(std::string_view workspace,
                                      const std::vector<std::string>& ranked,
                                      const OwnerCandidateView& view) const {
  const Candidates candidates(*this, workspace, ranked);
  OwnerChoice choice;
  std::size_t silent = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const std::string& ip = candidates.At(i);
    if (ip == own_ip_ && leaving_) continue;
    if (ip == own_ip_) break;
    const OwnerCandidateState state = view.StateOf(ip);
    if (state == OwnerCandidateState::kLeaving) continue;
    if (state == OwnerCandidateState::kSilent) {
      if (++silent <= kReprobed) choice.to_probe.push_back(ip);
      continue;
    }
    choice.ip = ip;
    if (state == OwnerCandidateState::kHeard) return choice;
    // Probing as many more as were silent finds an owner that is far down the
    // order in a number of steps that grows with the logarithm of its place.
    const std::size_t end = std::min(candidates.size(), i + 1 + silent);
    for (std::size_t ahead = i; ahead < end; ++ahead) {
      const std::string& next = candidates.At(ahead);
      if (next == own_ip_ && leaving_) continue;
      if (next == own_ip_) break;
      if (view.StateOf(next) == OwnerCandidateState::kUnheard)
        choice.to_probe.push_back(next);
    }
    return choice;
  }
  choice.ip = own_ip_;
  return choice;
}

}  // namespace wisteriarill
