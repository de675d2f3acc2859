#include "peer_link.h"

#include <nng/supplemental/util/platform.h>

#include <utility>

namespace wisteriarill {

Error NngError(int code, const std::string& what, const std::string& remedy) {
  const ErrorKind kind =
      code == NNG_ETIMEDOUT ? ErrorKind::kTimeout : ErrorKind::kUnavailable;
  return MakeError(kind, what + ": " + nng_strerror(code), remedy);
}

PeerLink::PeerLink(LinkId id, std::string dial_address,
                   std::optional<nng_sockaddr> source,
                   std::size_t max_queued_bytes, PeerLinkOwner* owner)
    : id_(id),
      dial_address_(std::move(dial_address)),
      source_(source),
      max_queued_bytes_(max_queued_bytes),
      owner_(owner),
      last_received_(BootClock::now()),
      last_used_(BootClock::now()) {
  nng_aio_alloc(&dial_aio_, &PeerLink::OnDialed, this);
  nng_aio_alloc(&receive_aio_, &PeerLink::OnReceived, this);
  nng_aio_alloc(&send_aio_, &PeerLink::OnSent, this);
}

PeerLink::~PeerLink() {
  ShutDown();
  nng_aio_free(dial_aio_);
  nng_aio_free(receive_aio_);
  nng_aio_free(send_aio_);
  if (stream_ != nullptr) nng_stream_free(stream_);
  if (dialer_ != nullptr) nng_stream_dialer_free(dialer_);
}

void PeerLink::Dial() {
  const std::string url = "tcp://" + dial_address_;
  const int code = nng_stream_dialer_alloc(&dialer_, url.c_str());
  if (code != 0) {
    ShutDownWithError(code, "cannot dial");
    return;
  }
  if (source_.has_value()) {
    nng_stream_dialer_set_addr(dialer_, NNG_OPT_LOCADDR, &*source_);
  }
  nng_stream_dialer_dial(dialer_, dial_aio_);
}

void PeerLink::OnDialed(void* self) {
  auto* link = static_cast<PeerLink*>(self);
  const int code = nng_aio_result(link->dial_aio_);
  if (code != 0) {
    link->ShutDownWithError(code, "cannot connect");
    return;
  }
  link->AttachStream(
      static_cast<nng_stream*>(nng_aio_get_output(link->dial_aio_, 0)));
}

void PeerLink::AttachStream(nng_stream* stream) {
  std::string hello = owner_->HelloFrame();
  const std::lock_guard lock(mutex_);
  stream_ = stream;
  if (closed_) {
    nng_stream_close(stream_);
    return;
  }
  nng_stream_set_bool(stream_, NNG_OPT_TCP_NODELAY, true);
  queue_.insert(0, hello);
  StartSend();
  StartReceive();
}

bool PeerLink::Send(const std::string& frame) {
  const std::lock_guard lock(mutex_);
  if (closed_ || queue_.size() + frame.size() > max_queued_bytes_) return false;
  queue_ += frame;
  if (stream_ != nullptr && !sending_) StartSend();
  return true;
}

void PeerLink::ShutDown() {
  const std::lock_guard lock(mutex_);
  if (closed_) return;
  closed_ = true;
  if (stream_ != nullptr) nng_stream_close(stream_);
  if (dialer_ != nullptr) nng_stream_dialer_close(dialer_);
  nng_aio_abort(dial_aio_, NNG_ECANCELED);
}

void PeerLink::StartReceive() {
  nng_iov iov{receive_buffer_.data(), receive_buffer_.size()};
  nng_aio_set_iov(receive_aio_, 1, &iov);
  nng_stream_recv(stream_, receive_aio_);
}

// Continues a partial write, or sends all queued frames as one write.
void PeerLink::StartSend() {
  if (sending_frames_.size() == sent_bytes_) {
    sending_frames_ = std::exchange(queue_, {});
    sent_bytes_ = 0;
  }
  sending_ = !sending_frames_.empty();
  if (!sending_) return;
  nng_iov iov{sending_frames_.data() + sent_bytes_,
              sending_frames_.size() - sent_bytes_};
  nng_aio_set_iov(send_aio_, 1, &iov);
  nng_stream_send(stream_, send_aio_);
}

void PeerLink::OnSent(void* self) {
  auto* link = static_cast<PeerLink*>(self);
  const int code = nng_aio_result(link->send_aio_);
  if (code != 0) {
    link->ShutDownWithError(code, "cannot send");
    return;
  }
  const std::size_t count = nng_aio_count(link->send_aio_);
  link->bytes_sent_ += count;
  const std::lock_guard lock(link->mutex_);
  link->sent_bytes_ += count;
  if (!link->closed_) link->StartSend();
}

void PeerLink::OnReceived(void* self) {
  auto* link = static_cast<PeerLink*>(self);
  const int code = nng_aio_result(link->receive_aio_);
  if (code != 0) {
    link->ShutDownWithError(code, "cannot receive");
    return;
  }
  const std::size_t count = nng_aio_count(link->receive_aio_);
  link->bytes_received_ += count;
  link->last_received_ = BootClock::now();
  link->heartbeat_unanswered_since_ = kNever;
  link->reader_.Append({link->receive_buffer_.data(), count});
  std::string body;
  while (true) {
    const Result<bool> whole = link->reader_.Next(&body);
    if (!whole) {
      link->ShutDown();
      link->owner_->OnBroken(link, whole.error());
      return;
    }
    if (!whole.value()) break;
    link->owner_->OnFrame(link, std::move(body));
  }
  const std::lock_guard lock(link->mutex_);
  if (!link->closed_) link->StartReceive();
}

void PeerLink::ShutDownWithError(int code, const char* what) {
  ShutDown();
  owner_->OnBroken(this, NngError(code, what, "check the peer's address"));
}

std::optional<Hello> PeerLink::peer() const {
  const std::lock_guard lock(mutex_);
  return peer_;
}

void PeerLink::SetPeer(Hello hello) {
  const std::lock_guard lock(mutex_);
  peer_ = std::move(hello);
}

}  // namespace wisteriarill
