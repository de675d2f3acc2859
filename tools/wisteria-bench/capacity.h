/// \file
/// Measurements for docs/CAPACITY.md of how costs grow with the number of
/// nodes: dissemination of configuration in the simulation, and the resource
/// usage and latency of real processes.
#ifndef WISTERIARILL_TOOLS_WISTERIA_BENCH_CAPACITY_H_
#define WISTERIARILL_TOOLS_WISTERIA_BENCH_CAPACITY_H_

#include <iosfwd>
#include <string>

namespace wisteriarill {

/// Simulates the dissemination of configuration versions for several numbers of
/// nodes, and writes a Markdown table of convergence times, bytes sent and
/// platform reads.
void WriteDisseminationTable(std::ostream* out);

/// Runs real nodes in several numbers and writes Markdown tables of the memory,
/// CPU time and network traffic of idle nodes, the convergence time of a
/// configuration change, and the request latency with and without the mesh.
/// `programs` is the directory of the built programs; logs go below
/// `directory`. Returns the exit code.
int WriteResourceTable(const std::string& programs,
                       const std::string& directory, std::ostream* out);

}  // namespace wisteriarill

#endif  // WISTERIARILL_TOOLS_WISTERIA_BENCH_CAPACITY_H_
