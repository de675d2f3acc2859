/// \file
/// The version of the programs in this repository.
#ifndef WISTERIARILL_PROCESS_VERSION_TEXT_H_
#define WISTERIARILL_PROCESS_VERSION_TEXT_H_

namespace wisteriarill {

/// The version that --version prints after the program's name.
inline constexpr const char* kVersionText = "0.1.0";

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_VERSION_TEXT_H_
