#include "wisteriarill/connection/response_stream.h"

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

ResponseStream::ResponseStream(RequestId id, LinkId link, Sender send)
    : id_(id), send_(std::move(send)), link_(link) {}

void ResponseStream::Start(ResponseStart start) {
  const std::lock_guard lock(mutex_);
  start.id = id_;
  start_ = std::move(start);
  send_(link_, *start_);
}

void ResponseStream::SendPiece(ResponsePiece piece) {
  send_(link_, piece);
  unacknowledged_.push_back(std::move(piece));
}

bool ResponseStream::Write(std::string_view bytes, Instant deadline) {
  while (!bytes.empty()) {
    const std::string_view part = bytes.substr(0, kMaxBodyPieceBytes);
    std::unique_lock lock(mutex_);
    const auto has_credit = [&] {
      return cancelled_ ||
             written_ + part.size() <= received_ + kMaxInFlightBodyBytes;
    };
    const nanoseconds left = deadline - BootClock::now();
    if (!wakeup_.wait_for(lock, left, has_credit) || cancelled_) return false;
    ResponsePiece piece;
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

void ResponseStream::Finish(bool complete) {
  const std::lock_guard lock(mutex_);
  finished_ = true;
  ResponsePiece last;
  last.id = id_;
  last.offset = written_;
  last.last = true;
  last.truncated = !complete;
  last.digest = digest_.value();
  SendPiece(std::move(last));
}

void ResponseStream::DiscardReceived(std::uint64_t received) {
  received_ = std::max(received_, received);
  while (!unacknowledged_.empty()) {
    const ResponsePiece& oldest = unacknowledged_.front();
    if (oldest.last || oldest.offset + oldest.bytes.size() > received_) break;
    unacknowledged_.pop_front();
  }
}

void ResponseStream::OnCredit(std::uint64_t received) {
  {
    const std::lock_guard lock(mutex_);
    DiscardReceived(received);
  }
  wakeup_.notify_all();
}

void ResponseStream::Rebind(LinkId link, bool has_start,
                            std::uint64_t received) {
  {
    const std::lock_guard lock(mutex_);
    link_ = link;
    DiscardReceived(received);
    if (start_.has_value() && !has_start) send_(link_, *start_);
    for (const ResponsePiece& piece : unacknowledged_) send_(link_, piece);
  }
  wakeup_.notify_all();
}

void ResponseStream::Cancel() {
  {
    const std::lock_guard lock(mutex_);
    cancelled_ = true;
  }
  wakeup_.notify_all();
}

bool ResponseStream::cancelled() const {
  const std::lock_guard lock(mutex_);
  return cancelled_;
}

bool ResponseStream::finished() const {
  const std::lock_guard lock(mutex_);
  return finished_;
}

LinkId ResponseStream::link() const {
  const std::lock_guard lock(mutex_);
  return link_;
}

}  // namespace wisteriarill
