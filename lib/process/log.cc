#include "wisteriarill/process/log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

#include "wisteriarill/process/log_limiter.h"

namespace wisteriarill {
namespace {

/// Lines that wait to be written, at most.
constexpr std::size_t kQueuedLines = 512;
/// Lines of one event that are written in a second, at most.
constexpr std::uint32_t kLinesPerSecond = 200;
/// Time for the last lines of a process to be written.
constexpr milliseconds kLastLines{100};
constexpr milliseconds kFinishPause{5};

spdlog::level::level_enum ToSpdlog(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarning:
      return spdlog::level::warn;
    case LogLevel::kError:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

void Install(std::shared_ptr<spdlog::logger> logger, LogLevel least) {
  logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l node=%n %v",
                      spdlog::pattern_time_type::utc);
  logger->set_level(ToSpdlog(least));
  spdlog::set_default_logger(std::move(logger));
}

// What all threads of a process share. It outlives them.
struct LineBooks {
  std::mutex mutex;
  std::optional<LogLimiter> limiter;  ///< Of a daemon.
  std::size_t lost = 0;               ///< Lines lost so far.
};

LineBooks& Books() {
  static auto* const kBooks = new LineBooks;
  return *kBooks;
}

bool MayWrite(std::string_view event) {
  LineBooks& books = Books();
  const std::lock_guard lock(books.mutex);
  return !books.limiter || books.limiter->Allow(event, BootClock::now());
}

std::map<std::string, std::uint64_t> TakeLeftOut() {
  LineBooks& books = Books();
  const std::lock_guard lock(books.mutex);
  if (!books.limiter) return {};
  return books.limiter->TakeLeftOut();
}

// Returns how many lines the queue lost since the last call.
std::size_t TakeLost() {
  const auto pool = spdlog::thread_pool();
  if (pool == nullptr) return 0;
  LineBooks& books = Books();
  const std::lock_guard lock(books.mutex);
  const std::size_t lost = pool->overrun_counter();
  return lost - std::exchange(books.lost, lost);
}

}  // namespace

void InitializeLog(std::string_view name, LogLevel least) {
  Books().limiter.emplace(kLinesPerSecond);
  spdlog::init_thread_pool(kQueuedLines, 1);
  auto sink = std::make_shared<spdlog::sinks::stdout_sink_mt>();
  Install(std::make_shared<spdlog::async_logger>(
              std::string(name), std::move(sink), spdlog::thread_pool(),
              spdlog::async_overflow_policy::overrun_oldest),
          least);
}

void InitializeToolLog(std::string_view name, LogLevel least) {
  Install(spdlog::stderr_logger_mt(std::string(name)), least);
}

void ReportLostLogLines() {
  for (const auto& [event, lines] : TakeLeftOut()) {
    LogEvent(LogLevel::kWarning, "log_lines_left_out")
        .With("of", event)
        .With("lines", lines);
  }
  const std::size_t lost = TakeLost();
  if (lost == 0) return;
  LogEvent(LogLevel::kWarning, "log_lines_lost").With("lines", lost);
}

void FlushLogAndExit(int code) {
  const auto pool = spdlog::thread_pool();
  const Instant until = BootClock::now() + kLastLines;
  while (pool != nullptr && pool->queue_size() > 0 &&
         BootClock::now() < until) {
    std::this_thread::sleep_for(kFinishPause);
  }
  // The last line is off the queue a moment before it is written.
  std::this_thread::sleep_for(kFinishPause);
  std::quick_exit(code);
}

std::string QuoteLogValue(std::string_view value) {
  const bool plain =
      !value.empty() && value.find_first_of(" \"\\=\n\r\t") == value.npos;
  if (plain) return std::string(value);
  std::string quoted = "\"";
  for (const char c : value) {
    const bool control = static_cast<unsigned char>(c) < 0x20;
    if (c == '"' || c == '\\') quoted += '\\';
    quoted += control ? ' ' : c;
  }
  return quoted + '"';
}

LogEvent::LogEvent(LogLevel level, std::string_view event)
    : level_(level), written_(MayWrite(event)) {
  if (written_) line_.append("event=").append(event);
}

LogEvent::~LogEvent() {
  if (!written_) return;
  spdlog::default_logger_raw()->log(ToSpdlog(level_), "{}", line_);
}

LogEvent& LogEvent::With(std::string_view key, std::string_view value) {
  if (!written_) return *this;
  line_ += ' ';
  line_ += key;
  line_ += '=';
  line_ += QuoteLogValue(value);
  return *this;
}

LogEvent& LogEvent::With(const Error& error) {
  With("kind", ToString(error.kind)).With("message", error.message);
  if (!error.remedy.empty()) With("remedy", error.remedy);
  return *this;
}

}  // namespace wisteriarill
