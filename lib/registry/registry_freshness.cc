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
  const std::vector<NewerRevision> held(newer_.begin(), reached);
  newer_.erase(newer_.begin(), reached);
  for (const NewerRevision& newer : held) Confirm(newer.confirmed);
}

void RegistryFreshness::OnConfirmed(Instant at) {
  if (at <= confirmed_.at) return;
  Confirm({at, own_source_, ++own_sequence_});
}

void RegistryFreshness::Confirm(const Event& read) {
  // Once a newer revision is known, a late reader may still take its own for
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
  if (claim.revision <= held_) return Confirm(read);
  AddNewer(claim.revision, read, now);
}

void RegistryFreshness::AddNewer(std::uint64_t revision, const Event& confirmed,
                                 Instant now) {
  if (newer_.empty() || newer_.back().revision < revision) {
    if (newer_.size() < kMaxNewerRevisions) {
      newer_.push_back({revision, now, confirmed});
    } else {
      newer_.back() = {revision, newer_.back().heard_at, confirmed};
    }
    return;
  }
  const auto listed = std::find_if(
      newer_.begin(), newer_.end(),
      [&](const auto& newer) { return newer.revision >= revision; });
  const bool is_later = confirmed.at > listed->confirmed.at;
  if (listed->revision == revision && is_later) listed->confirmed = confirmed;
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

std::uint64_t RegistryFreshness::known_revision() const {
  return newer_.empty() ? held_ : newer_.back().revision;
}

milliseconds RegistryFreshness::BehindFor(Instant now) const {
  return newer_.empty() ? milliseconds(0) : AgeOf(outdated_since(), now);
}

}  // namespace wisteriarill
