/// \file
/// Invariants asserted inside the program, in every build.
#ifndef WISTERIARILL_PROCESS_INVARIANT_H_
#define WISTERIARILL_PROCESS_INVARIANT_H_

#include <cstdint>
#include <string_view>

namespace wisteriarill {

/// Checks one invariant. A violation is logged as event=invariant_violation
/// and counted; the process aborts if SetAbortOnViolation(true) was called.
/// Returns `holds`.
bool CheckInvariant(bool holds, std::string_view name,
                    std::string_view detail = {});

/// Returns how many violations this process has seen.
std::uint64_t InvariantViolations();

/// Forgets the violations counted so far; for tests that provoke one.
void ResetInvariantViolations();

/// Chooses whether a violation aborts the process.
void SetAbortOnViolation(bool abort_on_violation);

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_INVARIANT_H_
