/// \file
/// Run-time invariant checks, enabled in every build type.
#ifndef WISTERIARILL_PROCESS_INVARIANT_H_
#define WISTERIARILL_PROCESS_INVARIANT_H_

#include <cstdint>
#include <string_view>

namespace wisteriarill {

/// Checks the invariant `name`, which is satisfied if `holds`. A violation is
/// counted and logged as event=invariant_violation, and aborts the process if
/// SetAbortOnViolation(true) was called. Returns `holds`.
bool CheckInvariant(bool holds, std::string_view name,
                    std::string_view detail = {});

/// Returns how many violations this process has detected.
std::uint64_t InvariantViolations();

/// Resets the violation count; for tests that cause a violation on purpose.
void ResetInvariantViolations();

/// Sets whether a violation aborts the process.
void SetAbortOnViolation(bool abort_on_violation);

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_INVARIANT_H_
