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

/// Maximum number of log lines that wait to be written.
constexpr std::size_t kMaxQueuedLines = 512;
/// Maximum number of lines of one event that are written in a second.
constexpr std::uint32_t kMaxLinesPerEventPerSecond = 200;
/// How long an exiting process waits for its queued lines to be written.
constexpr milliseconds kFinalFlushTimeout{100};
constexpr milliseconds kFinalFlushPollInterval{5};

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

void InstallLogger(std::shared_ptr<spdlog::logger> logger, LogLevel min_level) {
  logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l node=%n %v",
                      spdlog::pattern_time_type::utc);
  logger->set_level(ToSpdlog(min_level));
  spdlog::set_default_logger(std::move(logger));
}

// Log state that all threads share. It is never destroyed, because threads may
// still log while the process exits.
struct LogState {
  std::mutex mutex;
  std::optional<LogLimiter> limiter;  ///< Set in daemons only.
  std::size_t lost_lines = 0;         ///< Lines reported as lost.
};

LogState& GlobalLogState() {
  static auto* const kState = new LogState;
  return *kState;
}

bool ShouldWrite(std::string_view event) {
  LogState& state = GlobalLogState();
  const std::lock_guard lock(state.mutex);
  return !state.limiter || state.limiter->Allow(event, BootClock::now());
}

std::map<std::string, std::uint64_t> TakeSuppressed() {
  LogState& state = GlobalLogState();
  const std::lock_guard lock(state.mutex);
  if (!state.limiter) return {};
  return state.limiter->TakeSuppressed();
}

// Returns how many lines the full queue dropped since the last call.
std::size_t TakeLostLineCount() {
  const auto pool = spdlog::thread_pool();
  if (pool == nullptr) return 0;
  LogState& state = GlobalLogState();
  const std::lock_guard lock(state.mutex);
  const std::size_t lost = pool->overrun_counter();
  return lost - std::exchange(state.lost_lines, lost);
}

}  // namespace

void InitializeLog(std::string_view name, LogLevel min_level) {
  GlobalLogState().limiter.emplace(kMaxLinesPerEventPerSecond);
  spdlog::init_thread_pool(kMaxQueuedLines, 1);
  auto sink = std::make_shared<spdlog::sinks::stdout_sink_mt>();
  InstallLogger(std::make_shared<spdlog::async_logger>(
                    std::string(name), std::move(sink), spdlog::thread_pool(),
                    spdlog::async_overflow_policy::overrun_oldest),
                min_level);
}

void InitializeToolLog(std::string_view name, LogLevel min_level) {
  InstallLogger(spdlog::stderr_logger_mt(std::string(name)), min_level);
}

void ReportLostLogLines() {
  for (const auto& [event, lines] : TakeSuppressed()) {
    LogEvent(LogLevel::kWarning, "log_lines_left_out")
        .With("of", event)
        .With("lines", lines);
  }
  const std::size_t lost = TakeLostLineCount();
  if (lost == 0) return;
  LogEvent(LogLevel::kWarning, "log_lines_lost").With("lines", lost);
}

void FlushLogAndExit(int code) {
  const auto pool = spdlog::thread_pool();
  const Instant deadline = BootClock::now() + kFinalFlushTimeout;
  while (pool != nullptr && pool->queue_size() > 0 &&
         BootClock::now() < deadline) {
    std::this_thread::sleep_for(kFinalFlushPollInterval);
  }
  // The last line leaves the queue shortly before it is written.
  std::this_thread::sleep_for(kFinalFlushPollInterval);
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
    : level_(level), enabled_(ShouldWrite(event)) {
  if (enabled_) line_.append("event=").append(event);
}

LogEvent::~LogEvent() {
  if (!enabled_) return;
  spdlog::default_logger_raw()->log(ToSpdlog(level_), "{}", line_);
}

LogEvent& LogEvent::With(std::string_view key, std::string_view value) {
  if (!enabled_) return *this;
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
