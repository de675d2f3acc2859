/// \file
/// What every program's main does: flags, help, version and usage faults.
#ifndef WISTERIARILL_TOOLS_TOOL_MAIN_H_
#define WISTERIARILL_TOOLS_TOOL_MAIN_H_

// A repeated flag gives one value each time, commas included.
#define CXXOPTS_VECTOR_DELIMITER '\x1f'
#include <cxxopts.hpp>
#include <functional>
#include <iostream>
#include <string>

#include "wisteriarill/process/version_text.h"

namespace wisteriarill {

inline constexpr int kExitFault = 1;
inline constexpr int kExitUsage = 2;

/// Parses the flags and calls `run`, which returns the exit code. Adds --help
/// and --version; a flag that does not exist ends with kExitUsage.
inline int RunTool(const std::string& name, cxxopts::Options options, int argc,
                   char** argv,
                   const std::function<int(const cxxopts::ParseResult&)>& run) {
  options.add_options()("help", "show this help")("version",
                                                  "show the version");
  try {
    const cxxopts::ParseResult flags = options.parse(argc, argv);
    if (flags.count("help") > 0) {
      std::cout << options.help() << "\n";
      return 0;
    }
    if (flags.count("version") > 0) {
      std::cout << name << " " << kVersionText << "\n";
      return 0;
    }
    return run(flags);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << error.what() << "; see " << name << " --help\n";
    return kExitUsage;
  }
}

}  // namespace wisteriarill

#endif  // WISTERIARILL_TOOLS_TOOL_MAIN_H_
