#include "wisteriarill/process/error.h"

namespace wisteriarill {

std::string_view ToString(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kInvalidConfiguration:
      return "invalid_configuration";
    case ErrorKind::kInvalidRelease:
      return "invalid_release";
    case ErrorKind::kMalformedMessage:
      return "malformed_message";
    case ErrorKind::kUnsupportedFormat:
      return "unsupported_format";
    case ErrorKind::kTooLarge:
      return "too_large";
    case ErrorKind::kUnavailable:
      return "unavailable";
    case ErrorKind::kRefused:
      return "refused";
    case ErrorKind::kTimeout:
      return "timeout";
    case ErrorKind::kBroken:
      return "broken";
    case ErrorKind::kNotFound:
      return "not_found";
  }
  return "broken";
}

std::string Error::Describe() const {
  if (remedy.empty()) return message;
  return message + "; " + remedy;
}

}  // namespace wisteriarill
