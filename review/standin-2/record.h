/// \file
/// The record of a trial: what was sent, answered and run, with times.
#ifndef WISTERIARILL_REVIEW_STANDIN_2_RECORD_H_
#define WISTERIARILL_REVIEW_STANDIN_2_RECORD_H_

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace wisteriarill::review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Writes one line for each event, with the milliseconds since the start.
/// Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}

  void Write(const std::string& line) {
    const std::lock_guard lock(mutex_);
    file_ << Elapsed().count() << " ms " << line << std::endl;
  }
  milliseconds Elapsed() const {
    return std::chrono::duration_cast<milliseconds>(Clock::now() - start_);
  }

 private:
  const Clock::time_point start_ = Clock::now();
  std::mutex mutex_;
  std::ofstream file_;
};

}  // namespace wisteriarill::review

#endif  // WISTERIARILL_REVIEW_STANDIN_2_RECORD_H_
