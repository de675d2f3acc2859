/// \file
/// The sending side of an answer: pieces within a window, kept until the
/// ingress has them, so that another link can take over in the middle.
#ifndef WISTERIARILL_CONNECTION_ANSWER_STREAM_H_
#define WISTERIARILL_CONNECTION_ANSWER_STREAM_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "wisteriarill/connection/peer_message.h"

namespace wisteriarill {

/// Computes the digest of a body that arrives in pieces.
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

/// Thread-safe: one thread writes, others bring credit and new links.
class AnswerStream {
 public:
  using Sender = std::function<bool(LinkId, const PeerMessage&)>;

  AnswerStream(RequestId id, LinkId link, Sender send);

  /// Sends the status and headers.
  void Start(AnswerStart start);
  /// Sends body bytes, waiting for credit; false once cancelled or past
  /// `deadline`.
  bool Write(std::string_view bytes, Instant deadline);
  /// Ends the body; `whole` is false if the backend server broke off.
  void Finish(bool whole);

  /// Notes how much the ingress has received.
  void OnCredit(std::uint64_t received);
  /// Goes on over another link from where the ingress is.
  void Rebind(LinkId link, bool has_start, std::uint64_t received);
  /// Makes Write fail.
  void Cancel();

  bool cancelled() const;
  bool finished() const;
  LinkId link() const;

 private:
  void SendPiece(AnswerPiece piece);
  void DropReceived(std::uint64_t received);

  const RequestId id_;
  const Sender send_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  LinkId link_;
  std::optional<AnswerStart> start_;
  std::deque<AnswerPiece> kept_;  ///< Sent, not known to be received.
  std::uint64_t written_ = 0;
  std::uint64_t received_ = 0;
  BodyDigest digest_;
  bool finished_ = false;
  bool cancelled_ = false;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_CONNECTION_ANSWER_STREAM_H_
