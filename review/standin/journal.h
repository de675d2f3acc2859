/// \file
/// What the stand-ins saw of each request: when it was sent, answered and run.
#ifndef WISTERIARILL_REVIEW_STANDIN_JOURNAL_H_
#define WISTERIARILL_REVIEW_STANDIN_JOURNAL_H_

#include <map>
#include <string>
#include <vector>

#include "wisteriarill/process/time.h"

namespace wisteriarill::review {

/// One request of a caller.
struct RequestRecord {
  std::string id;
  std::string tenant;  ///< Tenant whose key the caller sent.
  std::string node;    ///< Node that the caller sent it to.
  Instant sent = kNever;
  Instant answered = kNever;
  int status = 0;  ///< Zero if there was no complete answer.
  /// Arrivals at servers that ran it.
  std::vector<Instant> runs;
  std::string server;  ///< Server of the last run.
};

/// Collects the records of one script. Used from one thread.
class Journal {
 public:
  explicit Journal(Instant start) : start_(start) {}

  /// Adds a request that is about to be sent and returns its id.
  std::string OnSend(const std::string& tenant, const std::string& node);
  void OnAnswer(const std::string& id, int status);
  /// Records that `server` runs the request; ignores unknown ids.
  void OnRun(const std::string& id, const std::string& server);

  const std::vector<RequestRecord>& records() const { return records_; }
  /// Returns the seconds from the start of the script to `at`.
  double SecondsAt(Instant at) const;
  /// Writes one line for each request to the file at `path`, after `summary`.
  void Write(const std::string& path, const std::string& summary) const;

 private:
  Instant start_;
  std::vector<RequestRecord> records_;
  std::map<std::string, std::size_t> index_;  ///< Of `records_`, by id.
};

}  // namespace wisteriarill::review

#endif  // WISTERIARILL_REVIEW_STANDIN_JOURNAL_H_
