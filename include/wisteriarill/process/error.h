/// \file
/// Typed errors. Every fallible function returns a Result. Each error names
/// what is wrong and what the operator can do about it.
#ifndef WISTERIARILL_PROCESS_ERROR_H_
#define WISTERIARILL_PROCESS_ERROR_H_

#include <boost/outcome.hpp>
#include <string>
#include <string_view>
#include <utility>

namespace wisteriarill {

/// Category of an error, for callers that handle some categories differently.
enum class ErrorKind {
  kInvalidConfiguration,
  kInvalidRelease,
  kMalformedMessage,
  kUnsupportedFormat,
  kTooLarge,
  kUnavailable,
  kRefused,
  kTimeout,
  kBroken,  ///< The connection or the response ended prematurely.
  kNotFound,
};

/// Returns the stable lower-case name of `kind` for logs and metrics.
std::string_view ToString(ErrorKind kind);

/// An error message and its remedy.
struct Error {
  ErrorKind kind = ErrorKind::kBroken;
  std::string message;  ///< What is wrong; starts in lower case.
  std::string remedy;   ///< What the operator can do about it.

  /// Returns "message; remedy", or only the message if there is no remedy.
  std::string Describe() const;
};

/// A value or an Error. value() and error() do not check which of them is
/// present, so callers must test the Result first.
template <typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::unchecked<T, Error>;

/// Success without a value.
using Status = Result<void>;

/// Returns the success Status.
inline Status OkStatus() { return BOOST_OUTCOME_V2_NAMESPACE::success(); }

/// Returns an Error with the given fields.
inline Error MakeError(ErrorKind kind, std::string message,
                       std::string remedy) {
  return Error{kind, std::move(message), std::move(remedy)};
}

}  // namespace wisteriarill

#endif  // WISTERIARILL_PROCESS_ERROR_H_
