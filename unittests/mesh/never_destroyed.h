/// \file
/// Objects of tests that live until the test program ends.
#ifndef WISTERIARILL_UNITTESTS_MESH_NEVER_DESTROYED_H_
#define WISTERIARILL_UNITTESTS_MESH_NEVER_DESTROYED_H_

#include <memory>
#include <utility>
#include <vector>

namespace wisteriarill {

/// Makes an object that is never destroyed: handlers that wait in an event
/// loop refer to it, and neither can go first.
template <typename T, typename... Arguments>
T* MakeNeverDestroyed(Arguments&&... arguments) {
  static auto* const kKept = new std::vector<std::unique_ptr<T>>();
  kKept->push_back(std::make_unique<T>(std::forward<Arguments>(arguments)...));
  return kKept->back().get();
}

}  // namespace wisteriarill

#endif  // WISTERIARILL_UNITTESTS_MESH_NEVER_DESTROYED_H_
