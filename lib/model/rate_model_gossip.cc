/// \file
/// Exchange of versions, probes, ownership histories and shard claims between
/// the processes of the rate model.
#include "rate_model_process.h"

namespace wisteriarill {

void RateModel::ReadPlatform(Process* process) {
  if (!ReachesPlatform(*process)) return;
  const Instant read_at = LocalTime(*process);
  if (process->snapshot == nullptr ||
      process->snapshot->version() < published_->version()) {
    ApplySnapshot(process, published_);
  }
  process->confirmed_at = read_at;
  process->owner->OnVersionConfirmed(read_at);
  process->published_at = read_at - (queue_.now() - published_at_);
  process->owner->OnVersionPublished(published_->version(),
                                     process->published_at, read_at);
}

// Performs one anti-entropy exchange. Both sides end up with the newer version;
// `from` also learns when that version was published and last confirmed. Ages
// are passed instead of times, because the clocks of processes differ. The
// margin of 2 ms makes the publication later and the confirmation earlier than
// they were, which is the safe side for the shard owner.
void RateModel::ExchangeVersions(Process* from, Process* to) {
  if (to->snapshot == nullptr) return;
  if (from->snapshot == nullptr ||
      from->snapshot->version() < to->snapshot->version()) {
    ApplySnapshot(from, to->snapshot);
  } else if (to->snapshot->version() < from->snapshot->version()) {
    ApplySnapshot(to, from->snapshot);
  }
  if (to->published_at != kNever) {
    const nanoseconds published_age = LocalTime(*to) - to->published_at;
    from->published_at = LocalTime(*from) - published_age + milliseconds(2);
    from->owner->OnVersionPublished(to->snapshot->version(), from->published_at,
                                    LocalTime(*from));
  }
  if (to->confirmed_at == kNever) return;
  const nanoseconds confirmed_age = LocalTime(*to) - to->confirmed_at;
  const Instant confirmed_at =
      LocalTime(*from) - confirmed_age - milliseconds(2);
  if (confirmed_at <= from->confirmed_at) return;
  from->confirmed_at = confirmed_at;
  from->owner->OnVersionConfirmed(confirmed_at);
}

void RateModel::GossipRound(std::size_t index) {
  Process* process = processes_[index].get();
  if (!process->alive) return;
  queue_.ScheduleAfter(kModelGossipInterval,
                       [this, index] { GossipRound(index); });
  if (process->frozen_until > queue_.now()) return;
  if (index % 5 == 0 || process->snapshot == nullptr) ReadPlatform(process);
  if (process->snapshot == nullptr) {
    // A new process contacts a random process as its seed. The seed may be dead
    // or in another group of a partition.
    Process* seed = processes_[random_() % processes_.size()].get();
    if (seed->alive && AreConnected(*process, *seed))
      ExchangeVersions(process, seed);
    return;
  }
  const auto& all = process->snapshot->servers();
  const std::string partner_address = all[random_() % all.size()].node_address;
  Process* partner = FindByAddress(partner_address);
  if (partner != nullptr && AreConnected(*process, *partner) &&
      partner->frozen_until <= queue_.now()) {
    ExchangeVersions(process, partner);
  }
  RequestHistory(process, partner_address);
  ClaimShards(process);
}

void RateModel::ProbeRound(std::size_t index) {
  Process* process = processes_[index].get();
  if (!process->alive) return;
  const Instant local = LocalTime(*process);
  const bool fast = process->owner->NeedsMajority(local);
  queue_.ScheduleAfter(fast ? kFastProbeInterval : kProbeInterval,
                       [this, index] { ProbeRound(index); });
  if (process->frozen_until > queue_.now()) return;
  if (process->snapshot == nullptr) return;
  for (const OutgoingProbe& action :
       process->prober->StartRound(*process->snapshot, local)) {
    CountBytes(action.probe);
    const ProbeRequest probe = action.probe;
    SendToAddress(process, action.address,
                  [=, this](Process* peer) { SendEcho(peer, probe); });
  }
}

void RateModel::SendEcho(Process* peer, const ProbeRequest& probe) {
  if (peer->snapshot == nullptr) return;
  const ProbeEcho echo{probe.nonce, peer->snapshot->version()};
  CountBytes(echo);
  SendToAddress(peer, AddressOf(*peer->snapshot, probe.node),
                [=, this](Process* to) {
                  if (to->snapshot == nullptr) return;
                  const Instant local = LocalTime(*to);
                  const auto proof =
                      to->prober->OnEcho(echo, to->snapshot->version(), local);
                  if (!proof.has_value()) return;
                  to->owner->OnReachabilityProved(proof->probed_at);
                  if (proof->majority) to->owner->OnMajorityReached(local);
                });
}

void RateModel::RequestHistory(Process* process, const std::string& peer) {
  if (!process->owner->NeedsHistory(LocalTime(*process))) return;
  SendToAddress(process, peer, [=, this](Process* responder) {
    const OwnershipHistory history =
        responder->owner->AnswerHistory(process->server, LocalTime(*responder));
    SendToProcess(responder, process, [=, this](Process* requester) {
      requester->owner->OnHistory(history, LocalTime(*requester));
    });
  });
}

void RateModel::ClaimShards(Process* process) {
  for (const OutgoingShardClaim& claim :
       process->owner->TakeClaims(LocalTime(*process))) {
    SendToAddress(process, claim.address, [=, this](Process* former_owner) {
      const auto release =
          former_owner->owner->OnClaim(claim.claim, LocalTime(*former_owner));
      if (!release.has_value()) return;
      SendToProcess(former_owner, process, [=, this](Process* claimant) {
        claimant->owner->OnRelease(*release, LocalTime(*claimant));
      });
    });
  }
}

}  // namespace wisteriarill
