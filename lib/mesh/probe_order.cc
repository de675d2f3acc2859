#include "wisteriarill/mesh/probe_order.h"

#include <algorithm>
#include <map>
#include <utility>

namespace wisteriarill {

void ProbeOrder::SetCandidates(std::vector<ProbeCandidate> candidates) {
  candidates_ = std::move(candidates);
  BeginPass();
}

std::string ProbeOrder::Next() {
  if (candidates_.empty()) return "";
  if (next_ == candidates_.size()) BeginPass();
  return candidates_[next_++].ip;
}

void ProbeOrder::BeginPass() {
  next_ = 0;
  std::shuffle(candidates_.begin(), candidates_.end(), random_);
  // Candidate i of the n in a domain gets the place (i + offset) / n of the
  // pass, so that each domain is spread over the whole pass.
  std::uniform_real_distribution<double> any_offset(0, 1);
  struct DomainPlaces {
    double offset = 0;
    double size = 0;
    double used = 0;
  };
  std::map<std::string, DomainPlaces> domains;
  for (const ProbeCandidate& candidate : candidates_) {
    DomainPlaces& domain = domains[candidate.failure_domain];
    if (domain.size == 0) domain.offset = any_offset(random_);
    ++domain.size;
  }
  std::vector<std::pair<double, std::size_t>> places;
  for (std::size_t i = 0; i < candidates_.size(); ++i) {
    DomainPlaces& domain = domains[candidates_[i].failure_domain];
    places.emplace_back((domain.used + domain.offset) / domain.size, i);
    ++domain.used;
  }
  std::sort(places.begin(), places.end());
  std::vector<ProbeCandidate> ordered;
  ordered.reserve(candidates_.size());
  for (const auto& [place, i] : places) {
    ordered.push_back(std::move(candidates_[i]));
  }
  candidates_ = std::move(ordered);
}

}  // namespace wisteriarill
