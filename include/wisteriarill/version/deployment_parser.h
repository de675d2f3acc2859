/// \file
/// Reads a directory of operators' TOML files into a Deployment.
#ifndef WISTERIARILL_VERSION_DEPLOYMENT_PARSER_H_
#define WISTERIARILL_VERSION_DEPLOYMENT_PARSER_H_

#include <string>
#include <vector>

#include "wisteriarill/version/deployment.h"
#include "wisteriarill/version/toml_table_reader.h"

namespace wisteriarill {

/// A Deployment, which is valid only if there are no diagnostics.
struct ParsedDeployment {
  Deployment deployment;
  std::vector<Diagnostic> diagnostics;
};

/// Parses and validates all *.toml files in `directory` in the order of their
/// names. Reports the errors of all files, not only the first one.
ParsedDeployment ParseDeployment(const std::string& directory);

/// Checks names, references and addresses, and reports routes that match the
/// same requests. The result depends on `deployment` only, so all nodes accept
/// or reject a release alike.
std::vector<Diagnostic> ValidateDeployment(const Deployment& deployment);

/// Returns whether `text` has the form IP:port, without a host name.
bool IsIpAndPort(const std::string& text);

}  // namespace wisteriarill

#endif  // WISTERIARILL_VERSION_DEPLOYMENT_PARSER_H_
