/// \file
/// One link of a PeerTransport: an nng stream and its buffers.
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

/// Converts an nng error code to an Error.
Error NngError(int code, const std::string& what, const std::string& remedy);

class PeerLink;

/// Receives the events of a link. Called on nng's threads.
class PeerLinkOwner {
 public:
  virtual ~PeerLinkOwner() = default;
  virtual void OnFrame(PeerLink* link, std::string body) = 0;
  virtual void OnBroken(PeerLink* link, const Error& error) = 0;
  virtual std::string HelloFrame() = 0;
};

/// A byte stream that carries frames. Must be shut down with ShutDown first and
/// then freed outside of its own callbacks, which it waits for.
class PeerLink {
 public:
  /// `dial_address` is empty for an accepted link. `source` is the local
  /// address to dial from, or std::nullopt to let the kernel choose.
  PeerLink(LinkId id, std::string dial_address,
           std::optional<nng_sockaddr> source, std::size_t max_queued_bytes,
           PeerLinkOwner* owner);
  ~PeerLink();
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  /// Starts to dial `dial_address`.
  void Dial();
  /// Takes ownership of a connected stream, sends this node's Hello and starts
  /// to receive.
  void AttachStream(nng_stream* stream);
  /// Queues an encoded frame. Returns false if the link is shut down or the
  /// queue is full.
  bool Send(const std::string& frame);
  /// Ends all I/O. Further calls have no effect.
  void ShutDown();

  LinkId id() const { return id_; }
  const std::string& dial_address() const { return dial_address_; }
  Instant last_received() const { return last_received_.load(); }
  /// Returns the time of the first heartbeat that the peer has not answered,
  /// kNever if there is none.
  Instant heartbeat_unanswered_since() const {
    return heartbeat_unanswered_since_.load();
  }
  /// Records that a heartbeat was sent. Any received bytes count as a reply.
  void MarkHeartbeatSent(Instant now) {
    Instant none = kNever;
    heartbeat_unanswered_since_.compare_exchange_strong(none, now);
  }
  /// Discards the record of unanswered heartbeats, because this process was
  /// suspended and could not receive replies.
  void ClearUnansweredHeartbeat() { heartbeat_unanswered_since_ = kNever; }
  /// Returns the time of the last message other than a heartbeat.
  Instant last_used() const { return last_used_.load(); }
  void MarkUsed(Instant now) { last_used_ = now; }

  std::optional<Hello> peer() const;
  void SetPeer(Hello hello);

  std::uint64_t bytes_sent() const { return bytes_sent_.load(); }
  std::uint64_t bytes_received() const { return bytes_received_.load(); }

 private:
  static constexpr std::size_t kReceiveBufferSize = 16U << 10;

  static void OnDialed(void* self);
  static void OnReceived(void* self);
  static void OnSent(void* self);
  void StartReceive();
  void StartSend();
  void ShutDownWithError(int code, const char* what);

  const LinkId id_;
  const std::string dial_address_;
  const std::optional<nng_sockaddr> source_;
  const std::size_t max_queued_bytes_;
  PeerLinkOwner* const owner_;
  nng_stream_dialer* dialer_ = nullptr;
  nng_aio* dial_aio_ = nullptr;
  nng_aio* receive_aio_ = nullptr;
  nng_aio* send_aio_ = nullptr;

  mutable std::mutex mutex_;
  nng_stream* stream_ = nullptr;
  bool closed_ = false;
  bool sending_ = false;
  std::string queue_;  ///< Frames that wait until `sending_frames_` is sent.
  std::string sending_frames_;  ///< Frames that are being sent.
  std::size_t sent_bytes_ = 0;  ///< Bytes of `sending_frames_` that were sent.
  std::optional<Hello> peer_;

  std::array<char, kReceiveBufferSize> receive_buffer_;
  FrameReader reader_;
  std::atomic<Instant> last_received_;
  std::atomic<Instant> heartbeat_unanswered_since_{kNever};
  std::atomic<Instant> last_used_;
  std::atomic<std::uint64_t> bytes_sent_{0};
  std::atomic<std::uint64_t> bytes_received_{0};
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_LIB_CONNECTION_PEER_LINK_H_
