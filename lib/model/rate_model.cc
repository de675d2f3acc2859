#include "wisteriarill/model/rate_model.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "rate_model_process.h"
#include "wisteriarill/process/invariant.h"
#include "wisteriarill/process/static_split_rate_limiter.h"

namespace wisteriarill {
namespace {

constexpr nanoseconds kTickInterval = milliseconds(10);
constexpr int kAllGroups = -1;

}  // namespace

RateModel::RateModel(RateModelOptions options, const Deployment& deployment)
    : options_(options), random_(options.seed) {
  queue_.RunUntil(Instant{} + std::chrono::hours(1));
  published_ = Snapshot::Compile({deployment.number, 1}, deployment).value();
  published_at_ = queue_.now();
  versions_in_use_ = {published_};
  for (const Server& server : published_->servers()) {
    server_names_.push_back(server.name);
  }
  for (const std::string& name : server_names_) StartProcess(name, false);
  UpdateOracles();
}

RateModel::~RateModel() = default;

std::unique_ptr<RateLimiter> RateModel::MakeRateLimiter(
    const std::string& server) {
  if (options_.policy == RateDivisionPolicy::kStaticSplit) {
    return std::make_unique<StaticSplitRateLimiter>();
  }
  return std::make_unique<LeasingRateLimiter>(options_.rate_limiter, server);
}

void RateModel::StartProcess(const std::string& server, bool without_version) {
  auto process = std::make_unique<Process>();
  process->index = processes_.size();
  process->server = server;
  process->address = AddressOf(*published_, server);
  std::uniform_real_distribution<double> drift(-options_.max_clock_drift_ppm,
                                               options_.max_clock_drift_ppm);
  process->clock_speed = 1.0 + drift(random_) / 1e6;
  const auto id = published_->FindServer(server);
  process->failure_domain =
      published_->failure_domain(published_->server(*id).domain).name;
  const Instant local = LocalTime(*process);
  process->owner =
      std::make_unique<RateShardOwner>(options_.owner, server, local);
  process->rate_limiter = MakeRateLimiter(server);
  process->prober = std::make_unique<ReachabilityProber>(server, random_());
  by_address_[process->address] = process.get();
  const std::size_t index = process->index;
  processes_.push_back(std::move(process));
  if (!without_version) ApplySnapshot(processes_[index].get(), published_);
  std::uniform_int_distribution<std::int64_t> jitter(
      0, kModelGossipInterval.count());
  queue_.ScheduleAfter(kTickInterval, [this, index] { Tick(index); });
  queue_.ScheduleAfter(nanoseconds(jitter(random_)),
                       [this, index] { GossipRound(index); });
  queue_.ScheduleAfter(nanoseconds(jitter(random_)),
                       [this, index] { ProbeRound(index); });
}

Instant RateModel::LocalTime(const Process& process) const {
  const double local_nanos =
      static_cast<double>(queue_.now().time_since_epoch().count()) *
      process.clock_speed;
  return Instant(nanoseconds(static_cast<std::int64_t>(local_nanos)));
}

void RateModel::RunFor(nanoseconds duration) {
  queue_.RunUntil(queue_.now() + duration);
}

RateModel::Process* RateModel::FindByAddress(const std::string& address) {
  const auto found = by_address_.find(address);
  if (found == by_address_.end() || !found->second->alive) return nullptr;
  return found->second;
}

bool RateModel::AreConnected(const Process& a, const Process& b) const {
  if (!partitioned_) return true;
  const auto group = [this](const Process& process) {
    const auto found = partition_groups_.find(process.server);
    return found == partition_groups_.end() ? 0 : found->second;
  };
  return group(a) == group(b);
}

bool RateModel::ReachesPlatform(const Process& process) const {
  if (platform_group_ == kAllGroups) return true;
  const auto found = partition_groups_.find(process.server);
  const int group = found == partition_groups_.end() ? 0 : found->second;
  return group == platform_group_;
}

void RateModel::Deliver(Process* from, Process* to,
                        const std::function<void(Process*)>& deliver) {
  if (!to->alive) return;
  if (!AreConnected(*from, *to)) {
    if (hold_messages_)
      held_messages_.push_back([=, this] { Deliver(from, to, deliver); });
    return;
  }
  if (to->frozen_until > queue_.now()) {
    queue_.ScheduleAt(to->frozen_until,
                      [=, this] { Deliver(from, to, deliver); });
    return;
  }
  deliver(to);
}

void RateModel::SendToProcess(Process* from, Process* to,
                              const std::function<void(Process*)>& deliver) {
  ++messages_;
  const bool same_domain = from->failure_domain == to->failure_domain;
  queue_.ScheduleAfter(
      same_domain ? options_.same_domain_delay : options_.cross_domain_delay,
      [=, this] { Deliver(from, to, deliver); });
}

void RateModel::SendToAddress(Process* from, const std::string& address,
                              const std::function<void(Process*)>& deliver) {
  Process* to = FindByAddress(address);
  if (to != nullptr) SendToProcess(from, to, deliver);
}

void RateModel::CountBytes(const PeerMessage& message) {
  if (options_.count_bytes) bytes_ += EncodeFrame(message).size();
}

void RateModel::ApplySnapshot(Process* process,
                              std::shared_ptr<const Snapshot> snapshot) {
  CheckInvariant(process->snapshot == nullptr ||
                     process->snapshot->version() < snapshot->version(),
                 "model_version_never_moves_back");
  const Instant local = LocalTime(*process);
  process->snapshot = snapshot;
  process->published_at = kNever;
  if (options_.policy != RateDivisionPolicy::kStaticSplit) {
    process->owner->OnSnapshot(snapshot, local);
  }
  process->rate_limiter->OnSnapshot(std::move(snapshot), local);
  UpdateOracles();
}

void RateModel::Tick(std::size_t index) {
  Process* process = processes_[index].get();
  if (!process->alive) return;
  queue_.ScheduleAfter(kTickInterval, [this, index] { Tick(index); });
  if (process->frozen_until > queue_.now()) return;
  process->rate_limiter->OnTick(LocalTime(*process));
  HandleRateLimiterOutput(process);
}

void RateModel::HandleRateLimiterOutput(Process* process) {
  const auto decisions = process->rate_limiter->TakeDecisions();
  for (const RateDecision& decision : decisions) {
    RecordDecision(process, decision);
  }
  auto requests = process->rate_limiter->TakeRequests();
  for (OutgoingTokenRequest& outgoing : requests) {
    if (outgoing.owner == process->server) {
      RequestFromLocalOwner(process, outgoing.request);
      continue;
    }
    CountBytes(outgoing.request);
    const TokenLeaseRequest request = std::move(outgoing.request);
    SendToAddress(process, outgoing.address, [=, this](Process* owner) {
      const TokenLeaseReply reply =
          owner->owner->OnTokenRequest(request, LocalTime(*owner));
      if (request.need == 0 && request.ahead == 0) return;
      CountBytes(reply);
      SendToProcess(owner, process, [=, this](Process* requester) {
        requester->rate_limiter->OnTokenReply(reply, LocalTime(*requester));
        HandleRateLimiterOutput(requester);
      });
    });
  }
}

// As in a real node, requests to the node's own shards bypass the network.
void RateModel::RequestFromLocalOwner(Process* process,
                                      const TokenLeaseRequest& request) {
  const Instant local = LocalTime(*process);
  const TokenLeaseReply reply = process->owner->OnTokenRequest(request, local);
  if (request.need == 0 && request.ahead == 0) return;
  process->rate_limiter->OnTokenReply(reply, local);
  HandleRateLimiterOutput(process);
}

// Considers replaced processes too, because a caller may still be connected to
// one.
RateModel::Process* RateModel::PickRunningProcess(const std::string& server) {
  std::vector<Process*> running;
  for (const auto& process : processes_) {
    const bool usable = process->alive && process->server == server &&
                        process->frozen_until <= queue_.now() &&
                        process->snapshot != nullptr;
    if (usable) running.push_back(process.get());
  }
  if (running.empty()) return nullptr;
  return running[random_() % running.size()];
}

void RateModel::RecordDecision(Process* process, const RateDecision& decision) {
  const auto found = calls_.find(decision.ticket.value);
  if (found == calls_.end() || found->second.process != process) return;
  const Call& call = found->second;
  auto oracle = oracles_.find(call.workspace);
  if (oracle != oracles_.end()) {
    if (decision.granted) {
      oracle->second.OnAdmitted(queue_.now());
    } else {
      oracle->second.OnRefused(queue_.now());
    }
  }
  decision_latency_millis_.push_back(
      std::chrono::duration<double, std::milli>(queue_.now() - call.arrived_at)
          .count());
  calls_.erase(found);
}

void RateModel::StartCall(const std::string& workspace,
                          const std::string& server) {
  Process* process = PickRunningProcess(server);
  const auto oracle = oracles_.find(workspace);
  if (process == nullptr || oracle == oracles_.end()) return;
  oracle->second.OnOffered(queue_.now());
  const std::uint64_t id = ++last_call_id_;
  calls_[id] = Call{workspace, queue_.now(), process};
  process->rate_limiter->RequestToken(workspace, TicketId{id},
                                      LocalTime(*process));
  HandleRateLimiterOutput(process);
}

void RateModel::ScheduleNextCall(const std::string& workspace, double rate,
                                 const std::vector<std::string>& servers,
                                 Instant end) {
  std::exponential_distribution<double> gap(rate);
  const auto wait = nanoseconds(static_cast<std::int64_t>(gap(random_) * 1e9));
  if (queue_.now() + wait > end) return;
  queue_.ScheduleAfter(wait, [=, this] {
    StartCall(workspace, servers[random_() % servers.size()]);
    ScheduleNextCall(workspace, rate, servers, end);
  });
}

void RateModel::OfferCalls(const std::string& workspace, double rate,
                           const std::vector<std::string>& servers,
                           nanoseconds duration) {
  ScheduleNextCall(workspace, rate, servers, queue_.now() + duration);
}

void RateModel::Kill(const std::string& server) {
  Process* process = FindByAddress(AddressOf(*published_, server));
  if (process == nullptr) return;
  process->alive = false;
  UpdateOracles();
}

void RateModel::Start(const std::string& server) {
  const std::string address = AddressOf(*published_, server);
  if (address.empty() || FindByAddress(address) != nullptr) return;
  StartProcess(server, true);
}

void RateModel::Freeze(const std::string& server, nanoseconds duration) {
  Process* process = FindByAddress(AddressOf(*published_, server));
  if (process == nullptr) return;
  process->frozen_until = queue_.now() + duration;
}

void RateModel::Replace(const std::string& server) {
  by_address_.erase(AddressOf(*published_, server));
  Start(server);
}

void RateModel::Partition(std::map<std::string, int> groups, bool hold) {
  partition_groups_ = std::move(groups);
  partitioned_ = true;
  hold_messages_ = hold;
}

void RateModel::Heal() {
  partitioned_ = false;
  std::vector<std::function<void()>> held = std::exchange(held_messages_, {});
  for (const auto& deliver : held) deliver();
}

void RateModel::SetPlatformGroup(int group) { platform_group_ = group; }

void RateModel::Publish(const Deployment& deployment) {
  const Version version{deployment.number, published_->version().revision + 1};
  published_ = Snapshot::Compile(version, deployment).value();
  published_at_ = queue_.now();
  versions_in_use_.push_back(published_);
  for (const Server& server : published_->servers()) {
    if (std::find(server_names_.begin(), server_names_.end(), server.name) ==
        server_names_.end()) {
      server_names_.push_back(server.name);
    }
  }
  UpdateOracles();
}

// While live processes have different versions in force, each workspace is
// allowed the maximum rate and the maximum burst over all versions that are
// still in force anywhere.
void RateModel::UpdateOracles() {
  Version min_version = published_->version();
  for (const auto& process : processes_) {
    if (!process->alive || process->snapshot == nullptr) continue;
    min_version = std::min(min_version, process->snapshot->version());
  }
  std::erase_if(versions_in_use_, [&](const auto& snapshot) {
    return snapshot->version() < min_version;
  });
  std::map<std::string, TokenRate> sizes;
  for (const auto& snapshot : versions_in_use_) {
    for (const Workspace& workspace : snapshot->workspaces()) {
      TokenRate& size = sizes[workspace.name];
      size.rate = std::max(size.rate, workspace.rate);
      size.burst = std::max(size.burst, workspace.burst);
    }
  }
  for (const auto& [name, size] : sizes) {
    const auto [entry, added] = oracles_.try_emplace(name, size, queue_.now());
    if (!added) entry->second.Resize(size, queue_.now());
  }
}

RateModelReport RateModel::Report() const {
  RateModelReport report;
  for (const auto& [name, oracle] : oracles_) {
    report.tallies[name] = oracle.tally();
  }
  report.messages = messages_;
  report.bytes = bytes_;
  report.decision_latency_millis = decision_latency_millis_;
  return report;
}

}  // namespace wisteriarill
