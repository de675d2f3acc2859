#include "wisteriarill/registry/registry_freshness.h"

#include <algorithm>

namespace wisteriarill {
namespace {

Instant TimeOf(milliseconds age, Instant now) {
  return age < kUnknownAge ? Instant(now - age) : kNever;
}

milliseconds AgeOf(Instant at, Instant now) {
  if (at == kNever) return kUnknownAge;
  const auto age = std::chrono::duration_cast<milliseconds>(now - at);
  return std::clamp(age, milliseconds(0), kUnknownAge);
}

}  // namespace

void RegistryFreshness::OnHeld(std::uint64_t revision) {
  held_ = std::max(held_, revision);
  const auto reached = std::find_if(
      newer_.begin(), newer_.end(),
      [this](const auto& newer) { return newer.revision > held_; });
  Instant confirmed_at = kNever;
  for (auto it = newer_.begin(); it != reached; ++it) {
    confirmed_at = std::max(confirmed_at, it->confirmed_at);
  }
  newer_.erase(newer_.begin(), reached);
  OnConfirmed(confirmed_at);
}

void RegistryFreshness::OnConfirmed(Instant at) {
  // Once a newer revision is known, a late reader may still take its own for
  // the newest.
  confirmed_at_ = std::max(confirmed_at_, std::min(at, outdated_since()));
}

void RegistryFreshness::OnPeerClaim(const RegistryClaim& claim, Instant now) {
  const Instant confirmed_at = TimeOf(claim.age, now);
  if (claim.revision <= held_) return OnConfirmed(confirmed_at);
  AddNewer(claim.revision, confirmed_at, now);
}

void RegistryFreshness::AddNewer(std::uint64_t revision, Instant confirmed_at,
                                 Instant now) {
  if (newer_.empty() || newer_.back().revision < revision) {
    if (newer_.size() < kMaxNewerRevisions) {
      newer_.push_back({revision, now, confirmed_at});
    } else {
      newer_.back() = {revision, newer_.back().heard_at, confirmed_at};
    }
    return;
  }
  const auto listed = std::find_if(
      newer_.begin(), newer_.end(),
      [&](const auto& newer) { return newer.revision >= revision; });
  if (listed->revision == revision)
    listed->confirmed_at = std::max(listed->confirmed_at, confirmed_at);
}

void RegistryFreshness::OnFailureHeard(milliseconds age, Instant now) {
  failed_at_ = std::max(failed_at_, TimeOf(age, now));
}

Instant RegistryFreshness::outdated_since() const {
  return newer_.empty() ? Instant::max() : newer_.front().heard_at;
}

milliseconds RegistryFreshness::Age(Instant now) const {
  return AgeOf(confirmed_at_, now);
}

milliseconds RegistryFreshness::FailureAge(Instant now) const {
  return AgeOf(failed_at_, now);
}

bool RegistryFreshness::IsUnreachable(Instant now) const {
  return Age(now) > kMaxAge && failed_at_ > confirmed_at_;
}

std::uint64_t RegistryFreshness::known_revision() const {
  return newer_.empty() ? held_ : newer_.back().revision;
}

milliseconds RegistryFreshness::BehindFor(Instant now) const {
  return newer_.empty() ? milliseconds(0) : AgeOf(outdated_since(), now);
}

}  // namespace wisteriarill
