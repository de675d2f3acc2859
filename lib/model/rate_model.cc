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
  unconverged_ = {published_};
  for (const Server& server : published_->servers()) {
    names_.push_back(server.name);
  }
  for (const std::string& name : names_) StartProcess(name, false);
  UpdateOracles();
}

RateModel::~RateModel() = default;

std::unique_ptr<RateLimiter> RateModel::MakeAdmission(
    const std::string& server) {
  if (options_.policy == RateDivisionPolicy::kStaticSplit) {
    return std::make_unique<StaticSplitRateLimiter>();
  }
  return std::make_unique<LeasingRateLimiter>(options_.rate_limiter, server);
}

void RateModel::StartProcess(const std::string& server, bool fresh) {
  auto process = std::make_unique<Process>();
  process->index = processes_.size();
  process->server = server;
  process->address = AddressOf(*published_, server);
  std::uniform_real_distribution<double> drift(-options_.drift_ppm,
                                               options_.drift_ppm);
  process->speed = 1.0 + drift(random_) / 1e6;
  const auto id = published_->FindServer(server);
  process->domain =
      published_->failure_domain(published_->server(*id).domain).name;
  const Instant local = LocalTime(*process);
  process->home =
      std::make_unique<RateShardOwner>(options_.owner, server, local);
  process->admission = MakeAdmission(server);
  process->probe = std::make_unique<ReachabilityProber>(server, random_());
  at_address_[process->address] = process.get();
  const std::size_t index = process->index;
  processes_.push_back(std::move(process));
  if (!fresh) Apply(processes_[index].get(), published_);
  std::uniform_int_distribution<std::int64_t> jitter(
      0, kModelGossipInterval.count());
  queue_.After(kTickInterval, [this, index] { Tick(index); });
  queue_.After(nanoseconds(jitter(random_)),
               [this, index] { GossipRound(index); });
  queue_.After(nanoseconds(jitter(random_)),
               [this, index] { ProbeRound(index); });
}

Instant RateModel::LocalTime(const Process& process) const {
  const double scaled =
      static_cast<double>(queue_.now().time_since_epoch().count()) *
      process.speed;
  return Instant(nanoseconds(static_cast<std::int64_t>(scaled)));
}

void RateModel::RunFor(nanoseconds length) {
  queue_.RunUntil(queue_.now() + length);
}

RateModel::Process* RateModel::FindAt(const std::string& address) {
  const auto found = at_address_.find(address);
  if (found == at_address_.end() || !found->second->alive) return nullptr;
  return found->second;
}

bool RateModel::Connected(const Process& a, const Process& b) const {
  if (!cut_) return true;
  const auto group = [this](const Process& process) {
    const auto found = groups_.find(process.server);
    return found == groups_.end() ? 0 : found->second;
  };
  return group(a) == group(b);
}

bool RateModel::ReachesPlatform(const Process& process) const {
  if (platform_group_ == kAllGroups) return true;
  const auto found = groups_.find(process.server);
  const int group = found == groups_.end() ? 0 : found->second;
  return group == platform_group_;
}

void RateModel::Deliver(Process* from, Process* to,
                        const std::function<void(Process*)>& deliver) {
  if (!to->alive) return;
  if (!Connected(*from, *to)) {
    if (hold_) held_.push_back([=, this] { Deliver(from, to, deliver); });
    return;
  }
  if (to->frozen_until > queue_.now()) {
    queue_.At(to->frozen_until, [=, this] { Deliver(from, to, deliver); });
    return;
  }
  deliver(to);
}

void RateModel::Post(Process* from, Process* to,
                     const std::function<void(Process*)>& deliver) {
  ++messages_;
  const bool near = from->domain == to->domain;
  queue_.After(near ? options_.near_delay : options_.far_delay,
               [=, this] { Deliver(from, to, deliver); });
}

void RateModel::Send(Process* from, const std::string& address,
                     const std::function<void(Process*)>& deliver) {
  Process* to = FindAt(address);
  if (to != nullptr) Post(from, to, deliver);
}

void RateModel::Count(const PeerMessage& message) {
  if (options_.count_bytes) bytes_ += EncodeFrame(message).size();
}

void RateModel::Apply(Process* process,
                      std::shared_ptr<const Snapshot> snapshot) {
  CheckInvariant(process->snapshot == nullptr ||
                     process->snapshot->version() < snapshot->version(),
                 "model_version_never_moves_back");
  const Instant local = LocalTime(*process);
  process->snapshot = snapshot;
  process->published = kNever;
  if (options_.policy != RateDivisionPolicy::kStaticSplit) {
    process->home->OnSnapshot(snapshot, local);
  }
  process->admission->OnSnapshot(std::move(snapshot), local);
  UpdateOracles();
}

void RateModel::Tick(std::size_t index) {
  Process* process = processes_[index].get();
  if (!process->alive) return;
  queue_.After(kTickInterval, [this, index] { Tick(index); });
  if (process->frozen_until > queue_.now()) return;
  process->admission->OnTick(LocalTime(*process));
  Flush(process);
}

void RateModel::Flush(Process* process) {
  const auto decisions = process->admission->TakeDecisions();
  for (const RateDecision& decision : decisions) {
    Decide(process, decision);
  }
  auto asks = process->admission->TakeRequests();
  for (OutgoingTokenRequest& ask : asks) {
    if (ask.owner == process->server) {
      AskOwnHome(process, ask.request);
      continue;
    }
    Count(ask.request);
    const TokenLeaseRequest message = std::move(ask.request);
    Send(process, ask.address, [=, this](Process* home) {
      const TokenLeaseReply answer =
          home->home->OnTokenRequest(message, LocalTime(*home));
      if (message.need == 0 && message.ahead == 0) return;
      Count(answer);
      Post(home, process, [=, this](Process* asker) {
        asker->admission->OnAnswer(answer, LocalTime(*asker));
        Flush(asker);
      });
    });
  }
}

// As in the daemon, a node's own parts need no message.
void RateModel::AskOwnHome(Process* process, const TokenLeaseRequest& ask) {
  const Instant local = LocalTime(*process);
  const TokenLeaseReply answer = process->home->OnTokenRequest(ask, local);
  if (ask.need == 0 && ask.ahead == 0) return;
  process->admission->OnAnswer(answer, local);
  Flush(process);
}

// A caller may still be connected to a process that was replaced.
RateModel::Process* RateModel::AnyProcessOf(const std::string& server) {
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

void RateModel::Decide(Process* process, const RateDecision& decision) {
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
  wait_millis_.push_back(
      std::chrono::duration<double, std::milli>(queue_.now() - call.entered)
          .count());
  calls_.erase(found);
}

void RateModel::Enter(const std::string& workspace, const std::string& server) {
  Process* process = AnyProcessOf(server);
  const auto oracle = oracles_.find(workspace);
  if (process == nullptr || oracle == oracles_.end()) return;
  oracle->second.OnOffered(queue_.now());
  const std::uint64_t id = ++last_call_;
  calls_[id] = Call{workspace, queue_.now(), process};
  process->admission->RequestToken(workspace, TicketId{id},
                                   LocalTime(*process));
  Flush(process);
}

void RateModel::NextCall(const std::string& workspace, double rate,
                         const std::vector<std::string>& servers, Instant end) {
  std::exponential_distribution<double> gap(rate);
  const auto wait = nanoseconds(static_cast<std::int64_t>(gap(random_) * 1e9));
  if (queue_.now() + wait > end) return;
  queue_.After(wait, [=, this] {
    Enter(workspace, servers[random_() % servers.size()]);
    NextCall(workspace, rate, servers, end);
  });
}

void RateModel::OfferCalls(const std::string& workspace, double rate,
                           const std::vector<std::string>& servers,
                           nanoseconds length) {
  NextCall(workspace, rate, servers, queue_.now() + length);
}

void RateModel::Kill(const std::string& server) {
  Process* process = FindAt(AddressOf(*published_, server));
  if (process == nullptr) return;
  process->alive = false;
  UpdateOracles();
}

void RateModel::Start(const std::string& server) {
  const std::string address = AddressOf(*published_, server);
  if (address.empty() || FindAt(address) != nullptr) return;
  StartProcess(server, true);
}

void RateModel::Freeze(const std::string& server, nanoseconds length) {
  Process* process = FindAt(AddressOf(*published_, server));
  if (process == nullptr) return;
  process->frozen_until = queue_.now() + length;
}

void RateModel::Replace(const std::string& server) {
  at_address_.erase(AddressOf(*published_, server));
  Start(server);
}

void RateModel::Partition(std::map<std::string, int> groups, bool hold) {
  groups_ = std::move(groups);
  cut_ = true;
  hold_ = hold;
}

void RateModel::Heal() {
  cut_ = false;
  std::vector<std::function<void()>> held = std::exchange(held_, {});
  for (const auto& deliver : held) deliver();
}

void RateModel::SetPlatformGroup(int group) { platform_group_ = group; }

void RateModel::Publish(const Deployment& deployment) {
  const Version version{deployment.number, published_->version().revision + 1};
  published_ = Snapshot::Compile(version, deployment).value();
  published_at_ = queue_.now();
  unconverged_.push_back(published_);
  for (const Server& server : published_->servers()) {
    if (std::find(names_.begin(), names_.end(), server.name) == names_.end()) {
      names_.push_back(server.name);
    }
  }
  UpdateOracles();
}

// Until every live process has a version, the promise is the greater of the
// sizes that are in force somewhere.
void RateModel::UpdateOracles() {
  Version least = published_->version();
  for (const auto& process : processes_) {
    if (!process->alive || process->snapshot == nullptr) continue;
    least = std::min(least, process->snapshot->version());
  }
  std::erase_if(unconverged_, [&](const auto& snapshot) {
    return snapshot->version() < least;
  });
  std::map<std::string, TokenRate> sizes;
  for (const auto& snapshot : unconverged_) {
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
  report.decision_latency_millis = wait_millis_;
  return report;
}

}  // namespace wisteriarill
