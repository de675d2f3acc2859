/// \file
/// The calls that run at the local backend server, and the nested calls that
/// they make. Refusing a nested call wastes the work of the call that made it.
/// Nothing in a request says that it is nested where the configuration has no
/// keys that only callers hold.
#ifndef WISTERIARILL_ADMISSION_RUNNING_CALL_TABLE_H_
#define WISTERIARILL_ADMISSION_RUNNING_CALL_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace wisteriarill {

/// A call that runs at the local server.
struct RunningCall {
  std::string id;
  std::int32_t urgency = 0;
};

/// Remembers the calls that run at the local server. A request is taken for a
/// nested call of one of them if its id is that call's id with an appended
/// part. A server whose nested calls have unrelated ids is served as if they
/// came from callers; a caller can't be mistaken for the server, because it
/// doesn't know the ids of other callers' requests. Does no I/O, and is used
/// from one thread.
class RunningCallTable {
 public:
  void OnStarted(const std::string& id, std::int32_t urgency);
  /// Removes one call with this id.
  void OnEnded(const std::string& id);
  /// Returns the running call that makes the request with id `nested_id`, or
  /// null.
  const RunningCall* FindParent(std::string_view nested_id) const;

 private:
  /// Shorter ids may be counters, which callers' ids could begin with, too.
  static constexpr std::size_t kMinParentIdLength = 8;

  /// By id. There are several calls of one id while attempts overlap.
  std::multimap<std::string, RunningCall> calls_;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_ADMISSION_RUNNING_CALL_TABLE_H_
