/// \file
/// Child processes of a case, ended with it.
#ifndef WISTERIARILL_REVIEW_STANDIN_3_PROCESS_H_
#define WISTERIARILL_REVIEW_STANDIN_3_PROCESS_H_

#include <sys/types.h>

#include <string>
#include <vector>

#include "net.h"

namespace wisteriarill::review {

/// A child process. It is killed when this object is destroyed, and when the
/// program that started it ends.
class ChildProcess {
 public:
  ChildProcess() = default;
  ChildProcess(ChildProcess&& other) noexcept
      : id_(std::exchange(other.id_, -1)) {}
  ChildProcess& operator=(ChildProcess&& other) noexcept;
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;
  ~ChildProcess() { End(); }

  /// Starts `command` with one more environment variable, "NAME=VALUE", and
  /// appends its output to `log`.
  static ChildProcess Start(const std::vector<std::string>& command,
                            const std::string& variable,
                            const std::string& log);
  void Signal(int signal) const;
  /// Waits up to `timeout` for the process to end; returns whether it did.
  bool WaitForEnd(milliseconds timeout);
  /// Kills the process if it still runs.
  void End();

 private:
  pid_t id_ = -1;
};

}  // namespace wisteriarill::review

#endif  // WISTERIARILL_REVIEW_STANDIN_3_PROCESS_H_
