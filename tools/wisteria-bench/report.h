/// \file
/// Reports of experiments: Markdown for reading, CSV and plots for looking.
#ifndef WISTERIARILL_TOOLS_WISTERIA_BENCH_REPORT_H_
#define WISTERIARILL_TOOLS_WISTERIA_BENCH_REPORT_H_

#include <iosfwd>
#include <string>
#include <vector>

#include "experiment.h"
#include "runner.h"

namespace wisteriarill {

/// Writes the figures of one variant as Markdown tables.
void WriteVariant(const VariantResult& result, std::ostream* out);

/// Writes the verdicts as a Markdown table; returns whether all held.
bool WritePromises(const std::vector<GuaranteeResult>& promises,
                   std::ostream* out);

/// Writes service by tenths of a second: offered, answered, refused and p99.
void WriteSeries(const VariantResult& result, const std::string& path);

/// Draws the series of all variants with gnuplot into `directory`; says on
/// standard error if gnuplot is missing.
void DrawPlots(const Experiment& experiment,
               const std::vector<VariantResult>& results,
               const std::string& directory);

/// Returns a file name for a variant.
std::string FileNameOf(const std::string& name);

}  // namespace wisteriarill

#endif  // WISTERIARILL_TOOLS_WISTERIA_BENCH_REPORT_H_
