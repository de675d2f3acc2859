#include "wisteriarill/mesh/response_relay.h"

#include <algorithm>
#include <array>
#include <utility>

namespace wisteriarill {
namespace {

/// Bytes that are read at once: no more than the answer has.
constexpr std::size_t kLeastPiece = 4U << 10;
constexpr std::size_t kMostPiece = 64U << 10;
/// An answer that has begun is carried on for this long after its deadline.
constexpr seconds kLateBody{5};
/// An answer that is not passed on is read up to this size and time.
constexpr std::size_t kMostDrained = 4096;
constexpr milliseconds kDrainTimeout{20};

std::size_t PieceSize(const HttpResponseHead& head) {
  if (!head.length) return kMostPiece;
  return std::clamp<std::uint64_t>(*head.length, kLeastPiece, kMostPiece);
}

// One answer's turns on the VM's link.
class LinkTurns {
 public:
  LinkTurns(LinkPacer* link, std::uint64_t length)
      : link_(link), promised_(link == nullptr ? 0 : length) {
    if (link_ != nullptr) link_->ReserveBytes(promised_);
  }
  ~LinkTurns() {
    if (link_ != nullptr) link_->ReleaseBytes(promised_);
  }
  LinkTurns(const LinkTurns&) = delete;
  LinkTurns& operator=(const LinkTurns&) = delete;

  // Returns how long the next `bytes` wait before they are written.
  nanoseconds Take(std::uint64_t bytes) {
    if (link_ == nullptr) return nanoseconds(0);
    // An answer without a length promises each piece as it comes.
    if (promised_ < bytes) {
      link_->ReserveBytes(bytes - promised_);
      promised_ = bytes;
    }
    promised_ -= bytes;
    return link_->ScheduleSend(bytes, BootClock::now());
  }

 private:
  LinkPacer* link_;
  std::uint64_t promised_;
};

AttemptResult BrokenResult(const ServerExchange& sink, const Error& error,
                           int status) {
  AttemptResult result;
  result.reached_server = true;
  result.status = status;
  if (sink.client_disconnected()) {
    result.outcome = AttemptOutcome::kClientDisconnected;
    result.reason = "reader-left";
    return result;
  }
  result.outcome = sink.response_started() ? AttemptOutcome::kTruncated : AttemptOutcome::kUnknown;
  result.reason =
      error.kind == ErrorKind::kTimeout ? "answer-stalled" : "answer-cut";
  return result;
}

}  // namespace

std::string_view ToString(AttemptOutcome end) {
  switch (end) {
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

nanoseconds RemainingTime(Instant deadline) {
  return std::max<nanoseconds>(deadline - BootClock::now(), milliseconds(1));
}

Task<void> DrainResponse(ClientConnection* connection) {
  std::string piece(kMostDrained, '\0');
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
  std::string held;
  std::string piece(PieceSize(head), '\0');
  bool begun = false;
  const Instant head_came = BootClock::now();
  std::uint64_t response_bytes = 0;
  LinkTurns turns(options.link_pacer, head.length.value_or(0));
  const auto measure = [&](AttemptResult* result) {
    result->response_bytes = response_bytes;
    result->relay_time =
        std::chrono::duration_cast<milliseconds>(BootClock::now() - head_came);
  };
  for (;;) {
    const Result<std::size_t> read = co_await connection->ReadBody(
        piece.data(), piece.size(), RemainingTime(deadline + kLateBody));
    if (!read) {
      AttemptResult broken = BrokenResult(*sink, read.error(), status);
      measure(&broken);
      co_return broken;
    }
    if (read.value() == 0) break;
    response_bytes += read.value();
    const std::string_view bytes(piece.data(), read.value());
    const nanoseconds wait = turns.Take(bytes.size());
    if (!begun && held.size() + bytes.size() <= options.held_bytes) {
      held.append(bytes);
      continue;
    }
    if (wait.count() > 0) {
      co_await SleepFor(wait);
    }
    if (!begun) {
      begun = true;
      co_await sink->Begin(std::move(head));
      co_await sink->Write(held);
      held = std::string();
    }
    if (!co_await sink->Write(bytes)) break;
  }
  if (!begun) {
    // NOLINTNEXTLINE(bugprone-use-after-move): moved only where begun is set.
    if (!head.length) head.length = held.size();
    co_await sink->Begin(std::move(head));
    co_await sink->Write(held);
  }
  co_await sink->Finish();
  AttemptResult result;
  result.reached_server = true;
  result.status = status;
  result.outcome = sink->client_disconnected() ? AttemptOutcome::kClientDisconnected : AttemptOutcome::kDelivered;
  result.reason = sink->client_disconnected() ? "reader-left" : "ok";
  measure(&result);
  co_return result;
}

}  // namespace wisteriarill
