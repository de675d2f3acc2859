/// \file
/// Chooses the server of an attempt. Nodes have no periodic reports of each
/// other's load: the nodes beside a few sampled servers are asked for it.
#include <algorithm>
#include <utility>

#include "ingress_call_state.h"

namespace wisteriarill {
namespace {

/// A load report of this age is used without asking again.
constexpr milliseconds kMaxLoadAge{50};
/// How long the choice waits for load reports.
constexpr milliseconds kLoadTimeout{15};
/// Part of the time within which a call should be answered that a server of
/// another failure domain has to save. A large body takes more time and more
/// bytes between failure domains.
constexpr int kSavingDivisor = 7;
constexpr int kUploadSavingDivisor = 3;
/// Assumed until a service time is known.
constexpr milliseconds kDefaultServiceTime{50};

/// Returns the mean of the service times that are known, and sets it at the
/// servers whose own is unknown.
microseconds FillServiceTimes(std::vector<ServerCandidate>* candidates) {
  microseconds sum{0};
  int known = 0;
  for (const ServerCandidate& candidate : *candidates) {
    if (candidate.load.service_time.count() == 0) continue;
    sum += candidate.load.service_time;
    ++known;
  }
  const microseconds mean = known > 0 ? sum / known : kDefaultServiceTime;
  for (ServerCandidate& candidate : *candidates) {
    if (candidate.load.service_time.count() == 0)
      candidate.load.service_time = mean;
  }
  return mean;
}

/// Returns whether a server other than `chosen` names no limit.
bool HasUnlimitedServer(const std::vector<ServerCandidate>& candidates,
                        std::size_t chosen) {
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (i != chosen && candidates[i].load.rate_interval.count() == 0)
      return true;
  }
  return false;
}

}  // namespace

bool Ingress::IsLeaving(const BackendEntry& entry) {
  if (entry.ip == dependencies_.settings->ip)
    return dependencies_.backend->IsLeaving(entry.start());
  const Peer* peer = dependencies_.peers->Find(entry.ip);
  const bool says_leaving = peer != nullptr && peer->status.leaving_server != 0;
  if (says_leaving && peer->status.leaving_server == DigestOf(entry.start()))
    backend_statements_.OnLeaving(entry.start(), BootClock::now());
  return backend_statements_.size() > 0 &&
         backend_statements_.IsLeaving(entry.start());
}

bool Ingress::DescribeServer(CallState* call_state, const BackendEntry& entry,
                             ServerCandidate* candidate) {
  const Instant now = BootClock::now();
  const ProxySettings& settings = *dependencies_.settings;
  candidate->instance = entry.instance;
  candidate->load.slots = entry.slots;
  candidate->same_failure_domain =
      entry.failure_domain == settings.failure_domain;
  const auto failures = failure_rates_.find(entry.instance);
  if (failures != failure_rates_.end())
    candidate->failure_rate = failures->second;
  if (IsLeaving(entry)) {
    call_state->skipped_leaving_server = true;
    return false;
  }
  if (entry.ip == settings.ip) {
    candidate->local = true;
    candidate->load = dependencies_.backend->load(now);
    return entry.instance == dependencies_.backend->instance();
  }
  Peer* peer = dependencies_.peers->Find(entry.ip);
  if (peer == nullptr) return false;
  if (peer->ShouldAskWhetherBack(now))
    dependencies_.peer_service->SendProbe(peer);
  const bool usable_leaving =
      call_state->use_leaving_peers && peer->IsLeaving(now);
  if (peer->IsSuspect(now) || (peer->status.leaving && !usable_leaving))
    return false;
  if (peer->IsFullFor(call_state->call.urgency, now)) {
    call_state->skipped_full_server = true;
    if (peer->rate_free_at > now)
      call_state->NoteRateWait(peer->rate_free_at - now);
    return false;
  }
  candidate->calls_since_status = peer->calls_since_status;
  candidate->unanswered = peer->unanswered_since != kNever;
  if (peer->status_at != kNever) candidate->load = peer->status.load;
  return true;
}

std::vector<ServerCandidate> Ingress::CollectCandidates(
    CallState* call_state, const std::vector<std::string>& instances) {
  const Membership& membership = dependencies_.state->membership();
  std::vector<ServerCandidate> candidates;
  for (const std::string& instance : instances) {
    if (call_state->tried_instances.contains(instance)) continue;
    const BackendEntry* entry = membership.Find(instance);
    if (entry == nullptr) continue;
    ServerCandidate candidate;
    if (DescribeServer(call_state, *entry, &candidate))
      candidates.push_back(std::move(candidate));
  }
  return candidates;
}

Task<void> Ingress::RefreshLoad(CallState* call_state,
                                const std::vector<std::size_t>& sample,
                                std::vector<ServerCandidate>* candidates) {
  const Membership& membership = dependencies_.state->membership();
  std::vector<std::string> ips;
  for (const std::size_t i : sample) {
    const BackendEntry* entry = membership.Find((*candidates)[i].instance);
    if (entry != nullptr && !(*candidates)[i].local) ips.push_back(entry->ip);
  }
  co_await dependencies_.peer_service->RefreshStatus(std::move(ips),
                                                     kMaxLoadAge, kLoadTimeout);
  for (const std::size_t i : sample) {
    const BackendEntry* entry = membership.Find((*candidates)[i].instance);
    ServerCandidate refreshed;
    const bool usable =
        entry != nullptr && DescribeServer(call_state, *entry, &refreshed);
    if (usable) {
      (*candidates)[i] = std::move(refreshed);
    } else {
      (*candidates)[i].unanswered = true;
    }
  }
  FillServiceTimes(candidates);
}

std::vector<ServerCandidate> Ingress::FindCandidates(CallState* call_state) {
  const Membership& membership = dependencies_.state->membership();
  const std::string& service = call_state->call.service;
  call_state->use_leaving_peers = false;
  std::vector<ServerCandidate> candidates = CollectCandidates(
      call_state, server_subsets_.Instances(service, membership));
  if (!candidates.empty()) return candidates;
  const std::vector<std::string>& all =
      server_subsets_.AllInstances(service, membership);
  candidates = CollectCandidates(call_state, all);
  if (!candidates.empty()) return candidates;
  call_state->use_leaving_peers = true;
  return CollectCandidates(call_state, all);
}

Task<std::size_t> Ingress::ChooseAnywhere(
    CallState* call_state, std::vector<ServerCandidate>* candidates) {
  const std::vector<std::size_t> sample = server_selector_.Sample(*candidates);
  if (sample.size() > 1) {
    co_await RefreshLoad(call_state, sample, candidates);
  }
  co_return ServerSelector::Best(*candidates, sample, ProfileOf(*call_state));
}

Task<std::size_t> Ingress::ChooseNearby(
    CallState* call_state, microseconds typical,
    std::vector<ServerCandidate>* candidates) {
  const CallProfile profile = ProfileOf(*call_state);
  std::vector<std::size_t> sample =
      server_selector_.SampleOwnDomain(*candidates);
  if (!sample.empty()) {
    co_await RefreshLoad(call_state, sample, candidates);
    const std::size_t best = ServerSelector::Best(*candidates, sample, profile);
    if (ServerSelector::TakesCallWell((*candidates)[best], typical, profile))
      co_return best;
  }
  const std::vector<std::size_t> others =
      server_selector_.SampleOtherDomains(*candidates);
  if (!others.empty()) {
    co_await RefreshLoad(call_state, others, candidates);
  }
  sample.insert(sample.end(), others.begin(), others.end());
  co_return ServerSelector::Best(*candidates, sample, profile);
}

// Where bodies are large, bytes between failure domains are scarce. A call
// leaves its own only if that saves a part of its time that its caller would
// notice.
CallProfile Ingress::ProfileOf(const CallState& call_state) {
  CallProfile profile;
  profile.download = call_state.call.download;
  profile.upload = call_state.call.upload;
  if (call_state.config->controls_overload())
    profile.urgency = call_state.call.urgency;
  if (!call_state.config->has_uploads()) return profile;
  const microseconds time_wanted =
      call_state.nested
          ? std::chrono::duration_cast<microseconds>(
                call_state.call.deadline - call_state.exchange->received())
          : microseconds(call_state.route->latency_objective);
  profile.min_saving =
      time_wanted / (profile.upload ? kUploadSavingDivisor : kSavingDivisor);
  return profile;
}

// Refusing the call here and now leaves its caller the most time, and costs the
// server nothing.
bool Ingress::IsKnownFull(CallState* call_state,
                          const ServerCandidate& best) const {
  if (!call_state->config->controls_overload()) return false;
  const microseconds wait =
      ServerSelector::ExpectedWait(best, ProfileOf(*call_state));
  // A retry that comes after the deadline to start still runs at a server that
  // is free.
  if (wait.count() == 0) return false;
  if (BootClock::now() + wait <= call_state->call.start_deadline) return false;
  dependencies_.metrics->Add("wisteria_refused_untried");
  call_state->known_wait = std::chrono::duration_cast<milliseconds>(wait);
  return true;
}

Task<bool> Ingress::ChooseServer(CallState* call_state) {
  const Membership& membership = dependencies_.state->membership();
  std::vector<ServerCandidate> candidates = FindCandidates(call_state);
  if (candidates.empty()) co_return false;
  const microseconds typical = FillServiceTimes(&candidates);
  const auto idle_local =
      std::find_if(candidates.begin(), candidates.end(),
                   [typical](const ServerCandidate& candidate) {
                     return ServerSelector::IsIdleLocal(candidate, typical);
                   });
  std::size_t chosen = idle_local - candidates.begin();
  if (idle_local == candidates.end()) {
    if (call_state->config->has_uploads()) {
      chosen = co_await ChooseNearby(call_state, typical, &candidates);
    } else {
      chosen = co_await ChooseAnywhere(call_state, &candidates);
    }
  }
  if (IsKnownFull(call_state, candidates[chosen])) co_return false;
  // Servers may have left while their load was asked for.
  const BackendEntry* entry = membership.Find(candidates[chosen].instance);
  if (entry == nullptr) co_return false;
  if (IsLeaving(*entry)) {
    co_return co_await ChooseServer(call_state);
  }
  if (entry->failure_domain != dependencies_.settings->failure_domain)
    dependencies_.metrics->Add("wisteria_other_domain_attempts");
  call_state->target = *entry;
  call_state->call.waits_for_rate = !HasUnlimitedServer(candidates, chosen);
  call_state->call.instance = entry->instance;
  co_return true;
}

}  // namespace wisteriarill
