/// \file
/// Reads a directory of operators' TOML files into a Deployment.
#ifndef WISTERIARILL_VERSION_DEPLOYMENT_PARSER_H_
#define WISTERIARILL_VERSION_DEPLOYMENT_PARSER_H_

#include <string>
#include <vector>

#include "wisteriarill/version/deployment.h"
#include "wisteriarill/version/toml_table_reader.h"

namespace wisteriarill {

/// A Deployment, usable only when there are no diagnostics.
struct ParsedDeployment {
  Deployment deployment;
  std::vector<Diagnostic> diagnostics;
};

/// Parses and validates every *.toml file in `directory`, in name order.
/// All faults of all files are reported in one run.
ParsedDeployment ParseDeployment(const std::string& directory);

/// Checks names, references, ranges and routes that match alike; the verdict
/// is the same for equal deployments.
std::vector<Diagnostic> ValidateDeployment(const Deployment& deployment);

/// Returns whether `text` is an IP:port that a node can be dialled at.
bool IsIpAndPort(const std::string& text);

}  // namespace wisteriarill

#endif  // WISTERIARILL_VERSION_DEPLOYMENT_PARSER_H_
