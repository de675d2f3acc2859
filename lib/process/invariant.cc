#include "wisteriarill/process/invariant.h"

#include <atomic>
#include <cstdlib>

#include "wisteriarill/process/log.h"

namespace wisteriarill {
namespace {

std::atomic<std::uint64_t> violations{0};
std::atomic<bool> abort_on_violation_flag{false};

}  // namespace

bool CheckInvariant(bool holds, std::string_view name,
                    std::string_view detail) {
  if (holds) return true;
  violations.fetch_add(1);
  LogEvent(LogLevel::kError, "invariant_violation")
      .With("name", name)
      .With("detail", detail);
  if (abort_on_violation_flag.load()) std::abort();
  return false;
}

std::uint64_t InvariantViolations() { return violations.load(); }

void ResetInvariantViolations() { violations.store(0); }

void SetAbortOnViolation(bool abort_on_violation) {
  abort_on_violation_flag.store(abort_on_violation);
}

}  // namespace wisteriarill
