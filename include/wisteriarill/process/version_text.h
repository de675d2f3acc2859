/// \file
/// The version of the programs.
#ifndef WISTERIARILL_PROCESS_VERSION_TEXT_H_
#define WISTERIARILL_PROCESS_VERSION_TEXT_H_

namespace wisteriarill {

/// What --version prints after a program's name.
inline constexpr const char* kVersionText = "0.1.0";

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_VERSION_TEXT_H_
