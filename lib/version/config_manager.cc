#include "wisteriarill/version/config_manager.h"

#include <utility>

#include "wisteriarill/process/log.h"

namespace wisteriarill {
namespace {

constexpr std::size_t kEvents = 8192;
constexpr std::size_t kReads = 1024;
constexpr int kReadThreads = 2;
constexpr nanoseconds kWait = milliseconds(200);

}  // namespace

ConfigManager::ConfigManager(
    ConfigDisseminatorOptions options, std::uint64_t seed,
    std::function<std::unique_ptr<PlatformReader>()> make_reader,
    ConfigCallbacks listener)
    : spread_(std::move(options), seed, BootClock::now()),
      make_reader_(std::move(make_reader)),
      listener_(std::move(listener)),
      events_(kEvents),
      watches_(2),
      reads_(kReads) {}

ConfigManager::~ConfigManager() {
  events_.Close();
  watches_.Close();
  reads_.Close();
  for (std::thread& thread : threads_) thread.join();
}

void ConfigManager::Start() {
  threads_.emplace_back([this] { Run(); });
  threads_.emplace_back([this] { RunWatch(); });
  for (int i = 0; i < kReadThreads; ++i) {
    threads_.emplace_back([this] { RunReads(); });
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
    std::optional<Event> event = events_.PopFor(kWait);
    if (event.has_value()) Handle(std::move(*event));
  }
}

void ConfigManager::Handle(Event event) {
  const Instant now = BootClock::now();
  if (auto* peer = std::get_if<PeerEvent>(&event)) {
    spread_.OnPeerMessage(peer->from, peer->message, now);
  } else if (auto* manifest = std::get_if<ManifestEvent>(&event)) {
    spread_.OnManifestRead(manifest->read, manifest->began, now);
  } else if (auto* chunk = std::get_if<ChunkEvent>(&event)) {
    spread_.OnChunkRead(chunk->digest, std::move(chunk->bytes), now);
  } else if (auto* vms = std::get_if<VmEvent>(&event)) {
    spread_.OnVmList(vms->list.revision, vms->list.leaving, vms->list.listed,
                     now);
  } else if (std::holds_alternative<LeavingEvent>(event)) {
    spread_.SetLeaving();
  } else {
    spread_.OnTick(now);
  }
  for (ConfigDisseminatorAction& action : spread_.TakeActions()) {
    Perform(std::move(action));
  }
  PublishView();
}

void ConfigManager::Perform(ConfigDisseminatorAction action) {
  if (auto* send = std::get_if<SendToPeer>(&action)) {
    listener_.send(send->target, send->message);
  } else if (auto* watch = std::get_if<WatchManifest>(&action)) {
    watches_.TryPush(*watch);
  } else if (auto* chunk = std::get_if<ReadChunk>(&action)) {
    if (!reads_.TryPush(*chunk)) {
      spread_.OnChunkRead(
          chunk->digest,
          MakeError(ErrorKind::kUnavailable, "too many platform reads wait",
                    "it is read again by itself"),
          BootClock::now());
    }
  } else if (std::holds_alternative<ReadVmList>(action)) {
    reads_.TryPush(ReadVmList{});
  } else if (auto* applied = std::get_if<VersionApplied>(&action)) {
    PublishView();
    listener_.on_version_applied(applied->snapshot);
  } else if (auto* vms = std::get_if<VmViewChanged>(&action)) {
    listener_.on_vms_leaving(vms->leaving);
  }
}

void ConfigManager::PublishView() {
  const Instant now = BootClock::now();
  ConfigView view{spread_.store().current(),   spread_.store().rejected(),
                  spread_.store().candidate(), spread_.confirmed_at(),
                  spread_.published_at(),      spread_.watches(),
                  spread_.IsReady(now),        spread_.IsIsolated(now),
                  spread_.platform_reads()};
  {
    const std::lock_guard lock(view_mutex_);
    view_ = view;
  }
  listener_.on_view_changed(view);
}

void ConfigManager::RunWatch() {
  const std::unique_ptr<PlatformReader> reader = make_reader_();
  while (!watches_.closed()) {
    const std::optional<WatchManifest> watch = watches_.PopFor(kWait);
    if (!watch.has_value()) continue;
    const Instant began = BootClock::now();
    Result<ManifestRead> read = reader->ReadManifest(watch->after, watch->wait);
    events_.Push(ManifestEvent{std::move(read), began});
  }
}

void ConfigManager::RunReads() {
  const std::unique_ptr<PlatformReader> reader = make_reader_();
  while (!reads_.closed()) {
    const std::optional<ReadRequest> request = reads_.PopFor(kWait);
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
