/// \file
/// Coroutines and timers of Boost.Asio, under the names used in this project.
#ifndef WISTERIARILL_MESH_ASYNC_H_
#define WISTERIARILL_MESH_ASYNC_H_

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

/// Suspends the calling coroutine for `delay`.
inline Task<void> SleepFor(nanoseconds delay) {
  asio::steady_timer timer(co_await asio::this_coro::executor, delay);
  error_code error;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
}

}  // namespace wisteriarill

#endif  // WISTERIARILL_MESH_ASYNC_H_
