#include "wisteriarill/admission/running_call_table.h"

#include <algorithm>
#include <cctype>

namespace wisteriarill {

void RunningCallTable::OnStarted(const std::string& id, std::int32_t urgency) {
  calls_.emplace(id, RunningCall{id, urgency});
}

void RunningCallTable::OnEnded(const std::string& id) {
  const auto found = calls_.find(id);
  if (found != calls_.end()) calls_.erase(found);
}

const RunningCall* RunningCallTable::FindParent(
    std::string_view nested_id) const {
  const auto found =
      std::find_if(calls_.begin(), calls_.end(), [nested_id](const auto& item) {
        const std::string& parent = item.first;
        if (parent.size() < kMinParentIdLength) return false;
        if (nested_id.size() <= parent.size()) return false;
        if (!nested_id.starts_with(parent)) return false;
        const auto separator =
            static_cast<unsigned char>(nested_id[parent.size()]);
        return std::isalnum(separator) == 0;
      });
  return found == calls_.end() ? nullptr : &found->second;
}

}  // namespace wisteriarill
