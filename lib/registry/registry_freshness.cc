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

void RegistryFreshness::OnHeld(StorePosition position) {
  held_ = std::max(held_, position);
  const auto reached = std::find_if(
      newer_.begin(), newer_.end(),
      [this](const auto& newer) { return newer.position > held_; });
  const std::vector<NewerPosition> held(newer_.begin(), reached);
  newer_.erase(newer_.begin(), reached);
  for (const NewerPosition& newer : held) Confirm(newer.confirmed);
}

void RegistryFreshness::OnConfirmed(Instant at) {
  if (at <= confirmed_.at) return;
  Confirm({at, own_source_, ++own_sequence_});
}

void RegistryFreshness::Confirm(const Event& read) {
  // Once a newer position is known, a late reader may still take its own for
  // the newest.
  const bool is_late = read.at > outdated_since();
  if (!is_late && read.at > confirmed_.at) confirmed_ = read;
}

void RegistryFreshness::OnPeerClaim(const RegistryClaim& claim, Instant now) {
  Event read;
  if (claim.read.source != own_source_ && reads_.Accept(claim.read, now)) {
    const Instant at = TimeOf(claim.read.age, now);
    read = {at, claim.read.source, claim.read.sequence};
  }
  if (claim.position.era < held_.era) return;
  if (claim.position <= held_) return Confirm(read);
  AddNewer(claim.position, read, now);
}

void RegistryFreshness::AddNewer(StorePosition position, const Event& confirmed,
                                 Instant now) {
  if (newer_.empty() || newer_.back().position < position) {
    if (newer_.size() < kMaxNewerPositions) {
      newer_.push_back({position, now, confirmed});
    } else {
      newer_.back() = {position, newer_.back().heard_at, confirmed};
    }
    return;
  }
  const auto listed = std::find_if(
      newer_.begin(), newer_.end(),
      [&](const auto& newer) { return newer.position >= position; });
  const bool is_later = confirmed.at > listed->confirmed.at;
  if (listed->position == position && is_later) listed->confirmed = confirmed;
}

void RegistryFreshness::OnFailureHeard(milliseconds age, Instant now) {
  failed_at_ = std::max(failed_at_, TimeOf(age, now));
}

void RegistryFreshness::OnReadBegun(Instant now) {
  read_begun_ = {now, own_source_, ++own_sequence_};
}

void RegistryFreshness::OnReadBegunHeard(const ToldEvent& begun, Instant now) {
  if (begun.source == own_source_ || !begun_reads_.Accept(begun, now)) return;
  const Instant at = TimeOf(begun.age, now);
  if (at > read_begun_.at) read_begun_ = {at, begun.source, begun.sequence};
}

ToldEvent RegistryFreshness::Tell(const Event& event, Instant now) {
  return {event.source, event.sequence, AgeOf(event.at, now)};
}

RegistryClaim RegistryFreshness::Claim(Instant now) const {
  return {held_, Tell(confirmed_, now)};
}

ToldEvent RegistryFreshness::ReadBegun(Instant now) const {
  return Tell(read_begun_, now);
}

Instant RegistryFreshness::outdated_since() const {
  return newer_.empty() ? Instant::max() : newer_.front().heard_at;
}

milliseconds RegistryFreshness::Age(Instant now) const {
  return AgeOf(confirmed_.at, now);
}

milliseconds RegistryFreshness::FailureAge(Instant now) const {
  return AgeOf(failed_at_, now);
}

milliseconds RegistryFreshness::ReadBegunAge(Instant now) const {
  return AgeOf(read_begun_.at, now);
}

bool RegistryFreshness::IsUnreachable(Instant now) const {
  return Age(now) > kMaxAge && failed_at_ > confirmed_.at;
}

StorePosition RegistryFreshness::known_position() const {
  return newer_.empty() ? held_ : newer_.back().position;
}

milliseconds RegistryFreshness::BehindFor(Instant now) const {
  return newer_.empty() ? milliseconds(0) : AgeOf(outdated_since(), now);
}

}  // namespace wisteriarill
