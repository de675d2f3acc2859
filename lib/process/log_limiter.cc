#include "wisteriarill/process/log_limiter.h"

namespace wisteriarill {

bool LogLimiter::Allow(std::string_view event, Instant now) {
  auto found = books_.find(event);
  if (found == books_.end()) {
    found = books_.emplace(std::string(event), Book()).first;
  }
  Book& book = found->second;
  if (book.second_began == kNever || now >= book.second_began + seconds(1)) {
    book.second_began = now;
    book.written = 0;
  }
  if (book.written >= lines_per_second_) {
    ++book.left_out;
    return false;
  }
  ++book.written;
  return true;
}

std::map<std::string, std::uint64_t> LogLimiter::TakeLeftOut() {
  std::map<std::string, std::uint64_t> taken;
  for (auto& [event, book] : books_) {
    if (book.left_out == 0) continue;
    taken.emplace(event, book.left_out);
    book.left_out = 0;
  }
  return taken;
}

}  // namespace wisteriarill
