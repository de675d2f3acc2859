/// \file
/// The record of a case: what was sent, answered and done.
#ifndef WISTERIARILL_REVIEW_STANDIN_3_RECORD_H_
#define WISTERIARILL_REVIEW_STANDIN_3_RECORD_H_

#include <fstream>
#include <iostream>
#include <mutex>
#include <string>

#include "net.h"

namespace wisteriarill::review {

/// Writes lines with the time since its creation.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}

  milliseconds Since(Instant time) const {
    return std::chrono::duration_cast<milliseconds>(time - began_);
  }
  void Add(const std::string& line) { AddAt(Clock::now(), line); }
  void AddAt(Instant time, const std::string& line) {
    const std::lock_guard lock(mutex_);
    file_ << Since(time).count() << " ms " << line << '\n';
  }
  void Flush() {
    const std::lock_guard lock(mutex_);
    file_.flush();
  }
  /// Adds a line and prints it.
  void Say(const std::string& line) {
    Add(line);
    std::cout << line << std::endl;
  }

 private:
  const Instant began_ = Clock::now();
  std::mutex mutex_;
  std::ofstream file_;
};

}  // namespace wisteriarill::review

#endif  // WISTERIARILL_REVIEW_STANDIN_3_RECORD_H_
