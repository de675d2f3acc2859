/// \file
/// Explains what a version would do with a request.
#ifndef WISTERIARILL_VERSION_EXPLANATION_H_
#define WISTERIARILL_VERSION_EXPLANATION_H_

#include <string>

#include "wisteriarill/version/snapshot.h"

namespace wisteriarill {

/// A request to explain.
struct ExplainedRequest {
  std::string method;
  std::string host;
  std::string path;
  std::string key_digest;  ///< SHA-256 in hexadecimal; empty: no key.
};

/// Returns a JSON document: the route that matches, who may use it, whose the
/// key is, and the backend servers. `snapshot` may be null.
std::string RenderExplanation(const Snapshot* snapshot,
                              const ExplainedRequest& request);

}  // namespace wisteriarill

#endif  // WISTERIARILL_VERSION_EXPLANATION_H_
