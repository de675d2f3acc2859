/// \file
/// A process that a test or an experiment started.
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

/// Ends with its owner. Signals go to this process only, by its id.
class ChildProcess {
 public:
  /// Starts `command`; its standard error goes to `log_path`.
  static Result<ChildProcess> Start(const std::vector<std::string>& command,
                                    const std::string& log_path);
  ~ChildProcess();
  ChildProcess(ChildProcess&& other) noexcept;
  ChildProcess& operator=(ChildProcess&& other) noexcept;

  pid_t pid() const { return pid_; }
  /// Waits for the log line event=`event` and returns its fields.
  std::optional<std::map<std::string, std::string>> WaitForEvent(
      const std::string& event, nanoseconds timeout) const;
  void Signal(int signal) const;
  /// Kills and reaps; does nothing if it ended before.
  void Kill();
  /// Waits for the end; returns the exit status, nothing on a time-out.
  std::optional<int> WaitForExit(nanoseconds timeout);

 private:
  ChildProcess(pid_t pid, std::string log_path);

  pid_t pid_ = -1;
  std::string log_path_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_STANDIN_CHILD_PROCESS_H_
