/// \file
/// The documents that the operator and the upstreams write to the store.
#ifndef WISTERIARILL_REVIEW_STANDIN_3_DOCUMENTS_H_
#define WISTERIARILL_REVIEW_STANDIN_3_DOCUMENTS_H_

#include <string>
#include <vector>

#include "net.h"

namespace wisteriarill::review {

/// A route of a configuration.
struct Route {
  std::string name;
  std::string prefix;
  std::string service;
  std::string kind = "idempotent";
  milliseconds timeout{1500};
  bool open = false;  ///< Requests need no key.
};

/// A tenant of a configuration.
struct Tenant {
  std::string name;
  std::vector<std::string> keys;
  int rate = 0;   ///< Requests per second; 0: no limit.
  int burst = 0;  ///< Requests.
};

/// One version of the configuration.
struct Configuration {
  int version = 1;
  std::vector<std::string> services;
  std::vector<Route> routes;
  std::vector<Tenant> tenants;
};

/// An upstream's entry in the store.
struct UpstreamEntry {
  std::string service;
  std::string address;
  std::string zone;
  int slots = 12;
};

inline constexpr const char* kHost = "calls.example";

/// Returns the encoded document of a configuration.
std::string Encode(const Configuration& configuration);
/// Returns the encoded document of an upstream's entry.
std::string Encode(const UpstreamEntry& entry);
/// Returns an encoded document without members.
std::string EncodeEmptyDocument();

}  // namespace wisteriarill::review

#endif  // WISTERIARILL_REVIEW_STANDIN_3_DOCUMENTS_H_
