/// \file
/// Sends the response to a call from the node that runs it to the ingress.
/// Flow control limits the bytes in flight. Pieces are kept until the ingress
/// acknowledges them, so that the response can continue over another link.
#ifndef WISTERIARILL_CONNECTION_RESPONSE_STREAM_H_
#define WISTERIARILL_CONNECTION_RESPONSE_STREAM_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "wisteriarill/connection/peer_message.h"

namespace wisteriarill {

/// Computes the XXH64 digest of a body incrementally.
class BodyDigest {
 public:
  BodyDigest();
  ~BodyDigest();
  BodyDigest(const BodyDigest&) = delete;
  BodyDigest& operator=(const BodyDigest&) = delete;
  void Add(std::string_view bytes);
  std::uint64_t value() const;

 private:
  void* state_;
};

/// Sends one response with flow control and retransmission after a link change.
/// Thread-safe: one thread writes the response while others deliver credit and
/// switch links.
class ResponseStream {
 public:
  using Sender = std::function<bool(LinkId, const PeerMessage&)>;

  ResponseStream(RequestId id, LinkId link, Sender send);

  /// Sends the status and headers.
  void Start(ResponseStart start);
  /// Sends body bytes and blocks until there is credit for them. Returns false
  /// if the call was cancelled or `deadline` passed.
  bool Write(std::string_view bytes, Instant deadline);
  /// Sends the last piece, which carries the digest of the body. `complete` is
  /// false if the backend server's response was truncated.
  void Finish(bool complete);

  /// Handles an acknowledgement of the first `received` bytes of the body,
  /// which also grants credit for the bytes that follow.
  void OnCredit(std::uint64_t received);
  /// Continues on another link after the first `received` bytes of the body.
  /// `has_start` says whether the ingress has the status and headers.
  void Rebind(LinkId link, bool has_start, std::uint64_t received);
  /// Makes current and later calls of Write return false.
  void Cancel();

  bool cancelled() const;
  bool finished() const;
  LinkId link() const;

 private:
  void SendPiece(ResponsePiece piece);
  void DiscardReceived(std::uint64_t received);

  const RequestId id_;
  const Sender send_;
  mutable std::mutex mutex_;
  std::condition_variable wakeup_;
  LinkId link_;
  std::optional<ResponseStart> start_;
  std::deque<ResponsePiece> unacknowledged_;
  std::uint64_t written_ = 0;
  std::uint64_t received_ = 0;
  BodyDigest digest_;
  bool finished_ = false;
  bool cancelled_ = false;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_CONNECTION_RESPONSE_STREAM_H_
