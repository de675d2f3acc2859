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

/// The measurements of one run of a variant.
struct VariantResult {
  ExperimentVariant variant;
  Instant began;
  Instant ended;
  std::vector<LoadSample> samples;
  std::vector<GuaranteeResult> guarantees;
  /// For each published version, the time until all nodes had activated it.
  std::vector<double> convergence_millis;
  double control_bytes_per_node_second =
      0;  ///< Between nodes, sent and received; includes calls.
  double platform_reads_per_second = 0;
  std::uint64_t overloaded =
      0;                   ///< Requests beyond the capacity of backend servers.
  std::uint64_t shed = 0;  ///< Requests that backend servers refused to run.
};

/// Applies faults and configuration changes to a fleet.
class FleetDriver {
 public:
  explicit FleetDriver(Fleet* fleet) : fleet_(fleet) {}

  /// Applies the action of `event`, whatever its time.
  Status Perform(const ExperimentEvent& event);
  /// Publishes `deployment` under the next version number, waits until all
  /// nodes have it in force and records how long that took. Fails with kTimeout
  /// if they do not converge.
  Status Publish(Deployment deployment);
  const std::vector<double>& convergence_millis() const {
    return convergence_millis_;
  }

 private:
  Status SetDomainInService(const std::string& name, bool in);
  void SetDomainLinks(const std::string& domain, LinkFault fault);
  Status ChangeWorkspace(const ExperimentEvent& event);

  Fleet* const fleet_;
  std::vector<double> convergence_millis_;
};

/// Returns the number of bytes that all nodes together have sent to and
/// received from each other.
double TotalPeerBytes(Fleet* fleet);

/// Runs one variant. `programs` is the directory of the built programs; logs go
/// below `directory`.
Result<VariantResult> RunVariant(const Experiment& experiment,
                                 const ExperimentVariant& variant,
                                 const std::string& programs,
                                 const std::string& directory);

}  // namespace wisteriarill

#endif  // WISTERIARILL_TOOLS_WISTERIA_BENCH_RUNNER_H_
