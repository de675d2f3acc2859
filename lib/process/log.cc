#include "wisteriarill/process/log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <memory>

namespace wisteriarill {
namespace {

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

}  // namespace

void InitializeLog(std::string_view role, LogLevel least) {
  auto logger = spdlog::stderr_logger_mt(std::string(role));
  logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l role=%n %v",
                      spdlog::pattern_time_type::utc);
  logger->set_level(ToSpdlog(least));
  spdlog::set_default_logger(std::move(logger));
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
    : level_(level), line_("event=") {
  line_ += event;
}

LogEvent::~LogEvent() {
  spdlog::default_logger_raw()->log(ToSpdlog(level_), "{}", line_);
}

LogEvent& LogEvent::With(std::string_view key, std::string_view value) {
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
