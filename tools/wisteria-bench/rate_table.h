/// \file
/// The table that weighs ways of dividing rates, on the model.
#ifndef WISTERIARILL_TOOLS_WISTERIA_BENCH_RATE_TABLE_H_
#define WISTERIARILL_TOOLS_WISTERIA_BENCH_RATE_TABLE_H_

#include <iosfwd>

namespace wisteriarill {

/// Runs every way in every scenario and writes a Markdown table. Returns
/// whether the chosen way never admitted too much.
bool WriteRateTable(std::ostream* out);

}  // namespace wisteriarill

#endif  // WISTERIARILL_TOOLS_WISTERIA_BENCH_RATE_TABLE_H_
