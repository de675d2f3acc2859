/// \file
/// The order in which a node exchanges its status with all others. The load it
/// answers is a partition along failure domains: any run of probes must sample
/// all domains in proportion to their size.
#ifndef WISTERIARILL_MESH_PROBE_ORDER_H_
#define WISTERIARILL_MESH_PROBE_ORDER_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace wisteriarill {

/// A node that may be probed.
struct ProbeCandidate {
  std::string ip;
  std::string failure_domain;
};

/// Draws each candidate once a pass, at random but with the failure domains
/// evenly interleaved. Does no I/O, reads no clock, and is used from one
/// thread.
class ProbeOrder {
 public:
  explicit ProbeOrder(std::uint64_t seed) : random_(seed) {}

  /// Sets the candidates and begins a new pass.
  void SetCandidates(std::vector<ProbeCandidate> candidates);
  std::size_t size() const { return candidates_.size(); }
  /// Returns the address of the next candidate, or an empty string if there is
  /// none.
  std::string Next();

 private:
  /// Orders the candidates for a pass.
  void BeginPass();

  std::mt19937_64 random_;
  std::vector<ProbeCandidate> candidates_;
  std::size_t next_ = 0;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_PROBE_ORDER_H_
