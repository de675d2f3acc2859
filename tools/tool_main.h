/// \file
/// The part of main that all programs share: flag parsing, --help, --version
/// and usage errors.
#ifndef WISTERIARILL_TOOLS_TOOL_MAIN_H_
#define WISTERIARILL_TOOLS_TOOL_MAIN_H_

// cxxopts splits the value of a list flag at this character; the default, a
// comma, may occur in a value. A flag is repeated to give several values.
#define CXXOPTS_VECTOR_DELIMITER '\x1f'
#include <cxxopts.hpp>
#include <functional>
#include <iostream>
#include <string>

#include "wisteriarill/process/version_text.h"

namespace wisteriarill {

/// Exit code of a command that failed.
inline constexpr int kExitFault = 1;
/// Exit code for a command line that is not valid.
inline constexpr int kExitUsage = 2;

/// Parses the command line and returns the exit code that `run` returns for it.
/// Handles --help and --version, which it adds to `options`. If the command
/// line cannot be parsed, prints the error and returns kExitUsage.
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
