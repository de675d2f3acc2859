#include "process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <thread>

namespace wisteriarill::review {
namespace {

constexpr int kLogMode = 0644;
constexpr int kExecFailed = 127;
constexpr milliseconds kPollInterval{5};

[[noreturn]] void RunChild(char* const* arguments, char* const* environment,
                           int log) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  execve(arguments[0], arguments, environment);
  _exit(kExecFailed);
}

}  // namespace

ChildProcess& ChildProcess::operator=(ChildProcess&& other) noexcept {
  if (this != &other) {
    End();
    id_ = std::exchange(other.id_, -1);
  }
  return *this;
}

ChildProcess ChildProcess::Start(const std::vector<std::string>& command,
                                 const std::string& variable,
                                 const std::string& log) {
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (const std::string& word : command) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  char* environment[] = {const_cast<char*>(variable.c_str()), nullptr};
  const int handle =
      open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kLogMode);
  ChildProcess process;
  process.id_ = fork();
  if (process.id_ == 0) RunChild(arguments.data(), environment, handle);
  close(handle);
  return process;
}

void ChildProcess::Signal(int signal) const {
  if (id_ > 0) kill(id_, signal);
}

bool ChildProcess::WaitForEnd(milliseconds timeout) {
  const Instant end = Clock::now() + timeout;
  while (id_ > 0) {
    if (waitpid(id_, nullptr, WNOHANG) == id_) {
      id_ = -1;
      break;
    }
    if (Clock::now() >= end) return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

void ChildProcess::End() {
  if (id_ <= 0) return;
  kill(id_, SIGKILL);
  waitpid(id_, nullptr, 0);
  id_ = -1;
}

}  // namespace wisteriarill::review
