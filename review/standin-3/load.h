/// \file
/// Clients that send requests at fixed intervals.
#ifndef WISTERIARILL_REVIEW_STANDIN_3_LOAD_H_
#define WISTERIARILL_REVIEW_STANDIN_3_LOAD_H_

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "caller.h"
#include "case_main.h"

namespace wisteriarill::review {

/// One attempt of a client, and the machine that it was sent from.
struct Attempt {
  CallResult result;
  const Machine* machine = nullptr;
  std::string key;  ///< API key; may be empty.
};

/// Runs clients, each with one kept connection, and keeps their attempts. A
/// client pauses while the platform keeps clients away from its machine.
class Load {
 public:
  Load(Case* test, milliseconds interval) : test_(test), interval_(interval) {}

  /// Starts `clients` clients on a machine, spread over the interval. Each
  /// sends `request` again and again, with a new id each time.
  void Start(const Machine* machine, int clients, const CallRequest& request);
  /// Starts `clients` clients on every machine.
  void StartEverywhere(int clients, const CallRequest& request);
  /// Waits until all clients have ended.
  void Stop();
  /// Returns the attempts by id. Call after Stop.
  const std::map<std::string, Attempt>& attempts() const { return attempts_; }
  /// Returns the attempt of a run. Call after Stop.
  const Attempt& AttemptOf(const Run& run) const {
    return attempts_.at(run.id);
  }

 private:
  void RunClient(const Machine* machine, milliseconds delay,
                 CallRequest request);
  void Keep(CallResult result, const Machine* machine, const std::string& key);

  Case* test_;
  milliseconds interval_;
  std::atomic<bool> stopped_{false};
  std::atomic<int> last_id_{0};
  std::vector<std::thread> threads_;
  std::mutex mutex_;
  std::map<std::string, Attempt> attempts_;
};

}  // namespace wisteriarill::review

#endif  // WISTERIARILL_REVIEW_STANDIN_3_LOAD_H_
