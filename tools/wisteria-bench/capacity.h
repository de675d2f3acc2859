/// \file
/// Slopes for docs/CAPACITY.md: spread on the model, and real processes.
#ifndef WISTERIARILL_TOOLS_WISTERIA_BENCH_CAPACITY_H_
#define WISTERIARILL_TOOLS_WISTERIA_BENCH_CAPACITY_H_

#include <iosfwd>
#include <string>

namespace wisteriarill {

/// Writes how configuration spreads at growing numbers of nodes.
void WriteSpreadTable(std::ostream* out);

/// Writes what real nodes use, idle, at growing numbers of nodes, and the
/// latency that the mesh adds. Returns the exit code.
int WriteProcessTable(const std::string& programs, const std::string& directory,
                      std::ostream* out);

}  // namespace wisteriarill

#endif  // WISTERIARILL_TOOLS_WISTERIA_BENCH_CAPACITY_H_
