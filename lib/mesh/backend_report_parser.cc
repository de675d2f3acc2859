#include "wisteriarill/mesh/backend_report_parser.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace wisteriarill {
namespace {

/// Running, waiting, slots; then follows how long work takes, in percent.
constexpr int kFiguresBeforeWorkTime = 3;
constexpr double kPercent = 100;
/// Maximum of the time for which a response may say that a server is cold.
constexpr std::uint64_t kMaxColdMs = 600'000;
/// Requests per second from which a limit counts as none.
constexpr double kMaxRateLimit = 1e6;
constexpr std::string_view kLeavingValue = "1";

std::optional<double> ParseWorkFactor(std::string_view load) {
  for (int i = 0; i < kFiguresBeforeWorkTime; ++i) {
    const std::size_t comma = load.find(',');
    if (comma == std::string_view::npos) return std::nullopt;
    load.remove_prefix(comma + 1);
  }
  const auto percent = ParseDecimal(load);
  if (!percent) return std::nullopt;
  return static_cast<double>(*percent) / kPercent;
}

bool IsPlainDecimal(std::string_view text) {
  const auto is_part = [](char c) {
    return c == '.' || (c >= '0' && c <= '9');
  };
  return !text.empty() && text.front() != '.' &&
         std::all_of(text.begin(), text.end(), is_part);
}

/// Reads a number of requests per second into `report`.
void ParseRateLimit(std::string_view text, BackendReport* report) {
  double rate = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] =
      std::from_chars(text.data(), end, rate, std::chars_format::fixed);
  const bool too_large = error == std::errc::result_out_of_range;
  const bool readable = error == std::errc() || too_large;
  if (!IsPlainDecimal(text) || !readable || rest != end) {
    report->malformed_rate_limit = true;
    return;
  }
  if (!too_large && rate < kMaxRateLimit) report->rate_limit = rate;
}

}  // namespace

BackendReport ParseBackendReport(const HttpFields& fields,
                                 const PlatformFieldNames& field_names) {
  BackendReport report;
  std::size_t limits = 0;
  for (const HttpField& field : fields) {
    if (EqualFieldNames(field.name, field_names.rate_limit)) {
      ++limits;
      ParseRateLimit(field.value, &report);
    } else if (EqualFieldNames(field.name, field_names.leaving)) {
      report.leaving = report.leaving || field.value == kLeavingValue;
    } else if (EqualFieldNames(field.name, field_names.load)) {
      report.work_factor = ParseWorkFactor(field.value);
    } else if (EqualFieldNames(field.name, field_names.cold_remaining)) {
      const auto cold = ParseDecimal(field.value);
      report.cold_remaining =
          milliseconds(std::min(cold.value_or(0), kMaxColdMs));
    }
  }
  if (limits > 1) report.malformed_rate_limit = true;
  if (report.malformed_rate_limit) report.rate_limit.reset();
  return report;
}

}  // namespace wisteriarill
