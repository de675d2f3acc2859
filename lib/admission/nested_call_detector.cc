#include "wisteriarill/admission/nested_call_detector.h"

#include <algorithm>
#include <cctype>

namespace wisteriarill {

void NestedCallDetector::OnCallEnded(const std::string& id) {
  const auto found = running_ids_.find(id);
  if (found != running_ids_.end()) running_ids_.erase(found);
}

bool NestedCallDetector::IsNested(std::string_view id) const {
  return std::any_of(
      running_ids_.begin(), running_ids_.end(),
      [id](const std::string& parent) {
        if (parent.size() < kMinParentIdLength) return false;
        if (id.size() <= parent.size() || !id.starts_with(parent)) return false;
        const auto separator = static_cast<unsigned char>(id[parent.size()]);
        return std::isalnum(separator) == 0;
      });
}

}  // namespace wisteriarill
