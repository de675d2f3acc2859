/// \file
/// Output of experiment results as Markdown tables, CSV time series and plots.
#ifndef WISTERIARILL_TOOLS_WISTERIA_BENCH_REPORT_H_
#define WISTERIARILL_TOOLS_WISTERIA_BENCH_REPORT_H_

#include <iosfwd>
#include <string>
#include <vector>

#include "experiment.h"
#include "runner.h"

namespace wisteriarill {

/// Writes the results of one variant as Markdown.
void WriteVariantReport(const VariantResult& result, std::ostream* out);

/// Writes the results of the guarantee checks as a Markdown table. Returns
/// whether all guarantees held.
bool WriteGuarantees(const std::vector<GuaranteeResult>& guarantees,
                     std::ostream* out);

/// Writes a CSV file with a row for each interval of 500 ms: the rates of
/// offered, successful and rate-limited requests, and the p50 and p99 latency.
void WriteTimeSeries(const VariantResult& result, const std::string& path);

/// Plots the time series of all variants with gnuplot into an SVG file in
/// `directory`. Prints a message to standard error if gnuplot fails or is
/// missing.
void DrawPlots(const Experiment& experiment,
               const std::vector<VariantResult>& results,
               const std::string& directory);

/// Returns the file name for the variant `name`: each run of characters other
/// than letters and digits becomes a hyphen, and is dropped at the start.
std::string FileNameForVariant(const std::string& name);

}  // namespace wisteriarill

#endif  // WISTERIARILL_TOOLS_WISTERIA_BENCH_REPORT_H_
