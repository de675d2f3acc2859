#include "wisteriarill/standin/platform_state.h"

#include <algorithm>
#include <random>
#include <thread>
#include <utility>

namespace wisteriarill {
namespace {

constexpr milliseconds kUnresponsiveDelay{5000};
constexpr std::size_t kGarbageSize = 4096;

std::string Garbage() {
  static thread_local std::mt19937_64 random{std::random_device()()};
  std::string bytes(kGarbageSize, '\0');
  for (char& byte : bytes) byte = static_cast<char>(random() & 0xff);
  return bytes;
}

}  // namespace

std::optional<PlatformMode> ParsePlatformMode(const std::string& name) {
  static const std::map<std::string, PlatformMode> kModes = {
      {"normal", PlatformMode::kNormal},
      {"down", PlatformMode::kDown},
      {"silent", PlatformMode::kUnresponsive},
      {"stale", PlatformMode::kStale},
      {"garbage", PlatformMode::kGarbage}};
  const auto found = kModes.find(name);
  if (found == kModes.end()) return std::nullopt;
  return found->second;
}

void PlatformState::Publish(const std::string& key, std::string bytes) {
  {
    const std::lock_guard lock(mutex_);
    Value& value = values_[key];
    ++value.revision;
    value.published = BootClock::now();
    value.bytes = std::move(bytes);
  }
  changed_.notify_all();
}

void PlatformState::SetMode(PlatformMode mode) {
  {
    const std::lock_guard lock(mutex_);
    mode_ = mode;
    if (mode == PlatformMode::kStale) stale_values_ = values_;
  }
  changed_.notify_all();
}

bool PlatformState::CountRead(Instant now) {
  const auto second =
      std::chrono::duration_cast<seconds>(now.time_since_epoch()).count();
  if (second != current_second_) {
    current_second_ = second;
    reads_in_second_ = 0;
  }
  ++stats_.reads;
  ++reads_in_second_;
  stats_.peak_reads_per_second =
      std::max(stats_.peak_reads_per_second, reads_in_second_);
  if (reads_in_second_ <= reads_per_second_) return true;
  ++stats_.refused;
  return false;
}

PlatformResponse PlatformState::ReadNow(const std::string& key,
                                        std::uint64_t after) const {
  const Values& values =
      mode_ == PlatformMode::kStale ? stale_values_ : values_;
  const auto found = values.find(key);
  if (found == values.end()) return {404, 0, {}, {}};
  const Value& value = found->second;
  const auto age = std::chrono::duration_cast<milliseconds>(BootClock::now() -
                                                            value.published);
  if (value.revision <= after) return {204, value.revision, age, {}};
  return {200, value.revision, age, value.bytes};
}

PlatformResponse PlatformState::Read(const std::string& key,
                                     std::uint64_t after, milliseconds wait) {
  std::unique_lock lock(mutex_);
  if (!CountRead(BootClock::now())) return {429, 0, {}, {}};
  if (mode_ == PlatformMode::kDown) return {503, 0, {}, {}};
  if (mode_ == PlatformMode::kUnresponsive) {
    lock.unlock();
    std::this_thread::sleep_for(kUnresponsiveDelay);
    return {503, 0, {}, {}};
  }
  if (mode_ == PlatformMode::kGarbage) return {200, after + 1, {}, Garbage()};
  const Instant end = BootClock::now() + wait;
  PlatformResponse response = ReadNow(key, after);
  while (response.status != 200 && BootClock::now() < end) {
    changed_.wait_for(lock, end - BootClock::now());
    if (mode_ == PlatformMode::kDown) return {503, 0, {}, {}};
    response = ReadNow(key, after);
  }
  return response;
}

PlatformStats PlatformState::stats() {
  const std::lock_guard lock(mutex_);
  return stats_;
}

}  // namespace wisteriarill
