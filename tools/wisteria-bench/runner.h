/// \file
/// Runs one variant of an experiment on a fleet of real processes.
#ifndef WISTERIARILL_TOOLS_WISTERIA_BENCH_RUNNER_H_
#define WISTERIARILL_TOOLS_WISTERIA_BENCH_RUNNER_H_

#include <memory>
#include <string>
#include <vector>

#include "experiment.h"
#include "wisteriarill/process/error.h"
#include "wisteriarill/standin/fleet.h"
#include "wisteriarill/standin/guarantee_check.h"
#include "wisteriarill/standin/load_generator.h"

namespace wisteriarill {

/// What one variant came to.
struct VariantResult {
  ExperimentVariant variant;
  Instant began;
  Instant ended;
  std::vector<LoadSample> samples;
  std::vector<GuaranteeResult> promises;
  /// Time until every node had a published version in force.
  std::vector<double> convergence_millis;
  double control_bytes_per_node_second = 0;  ///< Sent and received.
  double platform_reads_per_second = 0;
  std::uint64_t overloaded =
      0;  ///< Requests that backend servers couldn't bear.
  std::uint64_t shed = 0;
};

/// Makes changes to a fleet that experiments and the demonstration share.
class FleetDriver {
 public:
  explicit FleetDriver(Fleet* fleet) : fleet_(fleet) {}

  /// Carries out an event.
  Status Perform(const ExperimentEvent& event);
  /// Publishes a changed deployment and measures convergence.
  Status Publish(Deployment deployment);
  const std::vector<double>& convergence_millis() const {
    return convergence_millis_;
  }

 private:
  Status SetDomain(const std::string& name, bool in);
  void SetLinks(const std::string& domain, LinkFault fault);
  Status ChangeWorkspace(const ExperimentEvent& event);

  Fleet* const fleet_;
  std::vector<double> convergence_millis_;
};

/// Returns the bytes that all nodes sent and received between themselves.
double PeerBytes(Fleet* fleet);

/// Runs one variant. `programs` holds the built programs; logs go below
/// `directory`.
Result<VariantResult> RunVariant(const Experiment& experiment,
                                 const ExperimentVariant& variant,
                                 const std::string& programs,
                                 const std::string& directory);

}  // namespace wisteriarill

#endif  // WISTERIARILL_TOOLS_WISTERIA_BENCH_RUNNER_H_
