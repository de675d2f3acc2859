/// \file
/// Open-loop load: each request has an intended start, and its latency counts
/// from there whether or not a connection was free (no coordinated omission).
#ifndef WISTERIARILL_STANDIN_LOAD_GENERATOR_H_
#define WISTERIARILL_STANDIN_LOAD_GENERATOR_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "wisteriarill/process/time.h"
#include "wisteriarill/standin/http_call.h"

namespace wisteriarill {

/// Load of one workspace.
struct LoadStream {
  std::string workspace;
  double rate = 1;  ///< Requests a second, Poisson.
  HttpCall call;
  std::vector<std::string> addresses;  ///< Used at random.
};

/// What became of one request.
struct LoadSample {
  std::string workspace;
  Instant intended_start;
  Instant sent;
  Instant done;
  int status = 0;
  std::string outcome;
  std::string request_id;
  bool own_answer = true;  ///< The answer names the request's own id.
};

/// Latencies of one workspace in milliseconds, and counts by result.
struct LoadSummary {
  std::uint64_t offered = 0;
  std::uint64_t succeeded = 0;     ///< Done with 200.
  std::uint64_t rate_limited = 0;  ///< 429.
  std::uint64_t not_run = 0;       ///< 503.
  std::uint64_t unknown = 0;       ///< 502, 504 or no whole answer.
  std::uint64_t other = 0;
  double p50 = 0;
  double p99 = 0;
  double p999 = 0;
  double max = 0;
};

/// Runs streams until stopped; samples are collected at the end.
class LoadGenerator {
 public:
  /// `connections` is how many requests can be under way at once.
  LoadGenerator(std::vector<LoadStream> streams, int connections,
                std::uint64_t seed);
  ~LoadGenerator();
  LoadGenerator(const LoadGenerator&) = delete;
  LoadGenerator& operator=(const LoadGenerator&) = delete;

  void Start();
  /// Stops offering, waits for what is under way, and returns all samples in
  /// order of their intended starts.
  std::vector<LoadSample> Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// Returns the value below which `share` of sorted `values` lie.
double Percentile(const std::vector<double>& values, double share);

/// Sums up samples by workspace; only those intended from `from` to `to`.
std::map<std::string, LoadSummary> Summarize(
    const std::vector<LoadSample>& samples, Instant from, Instant to);

}  // namespace wisteriarill

#endif  // WISTERIARILL_STANDIN_LOAD_GENERATOR_H_
