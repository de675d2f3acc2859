#include "wisteriarill/version/config_manager.h"

#include <utility>

#include "wisteriarill/process/log.h"

namespace wisteriarill {
namespace {

constexpr std::size_t kMaxQueuedEvents = 8192;
constexpr std::size_t kMaxQueuedReads = 1024;
constexpr int kReadThreads = 2;
constexpr nanoseconds kPopTimeout = milliseconds(200);

}  // namespace

ConfigManager::ConfigManager(
    ConfigDisseminatorOptions options, std::uint64_t seed,
    std::function<std::unique_ptr<PlatformReader>()> make_reader,
    ConfigCallbacks callbacks)
    : disseminator_(std::move(options), seed, BootClock::now()),
      make_reader_(std::move(make_reader)),
      callbacks_(std::move(callbacks)),
      events_(kMaxQueuedEvents),
      watch_requests_(2),
      read_requests_(kMaxQueuedReads) {}

ConfigManager::~ConfigManager() {
  events_.Close();
  watch_requests_.Close();
  read_requests_.Close();
  for (std::thread& thread : threads_) thread.join();
}

void ConfigManager::Start() {
  threads_.emplace_back([this] { Run(); });
  threads_.emplace_back([this] { RunWatchThread(); });
  for (int i = 0; i < kReadThreads; ++i) {
    threads_.emplace_back([this] { RunReadThread(); });
  }
}

bool ConfigManager::OnPeerMessage(PeerTarget from, PeerMessage message) {
  return events_.TryPush(PeerEvent{std::move(from), std::move(message)});
}

void ConfigManager::OnTick() { events_.TryPush(TickEvent{}); }

void ConfigManager::SetLeaving() { events_.TryPush(LeavingEvent{}); }

ConfigView ConfigManager::view() const {
  const std::lock_guard lock(view_mutex_);
  return view_;
}

void ConfigManager::Run() {
  while (!events_.closed()) {
    std::optional<Event> event = events_.PopFor(kPopTimeout);
    if (event.has_value()) Handle(std::move(*event));
  }
}

void ConfigManager::Handle(Event event) {
  const Instant now = BootClock::now();
  if (auto* peer = std::get_if<PeerEvent>(&event)) {
    disseminator_.OnPeerMessage(peer->from, peer->message, now);
  } else if (auto* manifest = std::get_if<ManifestEvent>(&event)) {
    disseminator_.OnManifestRead(manifest->read, manifest->began, now);
  } else if (auto* chunk = std::get_if<ChunkEvent>(&event)) {
    disseminator_.OnChunkRead(chunk->digest, std::move(chunk->bytes), now);
  } else if (auto* vms = std::get_if<VmEvent>(&event)) {
    disseminator_.OnVmList(vms->list.revision, vms->list.leaving,
                           vms->list.listed, now);
  } else if (std::holds_alternative<LeavingEvent>(event)) {
    disseminator_.SetLeaving();
  } else {
    disseminator_.OnTick(now);
  }
  for (ConfigDisseminatorAction& action : disseminator_.TakeActions()) {
    Perform(std::move(action));
  }
  PublishView();
}

void ConfigManager::Perform(ConfigDisseminatorAction action) {
  if (auto* send = std::get_if<SendToPeer>(&action)) {
    callbacks_.send(send->target, send->message);
  } else if (auto* watch = std::get_if<WatchManifest>(&action)) {
    watch_requests_.TryPush(*watch);
  } else if (auto* chunk = std::get_if<ReadChunk>(&action)) {
    if (!read_requests_.TryPush(*chunk)) {
      disseminator_.OnChunkRead(
          chunk->digest,
          MakeError(ErrorKind::kUnavailable,
                    "the queue of platform reads is full",
                    "no action is needed, the read is retried"),
          BootClock::now());
    }
  } else if (std::holds_alternative<ReadVmList>(action)) {
    read_requests_.TryPush(ReadVmList{});
  } else if (auto* applied = std::get_if<VersionApplied>(&action)) {
    PublishView();
    callbacks_.on_version_applied(applied->snapshot);
  } else if (auto* vms = std::get_if<VmViewChanged>(&action)) {
    callbacks_.on_vms_leaving(vms->leaving);
  }
}

void ConfigManager::PublishView() {
  const Instant now = BootClock::now();
  ConfigView view{
      disseminator_.store().current(),   disseminator_.store().rejected(),
      disseminator_.store().candidate(), disseminator_.confirmed_at(),
      disseminator_.published_at(),      disseminator_.is_watcher(),
      disseminator_.IsReady(now),        disseminator_.IsIsolated(now),
      disseminator_.platform_reads()};
  {
    const std::lock_guard lock(view_mutex_);
    view_ = view;
  }
  callbacks_.on_view_changed(view);
}

void ConfigManager::RunWatchThread() {
  const std::unique_ptr<PlatformReader> reader = make_reader_();
  while (!watch_requests_.closed()) {
    const std::optional<WatchManifest> watch =
        watch_requests_.PopFor(kPopTimeout);
    if (!watch.has_value()) continue;
    const Instant began = BootClock::now();
    Result<ManifestRead> read = reader->ReadManifest(watch->after, watch->wait);
    events_.Push(ManifestEvent{std::move(read), began});
  }
}

void ConfigManager::RunReadThread() {
  const std::unique_ptr<PlatformReader> reader = make_reader_();
  while (!read_requests_.closed()) {
    const std::optional<ReadRequest> request =
        read_requests_.PopFor(kPopTimeout);
    if (!request.has_value()) continue;
    if (const auto* chunk = std::get_if<ReadChunk>(&*request)) {
      events_.Push(ChunkEvent{chunk->digest, reader->ReadChunk(chunk->digest)});
      continue;
    }
    Result<VmList> list = reader->ReadVmList();
    if (!list) {
      LogEvent(LogLevel::kDebug, "vm_list_read_failed").With(list.error());
      continue;
    }
    events_.Push(VmEvent{std::move(list).value()});
  }
}

}  // namespace wisteriarill
