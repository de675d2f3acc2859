/// \file
/// One link of a PeerTransport: an nng stream with its queues.
#ifndef WISTERIARILL_LIB_CONNECTION_PEER_LINK_H_
#define WISTERIARILL_LIB_CONNECTION_PEER_LINK_H_

#include <nng/nng.h>

#include <array>
#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "wisteriarill/connection/peer_message.h"
#include "wisteriarill/process/ids.h"
#include "wisteriarill/process/time.h"

namespace wisteriarill {

/// Returns an Error for an nng code.
Error NngError(int code, const std::string& what, const std::string& remedy);

class PeerLink;

/// What a link tells its transport. Called on nng's threads.
class PeerLinkOwner {
 public:
  virtual ~PeerLinkOwner() = default;
  virtual void OnFrame(PeerLink* link, std::string body) = 0;
  virtual void OnBroken(PeerLink* link, const Error& error) = 0;
  virtual std::string HelloFrame() = 0;
};

/// A byte stream cut into frames. Freed only after Shut, from a thread that
/// is not one of its callbacks.
class PeerLink {
 public:
  /// `dialled` is empty for an accepted link; `source` is the address to dial
  /// from, if not left to the system.
  PeerLink(LinkId id, std::string dialled, std::optional<nng_sockaddr> source,
           std::size_t queue_bytes, PeerLinkOwner* owner);
  ~PeerLink();
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  /// Begins to dial `dialled`.
  void Dial();
  /// Takes over an accepted stream and introduces this node.
  void Adopt(nng_stream* stream);
  /// Queues an encoded frame; false if broken or full.
  bool Send(const std::string& frame);
  /// Ends all I/O; further calls do nothing.
  void Shut();

  LinkId id() const { return id_; }
  const std::string& dialled() const { return dialled_; }
  Instant last_received() const { return last_received_.load(); }
  /// Returns since when the peer owes a reply; kNever if it owes none.
  Instant unanswered_since() const { return unanswered_since_.load(); }
  /// Notes that a heartbeat was sent; received bytes clear it.
  void MarkUnanswered(Instant now) {
    Instant none = kNever;
    unanswered_since_.compare_exchange_strong(none, now);
  }
  /// Restarts the silence bound, after the process itself was away.
  void ForgiveSilence() { unanswered_since_ = kNever; }
  /// Messages of users, heartbeats left out, keep a link from being idle.
  Instant last_used() const { return last_used_.load(); }
  void MarkUsed(Instant now) { last_used_ = now; }

  std::optional<Hello> peer() const;
  void SetPeer(Hello hello);

  std::uint64_t bytes_sent() const { return bytes_sent_.load(); }
  std::uint64_t bytes_received() const { return bytes_received_.load(); }

 private:
  static constexpr std::size_t kReceiveSize = 16U << 10;

  static void OnDialled(void* self);
  static void OnReceived(void* self);
  static void OnSent(void* self);
  void StartReceive();
  void StartSend();
  void Break(int code, const char* what);

  const LinkId id_;
  const std::string dialled_;
  const std::optional<nng_sockaddr> source_;
  const std::size_t queue_bytes_;
  PeerLinkOwner* const owner_;
  nng_stream_dialer* dialer_ = nullptr;
  nng_aio* dial_aio_ = nullptr;
  nng_aio* receive_aio_ = nullptr;
  nng_aio* send_aio_ = nullptr;

  mutable std::mutex mutex_;
  nng_stream* stream_ = nullptr;
  bool shut_ = false;
  bool sending_ = false;
  std::string queued_;   ///< Frames that wait for the one being sent.
  std::string in_send_;  ///< Frames being sent.
  std::size_t sent_ = 0;
  std::optional<Hello> peer_;

  std::array<char, kReceiveSize> received_;
  FrameReader reader_;
  std::atomic<Instant> last_received_;
  std::atomic<Instant> unanswered_since_{kNever};
  std::atomic<Instant> last_used_;
  std::atomic<std::uint64_t> bytes_sent_{0};
  std::atomic<std::uint64_t> bytes_received_{0};
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_LIB_CONNECTION_PEER_LINK_H_
