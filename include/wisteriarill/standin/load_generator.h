/// \file
/// An open-loop load generator. Each request has an intended start, and its
/// latency is measured from there even if no connection was free, which avoids
/// coordinated omission.
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

/// The requests of one workspace.
struct LoadStream {
  std::string workspace;
  double rate = 1;  ///< Requests per second, a Poisson process.
  HttpCall call;
  std::vector<std::string> addresses;  ///< Drawn at random for each request.
};

/// The times and the result of one request.
struct LoadSample {
  std::string workspace;
  Instant intended_start;
  Instant sent;
  Instant done;
  int status = 0;
  std::string outcome;
  std::string request_id;
  /// False if the status is 200 and the body does not contain `request_id`.
  bool body_has_request_id = true;
};

/// Number of requests of one workspace by result, and latency percentiles of
/// the successful ones in milliseconds.
struct LoadSummary {
  std::uint64_t offered = 0;
  std::uint64_t succeeded = 0;     ///< 200.
  std::uint64_t rate_limited = 0;  ///< 429.
  std::uint64_t not_run = 0;       ///< 503.
  std::uint64_t unknown = 0;       ///< 502, 504 or no complete response.
  std::uint64_t other = 0;
  double p50 = 0;
  double p99 = 0;
  double p999 = 0;
  double max = 0;
};

/// Sends the requests of all streams until stopped, and returns the samples at
/// the end.
class LoadGenerator {
 public:
  /// At most `connections` requests are outstanding at a time.
  LoadGenerator(std::vector<LoadStream> streams, int connections,
                std::uint64_t seed);
  ~LoadGenerator();
  LoadGenerator(const LoadGenerator&) = delete;
  LoadGenerator& operator=(const LoadGenerator&) = delete;

  void Start();
  /// Stops starting requests, waits for queued and outstanding ones, and
  /// returns all samples in order of their intended starts.
  std::vector<LoadSample> Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// Returns the value below which a share (0 to 1) of the sorted `values` lies;
/// 0 if there are none.
double Percentile(const std::vector<double>& values, double share);

/// Summarizes, by workspace, the samples whose intended start is in [`from`,
/// `to`).
std::map<std::string, LoadSummary> Summarize(
    const std::vector<LoadSample>& samples, Instant from, Instant to);

}  // namespace wisteriarill

#endif  // WISTERIARILL_STANDIN_LOAD_GENERATOR_H_
