/// \file
/// Typed errors. Every fallible function returns Result; a message says what
/// is wrong and what the reader can do about it.
#ifndef WISTERIARILL_PROCESS_ERROR_H_
#define WISTERIARILL_PROCESS_ERROR_H_

#include <boost/outcome.hpp>
#include <string>
#include <string_view>
#include <utility>

namespace wisteriarill {

/// What went wrong, for callers that decide by it.
enum class ErrorKind {
  kInvalidConfiguration,
  kInvalidRelease,
  kMalformedMessage,
  kUnsupportedFormat,
  kTooLarge,
  kUnavailable,
  kRefused,
  kTimeout,
  kBroken,
  kNotFound,
};

/// Returns the stable lower-case name of `kind`, as logs and metrics print it.
std::string_view ToString(ErrorKind kind);

/// An error with its remedy.
struct Error {
  ErrorKind kind = ErrorKind::kBroken;
  std::string message;  ///< What is wrong, lower case.
  std::string remedy;   ///< What to do about it.

  /// Returns "message; remedy" for logs and terminals.
  std::string Describe() const;
};

/// A value or an Error. value() and error() are unchecked: test first.
template <typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::unchecked<T, Error>;

/// Success without a value.
using Status = Result<void>;

/// Returns the success Status.
inline Status OkStatus() { return BOOST_OUTCOME_V2_NAMESPACE::success(); }

/// Builds an Error in one expression.
inline Error MakeError(ErrorKind kind, std::string message,
                       std::string remedy) {
  return Error{kind, std::move(message), std::move(remedy)};
}

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_ERROR_H_
