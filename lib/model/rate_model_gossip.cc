/// \file
/// How processes of the rate model learn of versions and of each other.
#include "rate_model_process.h"

namespace wisteriarill {

void RateModel::ReadPlatform(Process* process) {
  if (!ReachesPlatform(*process)) return;
  const Instant read_at = LocalTime(*process);
  if (process->snapshot == nullptr ||
      process->snapshot->version() < published_->version()) {
    Apply(process, published_);
  }
  process->confirmed = read_at;
  process->home->OnVersionConfirmed(read_at);
  process->published = read_at - (queue_.now() - published_at_);
  process->home->OnVersionPublished(published_->version(), process->published,
                             read_at);
}

// One anti-entropy exchange: the newer version wins, and confirmation ages
// travel with equal versions.
void RateModel::Exchange(Process* from, Process* to) {
  if (to->snapshot == nullptr) return;
  if (from->snapshot == nullptr ||
      from->snapshot->version() < to->snapshot->version()) {
    Apply(from, to->snapshot);
  } else if (to->snapshot->version() < from->snapshot->version()) {
    Apply(to, from->snapshot);
  }
  if (to->published != kNever) {
    const nanoseconds published_age = LocalTime(*to) - to->published;
    from->published = LocalTime(*from) - published_age + milliseconds(2);
    from->home->OnVersionPublished(to->snapshot->version(), from->published,
                            LocalTime(*from));
  }
  if (to->confirmed == kNever) return;
  const nanoseconds age = LocalTime(*to) - to->confirmed;
  const Instant confirmed = LocalTime(*from) - age - milliseconds(2);
  if (confirmed <= from->confirmed) return;
  from->confirmed = confirmed;
  from->home->OnVersionConfirmed(confirmed);
}

void RateModel::GossipRound(std::size_t index) {
  Process* process = processes_[index].get();
  if (!process->alive) return;
  queue_.After(kModelGossipInterval, [this, index] { GossipRound(index); });
  if (process->frozen_until > queue_.now()) return;
  if (index % 5 == 0 || process->snapshot == nullptr) ReadPlatform(process);
  if (process->snapshot == nullptr) {
    // A new process asks a few of its seeds, which may be cut off.
    Process* seed = processes_[random_() % processes_.size()].get();
    if (seed->alive && Connected(*process, *seed)) Exchange(process, seed);
    return;
  }
  const auto& all = process->snapshot->servers();
  const std::string far = all[random_() % all.size()].node_address;
  Process* partner = FindAt(far);
  if (partner != nullptr && Connected(*process, *partner) &&
      partner->frozen_until <= queue_.now()) {
    Exchange(process, partner);
  }
  AskForHistory(process, far);
  ClaimParts(process);
}

void RateModel::ProbeRound(std::size_t index) {
  Process* process = processes_[index].get();
  if (!process->alive) return;
  const Instant local = LocalTime(*process);
  const bool fast = process->home->NeedsMajority(local);
  queue_.After(fast ? kFastProbeInterval : kProbeInterval,
               [this, index] { ProbeRound(index); });
  if (process->frozen_until > queue_.now()) return;
  if (process->snapshot == nullptr) return;
  for (const OutgoingProbe& action :
       process->probe->StartRound(*process->snapshot, local)) {
    Count(action.probe);
    const ProbeRequest probe = action.probe;
    Send(process, action.address,
         [=, this](Process* peer) { Echo(peer, probe); });
  }
}

void RateModel::Echo(Process* peer, const ProbeRequest& probe) {
  if (peer->snapshot == nullptr) return;
  const ProbeEcho echo{probe.nonce, peer->snapshot->version()};
  Count(echo);
  Send(peer, AddressOf(*peer->snapshot, probe.node), [=, this](Process* to) {
    if (to->snapshot == nullptr) return;
    const Instant local = LocalTime(*to);
    const auto proof = to->probe->OnEcho(echo, to->snapshot->version(), local);
    if (!proof.has_value()) return;
    to->home->OnReachabilityProved(proof->probed_at);
    if (proof->majority) to->home->OnMajorityReached(local);
  });
}

void RateModel::AskForHistory(Process* process, const std::string& peer) {
  if (!process->home->NeedsHistory(LocalTime(*process))) return;
  Send(process, peer, [=, this](Process* knowing) {
    const OwnershipHistory history =
        knowing->home->AnswerHistory(process->server, LocalTime(*knowing));
    Post(knowing, process, [=, this](Process* asker) {
      asker->home->OnHistory(history, LocalTime(*asker));
    });
  });
}

void RateModel::ClaimParts(Process* process) {
  for (const OutgoingShardClaim& claim :
       process->home->TakeClaims(LocalTime(*process))) {
    Send(process, claim.address, [=, this](Process* former) {
      const auto release =
          former->home->OnClaim(claim.claim, LocalTime(*former));
      if (!release.has_value()) return;
      Post(former, process, [=, this](Process* claimant) {
        claimant->home->OnRelease(*release, LocalTime(*claimant));
      });
    });
  }
}

}  // namespace wisteriarill
