#include "wisteriarill/mesh/response_relay.h"

#include <algorithm>
#include <array>
#include <utility>

namespace wisteriarill {
namespace {

/// Bounds of the read buffer. Within them it has the length of the response.
constexpr std::size_t kMinReadSize = 4U << 10;
constexpr std::size_t kMaxReadSize = 64U << 10;
/// A response that has started may go on for this long after the deadline,
/// while its bytes still come.
constexpr seconds kBodyGracePeriod{5};
/// One that is only buffered may be completed for this long. Then the client is
/// told that there is none.
constexpr milliseconds kBufferedGracePeriod{150};
/// After the deadline, a response has stopped if less than kMinProgressBytes of
/// it came in this time. Callers need an end within half a second.
constexpr milliseconds kMaxStall{350};
constexpr std::size_t kMinProgressBytes = 1U << 10;
/// Limits for reading a response that is not passed on.
constexpr std::size_t kMaxDrainedBytes = 4096;
constexpr milliseconds kDrainTimeout{20};

std::size_t ReadBufferSize(const HttpResponseHead& head) {
  if (!head.length) return kMaxReadSize;
  return std::clamp<std::uint64_t>(*head.length, kMinReadSize, kMaxReadSize);
}

// Until when the rest of a response is read.
class ReadDeadline {
 public:
  explicit ReadDeadline(Instant deadline)
      : deadline_(deadline), progress_at_(BootClock::now()) {}

  Instant At(bool started) const {
    const Instant buffered_end = deadline_ + kBufferedGracePeriod;
    if (!started) return buffered_end;
    return std::min<Instant>(
        deadline_ + kBodyGracePeriod,
        std::max<Instant>(buffered_end, progress_at_ + kMaxStall));
  }
  void OnRead(std::size_t bytes) {
    unreported_bytes_ += bytes;
    if (unreported_bytes_ < kMinProgressBytes) return;
    unreported_bytes_ = 0;
    progress_at_ = BootClock::now();
  }
  // Records that nothing was read since `began`, because the client or this
  // VM's link took no more.
  void OnPause(Instant began) { progress_at_ += BootClock::now() - began; }

 private:
  Instant deadline_;
  Instant progress_at_;
  std::size_t unreported_bytes_ = 0;
};

// The reservation of one response at the pacer of the VM's link. What is not
// sent is released in the end.
class LinkReservation {
 public:
  LinkReservation(LinkPacer* pacer, std::uint64_t length)
      : pacer_(pacer), reserved_(pacer == nullptr ? 0 : length) {
    if (pacer_ != nullptr) pacer_->ReserveBytes(reserved_);
  }
  ~LinkReservation() {
    if (pacer_ != nullptr) pacer_->ReleaseBytes(reserved_);
  }
  LinkReservation(const LinkReservation&) = delete;
  LinkReservation& operator=(const LinkReservation&) = delete;

  // Returns how long to wait before the next `bytes` are written.
  nanoseconds TakeDelay(std::uint64_t bytes) {
    if (pacer_ == nullptr) return nanoseconds(0);
    // A response of unknown length reserves each piece when it arrives.
    if (reserved_ < bytes) {
      pacer_->ReserveBytes(bytes - reserved_);
      reserved_ = bytes;
    }
    reserved_ -= bytes;
    return pacer_->ScheduleSend(bytes, BootClock::now());
  }

 private:
  LinkPacer* pacer_;
  std::uint64_t reserved_;
};

AttemptResult InterruptedResult(const ServerExchange& sink, const Error& error,
                                int status) {
  AttemptResult result;
  result.reached_server = true;
  result.status = status;
  if (sink.client_disconnected()) {
    result.outcome = AttemptOutcome::kClientDisconnected;
    result.reason = "reader-left";
    return result;
  }
  result.outcome = sink.response_started() ? AttemptOutcome::kTruncated
                                           : AttemptOutcome::kUnknown;
  result.reason =
      error.kind == ErrorKind::kTimeout ? "answer-stalled" : "answer-cut";
  return result;
}

}  // namespace

std::string_view ToString(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kDelivered:
      return "delivered";
    case AttemptOutcome::kNotRun:
      return "not-run";
    case AttemptOutcome::kFailed:
      return "failed";
    case AttemptOutcome::kUnknown:
      return "unknown";
    case AttemptOutcome::kTruncated:
      return "cut";
    case AttemptOutcome::kClientDisconnected:
      return "gone";
    case AttemptOutcome::kDeadlinePassed:
      return "late";
  }
  return "unknown";
}

Task<void> DrainResponse(ClientConnection* connection) {
  std::string piece(kMaxDrainedBytes, '\0');
  const Result<std::size_t> read =
      co_await connection->ReadBody(piece.data(), piece.size(), kDrainTimeout);
  if (!read || read.value() == 0) co_return;
  const Result<std::size_t> end =
      co_await connection->ReadBody(piece.data(), piece.size(), kDrainTimeout);
  if (!end || end.value() > 0) connection->Close();
}

Task<AttemptResult> RelayResponse(ClientConnection* connection,
                                  HttpResponseHead head, ServerExchange* sink,
                                  RelayOptions options, Instant deadline) {
  const int status = head.status;
  std::string buffered;
  std::string piece(ReadBufferSize(head), '\0');
  bool started = false;
  const Instant head_received = BootClock::now();
  std::uint64_t response_bytes = 0;
  LinkReservation reservation(options.link_pacer, head.length.value_or(0));
  const auto add_measurements = [&](AttemptResult* result) {
    result->response_bytes = response_bytes;
    result->relay_time = std::chrono::duration_cast<milliseconds>(
        BootClock::now() - head_received);
  };
  ReadDeadline deadline_of_rest(deadline);
  for (;;) {
    const Instant read_deadline = deadline_of_rest.At(started);
    // RemainingTime is never zero, so a server that sends bytes without end
    // would otherwise be read forever.
    if (BootClock::now() >= read_deadline) connection->Close();
    const Result<std::size_t> read = co_await connection->ReadBody(
        piece.data(), piece.size(), RemainingTime(read_deadline));
    if (!read) {
      AttemptResult interrupted =
          InterruptedResult(*sink, read.error(), status);
      add_measurements(&interrupted);
      co_return interrupted;
    }
    if (read.value() == 0) break;
    response_bytes += read.value();
    deadline_of_rest.OnRead(read.value());
    const Instant read_ended = BootClock::now();
    const std::string_view bytes(piece.data(), read.value());
    const nanoseconds wait = reservation.TakeDelay(bytes.size());
    if (!started &&
        buffered.size() + bytes.size() <= options.max_buffered_bytes) {
      buffered.append(bytes);
      continue;
    }
    if (wait.count() > 0) {
      co_await SleepFor(wait);
    }
    if (!started) {
      started = true;
      co_await sink->Begin(std::move(head));
      co_await sink->Write(buffered);
      buffered = std::string();
    }
    if (!co_await sink->Write(bytes)) break;
    deadline_of_rest.OnPause(read_ended);
  }
  if (!started) {
    // NOLINTNEXTLINE(bugprone-use-after-move): moved only where started is set.
    if (!head.length) head.length = buffered.size();
    co_await sink->Begin(std::move(head));
    co_await sink->Write(buffered);
  }
  co_await sink->Finish();
  AttemptResult result;
  result.reached_server = true;
  result.status = status;
  result.outcome = sink->client_disconnected()
                       ? AttemptOutcome::kClientDisconnected
                       : AttemptOutcome::kDelivered;
  result.reason = sink->client_disconnected() ? "reader-left" : "ok";
  add_measurements(&result);
  co_return result;
}

}  // namespace wisteriarill
