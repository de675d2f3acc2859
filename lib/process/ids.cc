#include "wisteriarill/process/ids.h"

#include <cinttypes>
#include <cstdio>
#include <random>

namespace wisteriarill {

std::string ToString(const RequestId& id) {
  char text[40];
  std::snprintf(text, sizeof text, "%016" PRIx64 "-%" PRIx64, id.ingress.value,
                id.sequence);
  return text;
}

bool ParseRequestId(const std::string& text, RequestId* id) {
  const std::size_t dash = text.find('-');
  if (dash != 16 || text.size() < 18 || text.size() > 33) return false;
  if (text.find_first_not_of("0123456789abcdef-") != std::string::npos) {
    return false;
  }
  if (text.find('-', dash + 1) != std::string::npos) return false;
  id->ingress.value = std::stoull(text.substr(0, dash), nullptr, 16);
  id->sequence = std::stoull(text.substr(dash + 1), nullptr, 16);
  return true;
}

InstanceId GenerateInstanceId() {
  std::random_device device;
  const std::uint64_t high = device();
  return InstanceId{(high << 32) | device()};
}

}  // namespace wisteriarill
