#include "wisteriarill/standin/child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <csignal>
#include <fstream>
#include <thread>
#include <utility>

namespace wisteriarill {
namespace {

constexpr nanoseconds kPollInterval = milliseconds(10);

// Unblocks all signals in the child: it would otherwise inherit the mask of the
// parent, which may block SIGTERM and SIGINT for sigwait.
void UnblockSignals(posix_spawnattr_t* attributes) {
  sigset_t none;
  sigemptyset(&none);
  posix_spawnattr_setsigmask(attributes, &none);
  posix_spawnattr_setflags(attributes, POSIX_SPAWN_SETSIGMASK);
}

}  // namespace

Result<ChildProcess> ChildProcess::Start(
    const std::vector<std::string>& command, const std::string& log_path) {
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (const std::string& argument : command) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, STDERR_FILENO, log_path.c_str(),
                                   O_WRONLY | O_CREAT | O_TRUNC, 0644);
  posix_spawn_file_actions_adddup2(&files, STDERR_FILENO, STDOUT_FILENO);
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  UnblockSignals(&attributes);
  pid_t pid = -1;
  const int code = posix_spawn(&pid, arguments[0], &files, &attributes,
                               arguments.data(), environ);
  posix_spawn_file_actions_destroy(&files);
  posix_spawnattr_destroy(&attributes);
  if (code != 0) {
    return MakeError(ErrorKind::kUnavailable, "cannot start " + command.front(),
                     "build the programs first");
  }
  return ChildProcess(pid, log_path);
}

ChildProcess::ChildProcess(pid_t pid, std::string log_path)
    : pid_(pid), log_path_(std::move(log_path)) {}

ChildProcess::ChildProcess(ChildProcess&& other) noexcept
    : pid_(std::exchange(other.pid_, -1)),
      log_path_(std::move(other.log_path_)) {}

ChildProcess& ChildProcess::operator=(ChildProcess&& other) noexcept {
  if (this != &other) {
    Kill();
    pid_ = std::exchange(other.pid_, -1);
    log_path_ = std::move(other.log_path_);
  }
  return *this;
}

ChildProcess::~ChildProcess() { Kill(); }

std::optional<std::map<std::string, std::string>> ChildProcess::WaitForEvent(
    const std::string& event, nanoseconds timeout) const {
  const Instant end = BootClock::now() + timeout;
  while (BootClock::now() < end) {
    std::ifstream log(log_path_);
    std::string line;
    while (std::getline(log, line)) {
      auto fields = ParseLogLine(line);
      if (fields["event"] == event) return fields;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return std::nullopt;
}

void ChildProcess::Signal(int signal) const {
  if (pid_ > 0) kill(pid_, signal);
}

void ChildProcess::Kill() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  int status = 0;
  waitpid(pid_, &status, 0);
  pid_ = -1;
}

std::optional<int> ChildProcess::WaitForExit(nanoseconds timeout) {
  const Instant end = BootClock::now() + timeout;
  while (pid_ > 0 && BootClock::now() < end) {
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == pid_) {
      pid_ = -1;
      return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return std::nullopt;
}

}  // namespace wisteriarill
