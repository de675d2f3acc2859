#include "wisteriarill/mesh/async.h"

#include <exception>

#include "wisteriarill/process/log.h"

namespace wisteriarill {
namespace {

/// Pause before a service that an exception ended is started again. It bounds
/// the cost of one that fails each time.
constexpr milliseconds kRestartDelay{100};

void LogFailure(const std::string& name, const char* what) {
  LogEvent(LogLevel::kError, "task_failed")
      .With("task", name)
      .With("error", what);
}

Task<void> RunOnce(std::string name, std::function<Task<void>()> make_task) {
  try {
    co_await make_task();
  } catch (const std::exception& error) {
    LogFailure(name, error.what());
  }
}

Task<void> RunAgainAfterFailures(std::string name,
                                 std::function<Task<void>()> make_task) {
  for (;;) {
    bool failed = false;
    try {
      co_await make_task();
    } catch (const std::exception& error) {
      failed = true;
      LogFailure(name, error.what());
    }
    if (!failed) co_return;
    co_await SleepFor(kRestartDelay);
  }
}

}  // namespace

void SpawnTask(asio::io_context* loop, std::string name,
               std::function<Task<void>()> make_task) {
  asio::co_spawn(*loop, RunOnce(std::move(name), std::move(make_task)),
                 asio::detached);
}

void SpawnService(asio::io_context* loop, std::string name,
                  std::function<Task<void>()> make_task) {
  asio::co_spawn(*loop,
                 RunAgainAfterFailures(std::move(name), std::move(make_task)),
                 asio::detached);
}

void RunLoop(asio::io_context* loop) {
  for (;;) {
    try {
      loop->run();
      return;
    } catch (const std::exception& error) {
      LogFailure("event-loop", error.what());
    }
  }
}

}  // namespace wisteriarill
