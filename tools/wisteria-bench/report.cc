#include "report.h"

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <numeric>

#include "wisteriarill/standin/child_process.h"

namespace wisteriarill {
namespace {

constexpr nanoseconds kSampleInterval = milliseconds(500);
constexpr nanoseconds kPlotTimeout = seconds(20);
constexpr const char* kGnuplot = "/usr/bin/gnuplot";

// Counts and latencies of the requests that were due in one interval.
struct IntervalStats {
  std::uint64_t offered = 0;
  std::uint64_t succeeded = 0;
  std::uint64_t over_rate = 0;
  std::vector<double> latencies;
};

// Assigns the samples to intervals by their intended start, so that a delayed
// request counts in the interval in which it was due.
std::vector<IntervalStats> GroupByInterval(const VariantResult& result) {
  std::vector<IntervalStats> intervals;
  for (const LoadSample& sample : result.samples) {
    if (sample.intended_start < result.began) continue;
    const auto index = static_cast<std::size_t>(
        (sample.intended_start - result.began) / kSampleInterval);
    if (intervals.size() <= index) intervals.resize(index + 1);
    IntervalStats& interval = intervals[index];
    ++interval.offered;
    if (sample.status == 429) ++interval.over_rate;
    if (sample.status != 200) continue;
    ++interval.succeeded;
    interval.latencies.push_back(std::chrono::duration<double, std::milli>(
                                     sample.done - sample.intended_start)
                                     .count());
  }
  return intervals;
}

}  // namespace

std::string FileNameForVariant(const std::string& name) {
  std::string file;
  for (const char c : name) {
    const bool plain = std::isalnum(static_cast<unsigned char>(c)) != 0;
    if (plain) {
      file += c;
    } else if (!file.empty() && file.back() != '-') {
      file += '-';
    }
  }
  return file;
}

void WriteVariantReport(const VariantResult& result, std::ostream* out) {
  *out << std::fixed << std::setprecision(1);
  *out << "\n### " << result.variant.name << "\n\n"
       << "| workspace | offered | answered | 429 | not run | unknown | "
          "other | p50 ms | p99 ms | p99.9 ms | max ms |\n"
       << "|---|---|---|---|---|---|---|---|---|---|---|\n";
  for (const auto& [name, s] :
       Summarize(result.samples, result.began, result.ended)) {
    *out << "| " << name << " | " << s.offered << " | " << s.succeeded << " | "
         << s.rate_limited << " | " << s.not_run << " | " << s.unknown << " | "
         << s.other << " | " << s.p50 << " | " << s.p99 << " | " << s.p999
         << " | " << s.max << " |\n";
  }
  *out << "\nbetween nodes: " << result.control_bytes_per_node_second
       << " bytes/s a node, calls included; platform reads: "
       << result.platform_reads_per_second
       << "/s; requests beyond the capacity of backend servers: "
       << result.overloaded << "; shed: " << result.shed << "\n";
  if (result.convergence_millis.empty()) return;
  *out << "versions in force at every node after (ms):";
  for (const double millis : result.convergence_millis) *out << " " << millis;
  *out << "\n";
}

bool WriteGuarantees(const std::vector<GuaranteeResult>& guarantees,
                     std::ostream* out) {
  bool all_held = true;
  *out << "\n| promise | checked | broken |\n|---|---|---|\n";
  for (const GuaranteeResult& guarantee_result : guarantees) {
    *out << "| " << guarantee_result.guarantee << " | "
         << guarantee_result.checked << " | " << guarantee_result.violations
         << " |\n";
    all_held = all_held && guarantee_result.violations == 0;
  }
  return all_held;
}

void WriteTimeSeries(const VariantResult& result, const std::string& path) {
  std::ofstream csv(path);
  csv << "seconds,offered_per_s,answered_per_s,over_rate_per_s,p50_ms,p99_ms"
      << "\n";
  const double interval_seconds =
      std::chrono::duration<double>(kSampleInterval).count();
  double at = 0;
  for (IntervalStats& interval : GroupByInterval(result)) {
    std::sort(interval.latencies.begin(), interval.latencies.end());
    csv << at << "," << static_cast<double>(interval.offered) / interval_seconds
        << "," << static_cast<double>(interval.succeeded) / interval_seconds
        << "," << static_cast<double>(interval.over_rate) / interval_seconds
        << "," << Percentile(interval.latencies, 0.5) << ","
        << Percentile(interval.latencies, 0.99) << "\n";
    at += interval_seconds;
  }
}

void DrawPlots(const Experiment& experiment,
               const std::vector<VariantResult>& results,
               const std::string& directory) {
  const std::string script = directory + "/plot.gp";
  std::ofstream file(script);
  file << "set datafile separator ','\nset terminal svg size 900,560\n"
       << "set output '" << directory << "/" << experiment.name << ".svg'\n"
       << "set multiplot layout 2,1 title '" << experiment.name << "'\n"
       << "set key outside\nset xlabel 'seconds'\n";
  const auto plot = [&](const std::string& label, const std::string& column) {
    file << "set ylabel '" << label << "'\nplot ";
    for (std::size_t i = 0; i < results.size(); ++i) {
      const std::string& name = results[i].variant.name;
      file << (i > 0 ? ", " : "") << "'" << directory << "/"
           << FileNameForVariant(name) << ".csv' using 1:" << column
           << " skip 1 with lines title '" << name << "'";
    }
    file << "\n";
  };
  plot("answered/s", "3");
  plot("p99 ms", "6");
  file << "unset multiplot\n";
  file.close();
  auto process =
      ChildProcess::Start({kGnuplot, script}, directory + "/plot.log");
  if (!process || process.value().WaitForExit(kPlotTimeout).value_or(-1) != 0) {
    std::cerr << "cannot draw the plot; install gnuplot-nox\n";
  }
}

}  // namespace wisteriarill
