/// \file
/// Child processes of tests and experiments.
#ifndef WISTERIARILL_STANDIN_CHILD_PROCESS_H_
#define WISTERIARILL_STANDIN_CHILD_PROCESS_H_

#include <sys/types.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "wisteriarill/process/call_trace.h"
#include "wisteriarill/process/error.h"
#include "wisteriarill/process/time.h"

namespace wisteriarill {

/// A child process, killed when this object is destroyed. Signals are sent to
/// its process id only, never to a process group.
class ChildProcess {
 public:
  /// Starts `command` with its standard output and standard error redirected
  /// to the file `log_path`.
  static Result<ChildProcess> Start(const std::vector<std::string>& command,
                                    const std::string& log_path);
  ~ChildProcess();
  ChildProcess(ChildProcess&& other) noexcept;
  ChildProcess& operator=(ChildProcess&& other) noexcept;

  pid_t pid() const { return pid_; }
  /// Waits up to `timeout` for a log line with event=`event` and returns its
  /// fields.
  std::optional<std::map<std::string, std::string>> WaitForEvent(
      const std::string& event, nanoseconds timeout) const;
  /// Sends `signal`; does nothing once the process has been reaped.
  void Signal(int signal) const;
  /// Kills and reaps the process; does nothing if it was reaped before.
  void Kill();
  /// Waits up to `timeout` for the process to exit and reaps it. Returns its
  /// exit status, -1 if a signal ended it, nothing on a timeout.
  std::optional<int> WaitForExit(nanoseconds timeout);

 private:
  ChildProcess(pid_t pid, std::string log_path);

  pid_t pid_ = -1;
  std::string log_path_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_STANDIN_CHILD_PROCESS_H_
