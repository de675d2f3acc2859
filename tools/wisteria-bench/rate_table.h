/// \file
/// A comparison of rate limit policies in the simulation.
#ifndef WISTERIARILL_TOOLS_WISTERIA_BENCH_RATE_TABLE_H_
#define WISTERIARILL_TOOLS_WISTERIA_BENCH_RATE_TABLE_H_

#include <iosfwd>

namespace wisteriarill {

/// Simulates every rate limit policy in every scenario and writes a Markdown
/// table of the results. Returns whether the default policy, sharded token
/// buckets with owners, never admitted more calls than the rate limit allows.
bool WriteRateTable(std::ostream* out);

}  // namespace wisteriarill

#endif  // WISTERIARILL_TOOLS_WISTERIA_BENCH_RATE_TABLE_H_
