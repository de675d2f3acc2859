/// \file
/// wisteria-bench: runs meshes of real processes for demonstrations and
/// experiments.
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

// The programs are built side by side.
std::string ProgramsDirectory() {
  return std::filesystem::canonical("/proc/self/exe").parent_path().string();
}

void Shorten(Experiment* experiment, int most_seconds) {
  const std::chrono::milliseconds most = std::chrono::seconds(most_seconds);
  if (most_seconds <= 0 || experiment->length <= most) return;
  for (auto& event : experiment->events) {
    event.at = event.at * most.count() / experiment->length.count();
  }
  experiment->length = most;
}

int Run(const std::string& path, const std::string& directory,
        int most_seconds) {
  wisteriarill::ParsedExperiment parsed = wisteriarill::ParseExperiment(path);
  for (const auto& diagnostic : parsed.diagnostics) {
    std::cerr << ToString(diagnostic) << "\n";
  }
  if (!parsed.diagnostics.empty()) return kExitFault;
  Experiment& experiment = parsed.experiment;
  Shorten(&experiment, most_seconds);
  std::filesystem::create_directories(directory);
  std::ostringstream report;
  report << "## " << experiment.name << "\n";
  std::vector<VariantResult> results;
  bool held = true;
  for (const auto& variant : experiment.variants) {
    std::cerr << "running " << variant.name << " for "
              << experiment.length.count() / 1000 << " s\n";
    const std::string name = wisteriarill::FileNameOf(variant.name);
    std::string variant_directory = directory;
    variant_directory += "/" + name;
    auto result = wisteriarill::RunVariant(
        experiment, variant, ProgramsDirectory(), variant_directory);
    if (!result) {
      std::cerr << result.error().Describe() << "\n";
      return kExitFault;
    }
    WriteSeries(result.value(), variant_directory + ".csv");
    WriteVariant(result.value(), &report);
    const bool variant_held = WritePromises(result.value().promises, &report);
    // A baseline may break what only the product promises.
    if (results.empty()) held = variant_held;
    results.push_back(std::move(result).value());
  }
  DrawPlots(experiment, results, directory);
  std::cout << report.str();
  std::ofstream(directory + "/report.md") << report.str();
  return held ? 0 : kExitFault;
}

cxxopts::Options MakeOptions() {
  cxxopts::Options options(
      "wisteria-bench",
      "Runs a mesh of real processes.\n\n"
      "  demo             two versions, a failure domain out and in\n"
      "  hold             keep a mesh up, nothing running against it\n"
      "  run EXPERIMENT   run an experiment file\n"
      "  rates            weigh ways of dividing rates, on the model\n"
      "  spread           how configuration spreads, on the model\n"
      "  processes        what real nodes use, and the latency they add\n");
  options.positional_help("VERB [EXPERIMENT]");
  options.add_options()("verb", "what to do",
                        cxxopts::value<std::string>()->default_value(""))(
      "experiment", "run: the experiment's file",
      cxxopts::value<std::string>()->default_value(""))(
      "deployment", "demo, hold: directory of operators' files",
      cxxopts::value<std::string>()->default_value("examples/tregor"))(
      "seconds", "hold: how long; run: how long at most, 0 for all",
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
  if (verb == "hold") return HoldMesh(demo, std::chrono::seconds(seconds));
  if (verb == "rates") {
    return wisteriarill::WriteRateTable(&std::cout) ? 0 : kExitFault;
  }
  if (verb == "spread") {
    wisteriarill::WriteSpreadTable(&std::cout);
    return 0;
  }
  if (verb == "processes") {
    return wisteriarill::WriteProcessTable(ProgramsDirectory(), out,
                                           &std::cout);
  }
  if (verb == "run") {
    return Run(flags["experiment"].as<std::string>(), out, seconds);
  }
  std::cerr << "unknown verb; see wisteria-bench --help\n";
  return kExitUsage;
}

}  // namespace

int main(int argc, char** argv) {
  return wisteriarill::RunTool("wisteria-bench", MakeOptions(), argc, argv,
                               RunVerb);
}
