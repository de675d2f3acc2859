#include "wisteriarill/model/dissemination_model.h"

#include <algorithm>
#include <utility>

namespace wisteriarill {
namespace {

constexpr nanoseconds kTickInterval = milliseconds(50);
constexpr nanoseconds kWatchPollInterval = milliseconds(20);
constexpr nanoseconds kConvergencePollInterval = milliseconds(5);
constexpr std::size_t kSeedCount = 8;

}  // namespace

struct DisseminationModel::Process {
  std::size_t index = 0;
  std::uint64_t instance = 0;
  std::unique_ptr<ConfigDisseminator> disseminator;
};

DisseminationModel::DisseminationModel(DisseminationModelOptions options,
                                       const Deployment& deployment)
    : options_(std::move(options)), random_(options_.seed) {
  queue_.RunUntil(Instant{} + std::chrono::hours(1));
  const auto snapshot = Snapshot::Compile({1, 1}, deployment).value();
  servers_ = snapshot->servers();
  for (const Server& server : servers_) {
    index_by_address_[server.node_address] = failure_domains_.size();
    failure_domains_.push_back(snapshot->failure_domain(server.domain).name);
  }
  processes_.resize(servers_.size());
  for (std::size_t i = 0; i < servers_.size(); ++i) StartProcess(i);
}

DisseminationModel::~DisseminationModel() = default;

void DisseminationModel::StartProcess(std::size_t index) {
  ConfigDisseminatorOptions options = options_.disseminator;
  options.self = servers_[index].name;
  options.address = servers_[index].node_address;
  options.failure_domain = failure_domains_[index];
  options.fleet_size = static_cast<std::uint32_t>(servers_.size());
  for (std::size_t i = 0; i < kSeedCount; ++i) {
    options.seeds.push_back(servers_[random_() % servers_.size()].node_address);
  }
  auto process = std::make_unique<Process>();
  process->index = index;
  process->instance = ++last_instance_;
  process->disseminator = std::make_unique<ConfigDisseminator>(
      std::move(options), random_(), queue_.now());
  const std::uint64_t instance = process->instance;
  processes_[index] = std::move(process);
  queue_.ScheduleAfter(kTickInterval * (random_() % 100) / 100,
                       [this, index, instance] { Tick(index, instance); });
}

DisseminationModel::Process* DisseminationModel::FindInstance(
    std::size_t index, std::uint64_t instance) {
  Process* process = processes_[index].get();
  return process->instance == instance ? process : nullptr;
}

void DisseminationModel::Tick(std::size_t index, std::uint64_t instance) {
  Process* process = FindInstance(index, instance);
  if (process == nullptr) return;
  queue_.ScheduleAfter(kTickInterval,
                       [this, index, instance] { Tick(index, instance); });
  process->disseminator->OnTick(queue_.now());
  PerformActions(process);
}

void DisseminationModel::PerformActions(Process* process) {
  for (const ConfigDisseminatorAction& action :
       process->disseminator->TakeActions()) {
    Perform(process, action);
  }
}

bool DisseminationModel::AdmitPlatformRead() {
  const auto second =
      std::chrono::duration_cast<seconds>(queue_.now().time_since_epoch())
          .count();
  if (second != current_second_) {
    current_second_ = second;
    reads_this_second_ = 0;
  }
  ++counts_.platform_reads;
  ++reads_this_second_;
  counts_.max_reads_per_second =
      std::max(counts_.max_reads_per_second, reads_this_second_);
  if (platform_up_ && reads_this_second_ <= options_.platform_reads_per_second)
    return true;
  ++counts_.refused_reads;
  return false;
}

void DisseminationModel::Perform(Process* process,
                                 const ConfigDisseminatorAction& action) {
  const std::size_t index = process->index;
  const std::uint64_t instance = process->instance;
  if (const auto* send = std::get_if<SendToPeer>(&action)) {
    SendMessage(process, *send);
  } else if (const auto* watch = std::get_if<WatchManifest>(&action)) {
    const Instant began = queue_.now();
    const Instant end = began + watch->wait;
    const std::uint64_t after = watch->after;
    queue_.ScheduleAfter(options_.platform_delay, [=, this] {
      if (!AdmitPlatformRead()) {
        Process* requester = FindInstance(index, instance);
        if (requester == nullptr) return;
        requester->disseminator->OnManifestRead(
            MakeError(ErrorKind::kRefused, "refused", "wait"), began,
            queue_.now());
        PerformActions(requester);
        return;
      }
      CompleteWatch(index, instance, after, began, end);
    });
  } else if (const auto* chunk = std::get_if<ReadChunk>(&action)) {
    const std::string digest = chunk->digest;
    queue_.ScheduleAfter(options_.platform_delay, [=, this] {
      CompleteChunkRead(index, instance, digest);
    });
  } else if (std::holds_alternative<ReadVmList>(action)) {
    AdmitPlatformRead();
  }
}

void DisseminationModel::SendMessage(Process* from, const SendToPeer& send) {
  std::size_t index = 0;
  if (send.target.link.has_value()) {
    index = send.target.link->value;
  } else {
    const auto found = index_by_address_.find(send.target.address);
    if (found == index_by_address_.end()) return;
    index = found->second;
  }
  ++counts_.messages;
  counts_.bytes += EncodeFrame(send.message).size();
  const std::size_t sender = from->index;
  const bool same_domain = failure_domains_[index] == failure_domains_[sender];
  const PeerMessage message = send.message;
  queue_.ScheduleAfter(
      same_domain ? options_.same_domain_delay : options_.cross_domain_delay,
      [=, this] {
        Process* to = processes_[index].get();
        to->disseminator->OnPeerMessage({LinkId{sender}, ""}, message,
                                        queue_.now());
        PerformActions(to);
      });
}

void DisseminationModel::CompleteWatch(std::size_t index,
                                       std::uint64_t instance,
                                       std::uint64_t after, Instant began,
                                       Instant end) {
  const bool changed = revision_ > after;
  if (!changed && queue_.now() < end && platform_up_) {
    queue_.ScheduleAfter(kWatchPollInterval, [=, this] {
      CompleteWatch(index, instance, after, began, end);
    });
    return;
  }
  Process* process = FindInstance(index, instance);
  if (process == nullptr) return;
  ManifestRead read;
  read.changed = changed;
  read.revision = revision_;
  read.published_age =
      std::chrono::duration_cast<microseconds>(queue_.now() - published_at_);
  if (changed) read.bytes = release_.manifest;
  process->disseminator->OnManifestRead(read, began, queue_.now());
  PerformActions(process);
}

void DisseminationModel::CompleteChunkRead(std::size_t index,
                                           std::uint64_t instance,
                                           const std::string& digest) {
  const bool admitted = AdmitPlatformRead();
  Process* process = FindInstance(index, instance);
  if (process == nullptr) return;
  const auto chunk = release_.chunks.find(digest);
  if (admitted && chunk != release_.chunks.end()) {
    process->disseminator->OnChunkRead(digest, chunk->second, queue_.now());
  } else {
    process->disseminator->OnChunkRead(
        digest, MakeError(ErrorKind::kRefused, "refused", "wait"),
        queue_.now());
  }
  PerformActions(process);
}

void DisseminationModel::Publish(const Deployment& deployment) {
  release_ = PackDeployment(deployment).value();
  published_number_ = deployment.number;
  ++revision_;
  published_at_ = queue_.now();
}

std::optional<nanoseconds> DisseminationModel::RunUntilConverged(
    nanoseconds limit) {
  const Instant began = queue_.now();
  const Version wanted{published_number_, revision_};
  std::size_t converged_count = 0;
  while (queue_.now() - began < limit) {
    while (converged_count < processes_.size() &&
           processes_[converged_count]->disseminator->store().version() >=
               wanted) {
      ++converged_count;
    }
    if (converged_count == processes_.size()) return queue_.now() - began;
    queue_.RunUntil(queue_.now() + kConvergencePollInterval);
  }
  return std::nullopt;
}

void DisseminationModel::RestartAll() {
  for (std::size_t i = 0; i < processes_.size(); ++i) StartProcess(i);
}

std::size_t DisseminationModel::stored_bytes() const {
  return processes_.front()->disseminator->store().stored_bytes();
}

}  // namespace wisteriarill
