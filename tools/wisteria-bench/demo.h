/// \file
/// A demonstration on a small mesh of real processes: under load, it publishes
/// a second configuration version and takes a failure domain out of service and
/// back in.
#ifndef WISTERIARILL_TOOLS_WISTERIA_BENCH_DEMO_H_
#define WISTERIARILL_TOOLS_WISTERIA_BENCH_DEMO_H_

#include <string>

#include "wisteriarill/process/time.h"

namespace wisteriarill {

struct DemoOptions {
  std::string deployment;  ///< Directory of configuration files.
  std::string programs;    ///< Directory of the built programs.
  std::string directory;   ///< Directory for logs.
};

/// Runs the demonstration and prints its report. Returns the exit code, which
/// is 0 only if every guarantee held.
int RunDemo(const DemoOptions& options);

/// Runs a mesh without load for `length`, for use by hand. Prints a line for
/// each process and the API key of each workspace. Returns the exit code.
int RunIdleMesh(const DemoOptions& options, nanoseconds length);

}  // namespace wisteriarill

#endif  // WISTERIARILL_TOOLS_WISTERIA_BENCH_DEMO_H_
