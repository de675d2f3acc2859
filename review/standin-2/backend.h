/// \file
/// Stand-in of a backend server: runs requests and records them.
#ifndef WISTERIARILL_REVIEW_STANDIN_2_BACKEND_H_
#define WISTERIARILL_REVIEW_STANDIN_2_BACKEND_H_

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "http.h"

namespace wisteriarill::review {

/// How a backend server responds.
struct BackendBehavior {
  milliseconds work{50};  ///< Time that a request takes.
  std::size_t response_bytes = 1000;
  /// Each so many-th response ends in its middle, and the connection stays
  /// open. Zero: none does.
  unsigned truncated_every = 0;
};

/// A run of a request.
struct Run {
  std::string instance;
  std::string workspace;
  std::string target;
  Clock::time_point began;
};

/// Thread-safe.
class Backend {
 public:
  Backend(std::string instance, BackendBehavior behavior, Record* record)
      : instance_(std::move(instance)), behavior_(behavior), record_(record) {}

  /// Serves at `address` for ever.
  void Serve(const Address& address);
  const std::string& instance() const { return instance_; }
  /// Returns the run of the request with this id, if it was run here.
  std::optional<Run> FindRun(const std::string& id);
  /// Returns all runs.
  std::vector<Run> Runs();
  /// Responses are truncated from now on, or not any more.
  void SetTruncating(bool truncating) { truncating_ = truncating; }

 private:
  void ServeConnection(Socket socket);
  /// Returns false if the connection has to end.
  bool Handle(int handle, const Message& request);
  bool RunRequest(int handle, const Message& request);
  bool RespondHealth(int handle);

  const std::string instance_;
  const BackendBehavior behavior_;
  Record* record_;
  std::atomic<bool> truncating_{false};
  std::atomic<unsigned> responses_{0};
  std::mutex mutex_;
  std::map<std::string, Run> runs_;
};

}  // namespace wisteriarill::review

#endif  // WISTERIARILL_REVIEW_STANDIN_2_BACKEND_H_
