/// \file
/// Recognizes calls that the local backend server makes while it runs another
/// call. Refusing one wastes the work of the call that made it, so they are
/// admitted before callers' requests. Nothing in a request says so where the
/// configuration has no keys that only callers hold.
#ifndef WISTERIARILL_ADMISSION_NESTED_CALL_DETECTOR_H_
#define WISTERIARILL_ADMISSION_NESTED_CALL_DETECTOR_H_

#include <set>
#include <string>
#include <string_view>

namespace wisteriarill {

/// Remembers the ids of the calls that run at the local server. A request is
/// taken for a nested call of one of them if its id is that call's id with an
/// appended part. A server whose nested calls have unrelated ids is served as
/// if they came from callers; a caller can't be mistaken for the server,
/// because it doesn't know the ids that other callers' requests have. Does no
/// I/O, and is used from one thread.
class NestedCallDetector {
 public:
  void OnCallStarted(const std::string& id) { running_ids_.insert(id); }
  void OnCallEnded(const std::string& id);
  /// Returns whether the request with this id is made by a running call.
  bool IsNested(std::string_view id) const;

 private:
  /// Shorter ids may be counters, which callers' ids could begin with, too.
  static constexpr std::size_t kMinParentIdLength = 8;

  std::multiset<std::string, std::less<>> running_ids_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_ADMISSION_NESTED_CALL_DETECTOR_H_
