#include "wisteriarill/model/dissemination_model.h"

#include <algorithm>
#include <utility>

namespace wisteriarill {
namespace {

constexpr nanoseconds kTick = milliseconds(50);
constexpr nanoseconds kWatchPoll = milliseconds(20);
constexpr nanoseconds kStep = milliseconds(5);
constexpr std::size_t kSeeds = 8;

}  // namespace

struct DisseminationModel::Process {
  std::size_t slot = 0;
  std::uint64_t life = 0;
  std::unique_ptr<ConfigDisseminator> spread;
};

DisseminationModel::DisseminationModel(DisseminationModelOptions options,
                                       const Deployment& deployment)
    : options_(std::move(options)), random_(options_.seed) {
  queue_.RunUntil(Instant{} + std::chrono::hours(1));
  const auto snapshot = Snapshot::Compile({1, 1}, deployment).value();
  names_ = snapshot->servers();
  for (const Server& server : names_) {
    by_address_[server.node_address] = domains_.size();
    domains_.push_back(snapshot->failure_domain(server.domain).name);
  }
  processes_.resize(names_.size());
  for (std::size_t i = 0; i < names_.size(); ++i) StartProcess(i);
}

DisseminationModel::~DisseminationModel() = default;

void DisseminationModel::StartProcess(std::size_t slot) {
  ConfigDisseminatorOptions options = options_.disseminator;
  options.self = names_[slot].name;
  options.address = names_[slot].node_address;
  options.failure_domain = domains_[slot];
  options.fleet_size = static_cast<std::uint32_t>(names_.size());
  for (std::size_t i = 0; i < kSeeds; ++i) {
    options.seeds.push_back(names_[random_() % names_.size()].node_address);
  }
  auto process = std::make_unique<Process>();
  process->slot = slot;
  process->life = ++last_life_;
  process->spread = std::make_unique<ConfigDisseminator>(
      std::move(options), random_(), queue_.now());
  const std::uint64_t life = process->life;
  processes_[slot] = std::move(process);
  queue_.After(kTick * (random_() % 100) / 100,
               [this, slot, life] { Tick(slot, life); });
}

DisseminationModel::Process* DisseminationModel::Alive(std::size_t slot,
                                                       std::uint64_t life) {
  Process* process = processes_[slot].get();
  return process->life == life ? process : nullptr;
}

void DisseminationModel::Tick(std::size_t slot, std::uint64_t life) {
  Process* process = Alive(slot, life);
  if (process == nullptr) return;
  queue_.After(kTick, [this, slot, life] { Tick(slot, life); });
  process->spread->OnTick(queue_.now());
  Flush(process);
}

void DisseminationModel::Flush(Process* process) {
  for (const ConfigDisseminatorAction& action :
       process->spread->TakeActions()) {
    Perform(process, action);
  }
}

bool DisseminationModel::CountRead() {
  const auto second =
      std::chrono::duration_cast<seconds>(queue_.now().time_since_epoch())
          .count();
  if (second != second_) {
    second_ = second;
    in_second_ = 0;
  }
  ++counts_.platform_reads;
  ++in_second_;
  counts_.max_reads_per_second =
      std::max(counts_.max_reads_per_second, in_second_);
  if (platform_up_ && in_second_ <= options_.platform_budget) return true;
  ++counts_.refused_reads;
  return false;
}

void DisseminationModel::Perform(Process* process,
                                 const ConfigDisseminatorAction& action) {
  const std::size_t slot = process->slot;
  const std::uint64_t life = process->life;
  if (const auto* send = std::get_if<SendToPeer>(&action)) {
    SendMessage(process, *send);
  } else if (const auto* watch = std::get_if<WatchManifest>(&action)) {
    const Instant began = queue_.now();
    const Instant end = began + watch->wait;
    const std::uint64_t after = watch->after;
    queue_.After(options_.platform_delay, [=, this] {
      if (!CountRead()) {
        Process* asker = Alive(slot, life);
        if (asker == nullptr) return;
        asker->spread->OnManifestRead(
            MakeError(ErrorKind::kRefused, "refused", "wait"), began,
            queue_.now());
        Flush(asker);
        return;
      }
      AnswerWatch(slot, life, after, began, end);
    });
  } else if (const auto* chunk = std::get_if<ReadChunk>(&action)) {
    const std::string digest = chunk->digest;
    queue_.After(options_.platform_delay,
                 [=, this] { AnswerChunk(slot, life, digest); });
  } else if (std::holds_alternative<ReadVmList>(action)) {
    CountRead();
  }
}

void DisseminationModel::SendMessage(Process* from, const SendToPeer& send) {
  std::size_t slot = 0;
  if (send.target.link.has_value()) {
    slot = send.target.link->value;
  } else {
    const auto found = by_address_.find(send.target.address);
    if (found == by_address_.end()) return;
    slot = found->second;
  }
  ++counts_.messages;
  counts_.bytes += EncodeFrame(send.message).size();
  const std::size_t sender = from->slot;
  const bool near = domains_[slot] == domains_[sender];
  const PeerMessage message = send.message;
  queue_.After(near ? options_.near_delay : options_.far_delay, [=, this] {
    Process* to = processes_[slot].get();
    to->spread->OnPeerMessage({LinkId{sender}, ""}, message, queue_.now());
    Flush(to);
  });
}

void DisseminationModel::AnswerWatch(std::size_t slot, std::uint64_t life,
                                     std::uint64_t after, Instant began,
                                     Instant end) {
  const bool changed = revision_ > after;
  if (!changed && queue_.now() < end && platform_up_) {
    queue_.After(kWatchPoll,
                 [=, this] { AnswerWatch(slot, life, after, began, end); });
    return;
  }
  Process* process = Alive(slot, life);
  if (process == nullptr) return;
  ManifestRead read;
  read.changed = changed;
  read.revision = revision_;
  read.published_age =
      std::chrono::duration_cast<microseconds>(queue_.now() - published_);
  if (changed) read.bytes = release_.manifest;
  process->spread->OnManifestRead(read, began, queue_.now());
  Flush(process);
}

void DisseminationModel::AnswerChunk(std::size_t slot, std::uint64_t life,
                                     const std::string& digest) {
  const bool served = CountRead();
  Process* process = Alive(slot, life);
  if (process == nullptr) return;
  const auto chunk = release_.chunks.find(digest);
  if (served && chunk != release_.chunks.end()) {
    process->spread->OnChunkRead(digest, chunk->second, queue_.now());
  } else {
    process->spread->OnChunkRead(
        digest, MakeError(ErrorKind::kRefused, "refused", "wait"),
        queue_.now());
  }
  Flush(process);
}

void DisseminationModel::Publish(const Deployment& deployment) {
  release_ = PackDeployment(deployment).value();
  number_ = deployment.number;
  ++revision_;
  published_ = queue_.now();
}

std::optional<nanoseconds> DisseminationModel::RunUntilConverged(
    nanoseconds limit) {
  const Instant began = queue_.now();
  const Version wanted{number_, revision_};
  std::size_t behind = 0;
  while (queue_.now() - began < limit) {
    while (behind < processes_.size() &&
           processes_[behind]->spread->store().version() >= wanted) {
      ++behind;
    }
    if (behind == processes_.size()) return queue_.now() - began;
    queue_.RunUntil(queue_.now() + kStep);
  }
  return std::nullopt;
}

void DisseminationModel::RestartAll() {
  for (std::size_t i = 0; i < processes_.size(); ++i) StartProcess(i);
}

std::size_t DisseminationModel::stored_bytes() const {
  return processes_.front()->spread->store().stored_bytes();
}

}  // namespace wisteriarill
