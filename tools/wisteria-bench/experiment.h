/// \file
/// The description of an experiment, read from a TOML file: a deployment, its
/// load, and a schedule of faults and changes.
#ifndef WISTERIARILL_TOOLS_WISTERIA_BENCH_EXPERIMENT_H_
#define WISTERIARILL_TOOLS_WISTERIA_BENCH_EXPERIMENT_H_

#include <string>
#include <vector>

#include "wisteriarill/process/time.h"
#include "wisteriarill/version/deployment.h"
#include "wisteriarill/version/toml_table_reader.h"

namespace wisteriarill {

/// A stream of requests of one workspace to one path.
struct ExperimentLoad {
  std::string workspace;
  double rate = 1;  ///< Requests per second.
  std::string method = "GET";
  std::string path = "/";
  std::string from;  ///< Send only to nodes of this failure domain, if set.
};

/// A fault or change that an event applies to the fleet. The order matches the
/// names in experiment.cc.
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
  kDisconnectDomain,
  kStallDomain,
  kHeal,
  kPlatformMode,
  kWithdrawKeys,
  kSetRate,
};

/// An action at a point of the schedule.
struct ExperimentEvent {
  milliseconds at{};  ///< Time since the load started.
  ExperimentAction action = ExperimentAction::kHeal;
  std::string target;  ///< Server, failure domain, workspace or platform mode.
  double value = 0;    ///< For kSetRate: the new rate limit per second.
};

/// A set of node settings to run the experiment with. The first variant of an
/// experiment is the one under test; the others are baselines for comparison.
struct ExperimentVariant {
  std::string name;
  std::vector<std::string> node_settings;  ///< KEY=VALUE for every node.
};

/// A parsed experiment file.
struct Experiment {
  std::string name;
  std::string deployment;  ///< Directory of configuration files.
  milliseconds length{30000};
  int connections = 64;
  int work_ms = 5;
  int warmup_ms = 1500;
  bool relays = false;  ///< Connect nodes through relays that inject faults.
  std::vector<ExperimentLoad> loads;
  std::vector<ExperimentEvent> events;
  std::vector<ExperimentVariant> variants;
};

/// An experiment and the errors found in its file.
struct ParsedExperiment {
  Experiment experiment;
  std::vector<Diagnostic> diagnostics;
};

/// Reads the experiment file `path`. A relative path of its deployment is
/// resolved against the file's directory.
ParsedExperiment ParseExperiment(const std::string& path);

}  // namespace wisteriarill

#endif  // WISTERIARILL_TOOLS_WISTERIA_BENCH_EXPERIMENT_H_
