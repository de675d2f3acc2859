#include "wisteriarill/connection/answer_stream.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "wisteriarill/connection/call_table.h"

namespace wisteriarill {

BodyDigest::BodyDigest() : state_(XXH64_createState()) {
  XXH64_reset(static_cast<XXH64_state_t*>(state_), 0);
}

BodyDigest::~BodyDigest() {
  XXH64_freeState(static_cast<XXH64_state_t*>(state_));
}

void BodyDigest::Add(std::string_view bytes) {
  XXH64_update(static_cast<XXH64_state_t*>(state_), bytes.data(), bytes.size());
}

std::uint64_t BodyDigest::value() const {
  return XXH64_digest(static_cast<const XXH64_state_t*>(state_));
}

AnswerStream::AnswerStream(RequestId id, LinkId link, Sender send)
    : id_(id), send_(std::move(send)), link_(link) {}

void AnswerStream::Start(AnswerStart start) {
  const std::lock_guard lock(mutex_);
  start.id = id_;
  start_ = std::move(start);
  send_(link_, *start_);
}

void AnswerStream::SendPiece(AnswerPiece piece) {
  send_(link_, piece);
  unacknowledged_.push_back(std::move(piece));
}

bool AnswerStream::Write(std::string_view bytes, Instant deadline) {
  while (!bytes.empty()) {
    const std::string_view part = bytes.substr(0, kMaxBodyPieceBytes);
    std::unique_lock lock(mutex_);
    const auto has_credit = [&] {
      return cancelled_ ||
             written_ + part.size() <= received_ + kMaxInFlightBodyBytes;
    };
    const nanoseconds left = deadline - BootClock::now();
    if (!wakeup_.wait_for(lock, left, has_credit) || cancelled_) return false;
    AnswerPiece piece;
    piece.id = id_;
    piece.offset = written_;
    piece.bytes = part;
    digest_.Add(part);
    written_ += part.size();
    SendPiece(std::move(piece));
    bytes.remove_prefix(part.size());
  }
  return true;
}

void AnswerStream::Finish(bool complete) {
  const std::lock_guard lock(mutex_);
  finished_ = true;
  AnswerPiece last;
  last.id = id_;
  last.offset = written_;
  last.last = true;
  last.cut = !complete;
  last.digest = digest_.value();
  SendPiece(std::move(last));
}

void AnswerStream::DiscardReceived(std::uint64_t received) {
  received_ = std::max(received_, received);
  while (!unacknowledged_.empty()) {
    const AnswerPiece& oldest = unacknowledged_.front();
    if (oldest.last || oldest.offset + oldest.bytes.size() > received_) break;
    unacknowledged_.pop_front();
  }
}

void AnswerStream::OnCredit(std::uint64_t received) {
  {
    const std::lock_guard lock(mutex_);
    DiscardReceived(received);
  }
  wakeup_.notify_all();
}

void AnswerStream::Rebind(LinkId link, bool has_start, std::uint64_t received) {
  {
    const std::lock_guard lock(mutex_);
    link_ = link;
    DiscardReceived(received);
    if (start_.has_value() && !has_start) send_(link_, *start_);
    for (const AnswerPiece& piece : unacknowledged_) send_(link_, piece);
  }
  wakeup_.notify_all();
}

void AnswerStream::Cancel() {
  {
    const std::lock_guard lock(mutex_);
    cancelled_ = true;
  }
  wakeup_.notify_all();
}

bool AnswerStream::cancelled() const {
  const std::lock_guard lock(mutex_);
  return cancelled_;
}

bool AnswerStream::finished() const {
  const std::lock_guard lock(mutex_);
  return finished_;
}

LinkId AnswerStream::link() const {
  const std::lock_guard lock(mutex_);
  return link_;
}

}  // namespace wisteriarill
