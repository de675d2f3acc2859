/// \file
/// Explains how a configuration version would route a request.
#ifndef WISTERIARILL_VERSION_EXPLANATION_H_
#define WISTERIARILL_VERSION_EXPLANATION_H_

#include <string>

#include "wisteriarill/version/snapshot.h"

namespace wisteriarill {

/// The request to explain.
struct ExplainedRequest {
  std::string method;
  std::string host;
  std::string path;
  std::string key_digest;  ///< Hexadecimal SHA-256, empty if there is no key.
};

/// Returns a JSON document with the matching route, the workspaces that may use
/// it, the workspace of the key, and the backend servers. `snapshot` may be
/// null.
std::string RenderExplanation(const Snapshot* snapshot,
                              const ExplainedRequest& request);

}  // namespace wisteriarill

#endif  // WISTERIARILL_VERSION_EXPLANATION_H_
