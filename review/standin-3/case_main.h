/// \file
/// What the programs of the cases share: their arguments and exit codes.
#ifndef WISTERIARILL_REVIEW_STANDIN_3_CASE_MAIN_H_
#define WISTERIARILL_REVIEW_STANDIN_3_CASE_MAIN_H_

#include <memory>
#include <string>

#include "mesh.h"

namespace wisteriarill::review {

inline constexpr int kExitHeld = 0;
inline constexpr int kExitBroken = 1;
inline constexpr int kExitNotRun = 2;

/// A case: its folder, its record and its deployment.
struct Case {
  std::string folder;        ///< Where the record is written.
  bool with_trouble = true;  ///< False: the same without the disruption.
  std::unique_ptr<Record> record;
  std::unique_ptr<Mesh> mesh;
};

/// Runs a case that has been set up, and returns the exit code.
using CaseFunction = int (*)(Case* test);

/// Reads the arguments FOLDER WORKDIR PROGRAM UPSTREAM and the variable
/// TROUBLE, runs `run` and returns its exit code.
int RunCase(int argc, char** argv, CaseFunction run);

/// Says the outcome and returns the exit code.
int Conclude(Case* test, bool broken, const std::string& finding);

}  // namespace wisteriarill::review

#endif  // WISTERIARILL_REVIEW_STANDIN_3_CASE_MAIN_H_
