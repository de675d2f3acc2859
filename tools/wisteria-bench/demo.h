/// \file
/// The demonstration: a mesh in small, two versions under traffic, and a
/// failure domain that leaves and returns.
#ifndef WISTERIARILL_TOOLS_WISTERIA_BENCH_DEMO_H_
#define WISTERIARILL_TOOLS_WISTERIA_BENCH_DEMO_H_

#include <string>

#include "wisteriarill/process/time.h"

namespace wisteriarill {

struct DemoOptions {
  std::string deployment;
  std::string programs;
  std::string directory;
};

/// Runs the demonstration and prints its report; returns the exit code, 0
/// only if every promise held.
int RunDemo(const DemoOptions& options);

/// Keeps a mesh up for `length`, printing a line for each process and a key
/// for each workspace. Returns the exit code.
int HoldMesh(const DemoOptions& options, nanoseconds length);

}  // namespace wisteriarill

#endif  // WISTERIARILL_TOOLS_WISTERIA_BENCH_DEMO_H_
