/// \file
/// Test objects that live until the test program ends.
#ifndef WISTERIARILL_UNITTESTS_MESH_NEVER_DESTROYED_H_
#define WISTERIARILL_UNITTESTS_MESH_NEVER_DESTROYED_H_

#include <memory>
#include <utility>
#include <vector>

namespace wisteriarill {

/// Creates an object that is never destroyed, for objects that pending handlers
/// of an event loop refer to: neither the loop nor the object can safely be
/// destroyed first. The object stays reachable, so leak checkers accept it.
template <typename T, typename... Arguments>
T* MakeNeverDestroyed(Arguments&&... arguments) {
  static auto* const kObjects = new std::vector<std::unique_ptr<T>>();
  kObjects->push_back(
      std::make_unique<T>(std::forward<Arguments>(arguments)...));
  return kObjects->back().get();
}

}  // namespace wisteriarill

#endif  // WISTERIARILL_UNITTESTS_MESH_NEVER_DESTROYED_H_
