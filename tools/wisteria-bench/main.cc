/// \file
/// wisteria-bench: runs meshes of real processes and simulations for
/// demonstrations, experiments and measurements.
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "capacity.h"
#include "demo.h"
#include "experiment.h"
#include "rate_table.h"
#include "report.h"
#include "runner.h"
#include "tool_main.h"
#include "wisteriarill/process/log.h"

namespace {

using wisteriarill::kExitFault;
using wisteriarill::kExitUsage;

using wisteriarill::Experiment;
using wisteriarill::VariantResult;

// Returns the directory of this program; the build places all programs there.
std::string ProgramsDirectory() {
  return std::filesystem::canonical("/proc/self/exe").parent_path().string();
}

// Shortens `experiment` to `max_seconds` and scales the times of its events
// accordingly. Does nothing if `max_seconds` is 0 or less.
void LimitLength(Experiment* experiment, int max_seconds) {
  const std::chrono::milliseconds max_length =
      std::chrono::seconds(max_seconds);
  if (max_seconds <= 0 || experiment->length <= max_length) return;
  for (auto& event : experiment->events) {
    event.at = event.at * max_length.count() / experiment->length.count();
  }
  experiment->length = max_length;
}

int RunExperiment(const std::string& path, const std::string& directory,
                  int max_seconds) {
  wisteriarill::ParsedExperiment parsed = wisteriarill::ParseExperiment(path);
  for (const auto& diagnostic : parsed.diagnostics) {
    std::cerr << ToString(diagnostic) << "\n";
  }
  if (!parsed.diagnostics.empty()) return kExitFault;
  Experiment& experiment = parsed.experiment;
  LimitLength(&experiment, max_seconds);
  std::filesystem::create_directories(directory);
  std::ostringstream report;
  report << "## " << experiment.name << "\n";
  std::vector<VariantResult> results;
  bool primary_held = true;
  for (const auto& variant : experiment.variants) {
    std::cerr << "running " << variant.name << " for "
              << experiment.length.count() / 1000 << " s\n";
    const std::string name = wisteriarill::FileNameForVariant(variant.name);
    std::string variant_directory = directory;
    variant_directory += "/" + name;
    auto result = wisteriarill::RunVariant(
        experiment, variant, ProgramsDirectory(), variant_directory);
    if (!result) {
      std::cerr << result.error().Describe() << "\n";
      return kExitFault;
    }
    WriteTimeSeries(result.value(), variant_directory + ".csv");
    WriteVariantReport(result.value(), &report);
    const bool variant_held =
        WriteGuarantees(result.value().guarantees, &report);
    // Baselines may violate guarantees, so only the first variant decides the
    // exit code.
    if (results.empty()) primary_held = variant_held;
    results.push_back(std::move(result).value());
  }
  DrawPlots(experiment, results, directory);
  std::cout << report.str();
  std::ofstream(directory + "/report.md") << report.str();
  return primary_held ? 0 : kExitFault;
}

cxxopts::Options MakeOptions() {
  cxxopts::Options options(
      "wisteria-bench",
      "Runs meshes of real processes and simulations.\n\n"
      "  demo             demonstrate a version change and a failure domain\n"
      "                   taken out of service and back in\n"
      "  hold             run a mesh without load\n"
      "  run EXPERIMENT   run an experiment file\n"
      "  rates            compare rate limit policies in the simulation\n"
      "  spread           measure dissemination of configuration in the\n"
      "                   simulation\n"
      "  processes        measure resource usage and added latency of real\n"
      "                   nodes\n");
  options.positional_help("VERB [EXPERIMENT]");
  options.add_options()("verb", "command to run",
                        cxxopts::value<std::string>()->default_value(""))(
      "experiment", "run: experiment file",
      cxxopts::value<std::string>()->default_value(""))(
      "deployment", "demo, hold: directory of configuration files",
      cxxopts::value<std::string>()->default_value("examples/tregor"))(
      "seconds", "hold: duration; run: maximum duration, 0 for no limit",
      cxxopts::value<int>()->default_value("0"))(
      "out", "directory for logs and reports",
      cxxopts::value<std::string>()->default_value("bench-out"));
  options.parse_positional({"verb", "experiment"});
  return options;
}

int RunVerb(const cxxopts::ParseResult& flags) {
  wisteriarill::InitializeToolLog("bench", wisteriarill::LogLevel::kWarning);
  const std::string verb = flags["verb"].as<std::string>();
  const std::string out = flags["out"].as<std::string>();
  const int seconds = flags["seconds"].as<int>();
  const wisteriarill::DemoOptions demo{flags["deployment"].as<std::string>(),
                                       ProgramsDirectory(), out};
  if (verb == "demo") return RunDemo(demo);
  if (verb == "hold") return RunIdleMesh(demo, std::chrono::seconds(seconds));
  if (verb == "rates") {
    return wisteriarill::WriteRateTable(&std::cout) ? 0 : kExitFault;
  }
  if (verb == "spread") {
    wisteriarill::WriteDisseminationTable(&std::cout);
    return 0;
  }
  if (verb == "processes") {
    return wisteriarill::WriteResourceTable(ProgramsDirectory(), out,
                                            &std::cout);
  }
  if (verb == "run") {
    return RunExperiment(flags["experiment"].as<std::string>(), out, seconds);
  }
  std::cerr << "unknown verb; see wisteria-bench --help\n";
  return kExitUsage;
}

}  // namespace

int main(int argc, char** argv) {
  return wisteriarill::RunTool("wisteria-bench", MakeOptions(), argc, argv,
                               RunVerb);
}
