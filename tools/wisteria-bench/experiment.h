/// \file
/// An experiment: a deployment, load, and faults by schedule, from TOML.
#ifndef WISTERIARILL_TOOLS_WISTERIA_BENCH_EXPERIMENT_H_
#define WISTERIARILL_TOOLS_WISTERIA_BENCH_EXPERIMENT_H_

#include <string>
#include <vector>

#include "wisteriarill/process/time.h"
#include "wisteriarill/version/deployment.h"
#include "wisteriarill/version/toml_table_reader.h"

namespace wisteriarill {

/// Load of one workspace on one path.
struct ExperimentLoad {
  std::string workspace;
  double rate = 1;  ///< Requests a second.
  std::string method = "GET";
  std::string path = "/";
  std::string from;  ///< Failure domain of the nodes used; empty: all.
};

/// What can be done to the fleet at a moment.
enum class ExperimentAction {
  kDomainOut,
  kDomainIn,
  kKillNode,
  kStartNode,
  kFreezeNode,
  kResumeNode,
  kStopNode,
  kKillBackend,
  kStartBackend,
  kColdBackend,
  kCutDomain,
  kSilenceDomain,
  kHeal,
  kPlatformMode,
  kWithdrawKeys,
  kSetRate,
};

struct ExperimentEvent {
  milliseconds at{};
  ExperimentAction action = ExperimentAction::kHeal;
  std::string target;  ///< A server, failure domain, workspace or mode.
  double value = 0;    ///< For kSetRate: the new rate.
};

/// A way to run the fleet; the first is the product, others are baselines.
struct ExperimentVariant {
  std::string name;
  std::vector<std::string> node_settings;
};

struct Experiment {
  std::string name;
  std::string deployment;  ///< Directory of operators' files.
  milliseconds length{30000};
  int connections = 64;
  int work_ms = 5;
  int warmup_ms = 1500;
  bool relays = false;
  std::vector<ExperimentLoad> loads;
  std::vector<ExperimentEvent> events;
  std::vector<ExperimentVariant> variants;
};

struct ParsedExperiment {
  Experiment experiment;
  std::vector<Diagnostic> diagnostics;
};

/// Reads an experiment; its deployment is relative to the file.
ParsedExperiment ParseExperiment(const std::string& path);

}  // namespace wisteriarill

#endif  // WISTERIARILL_TOOLS_WISTERIA_BENCH_EXPERIMENT_H_
