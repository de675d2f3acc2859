/// \file
/// Coroutines and timers of Boost.Asio, under the names used in this project.
#ifndef WISTERIARILL_MESH_ASYNC_H_
#define WISTERIARILL_MESH_ASYNC_H_

#include <algorithm>
#include <functional>
#include <string>
#include <utility>  // Boost.Asio 1.74 uses std::exchange without it.

// clang-format off
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
// clang-format on

#include "wisteriarill/process/time.h"

namespace wisteriarill {

namespace asio = boost::asio;
using boost::system::error_code;

/// A coroutine that runs on an event loop and returns a `T`.
template <typename T>
using Task = asio::awaitable<T>;

/// Returns the time from now to `deadline`, at least one millisecond.
inline nanoseconds RemainingTime(Instant deadline) {
  return std::max<nanoseconds>(deadline - BootClock::now(), milliseconds(1));
}

/// Suspends the calling coroutine for `delay`.
inline Task<void> SleepFor(nanoseconds delay) {
  asio::steady_timer timer(co_await asio::this_coro::executor, delay);
  error_code error;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
}

/// Starts a task on `loop`. `make_task` lives as long as the task, so objects
/// that it captures do, too. An exception that ends the task is logged under
/// `name`.
void SpawnTask(asio::io_context* loop, std::string name,
               std::function<Task<void>()> make_task);

/// Starts a task that runs as long as the process. If an exception ends it, it
/// is logged under `name`, and `make_task` is called again after a pause.
void SpawnService(asio::io_context* loop, std::string name,
                  std::function<Task<void>()> make_task);

/// Runs `loop` until it is stopped. An exception from one of its handlers is
/// logged and does not end the process.
void RunLoop(asio::io_context* loop);

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_ASYNC_H_
