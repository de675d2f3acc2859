#include "peer_link.h"

#include <nng/supplemental/util/platform.h>

#include <utility>

namespace wisteriarill {

Error NngError(int code, const std::string& what, const std::string& remedy) {
  const ErrorKind kind =
      code == NNG_ETIMEDOUT ? ErrorKind::kTimeout : ErrorKind::kUnavailable;
  return MakeError(kind, what + ": " + nng_strerror(code), remedy);
}

PeerLink::PeerLink(LinkId id, std::string dialled,
                   std::optional<nng_sockaddr> source, std::size_t queue_bytes,
                   PeerLinkOwner* owner)
    : id_(id),
      dialled_(std::move(dialled)),
      source_(source),
      queue_bytes_(queue_bytes),
      owner_(owner),
      last_received_(BootClock::now()),
      last_used_(BootClock::now()) {
  nng_aio_alloc(&dial_aio_, &PeerLink::OnDialled, this);
  nng_aio_alloc(&receive_aio_, &PeerLink::OnReceived, this);
  nng_aio_alloc(&send_aio_, &PeerLink::OnSent, this);
}

PeerLink::~PeerLink() {
  Shut();
  nng_aio_free(dial_aio_);
  nng_aio_free(receive_aio_);
  nng_aio_free(send_aio_);
  if (stream_ != nullptr) nng_stream_free(stream_);
  if (dialer_ != nullptr) nng_stream_dialer_free(dialer_);
}

void PeerLink::Dial() {
  const std::string url = "tcp://" + dialled_;
  const int code = nng_stream_dialer_alloc(&dialer_, url.c_str());
  if (code != 0) {
    Break(code, "cannot dial");
    return;
  }
  if (source_.has_value()) {
    nng_stream_dialer_set_addr(dialer_, NNG_OPT_LOCADDR, &*source_);
  }
  nng_stream_dialer_dial(dialer_, dial_aio_);
}

void PeerLink::OnDialled(void* self) {
  auto* link = static_cast<PeerLink*>(self);
  const int code = nng_aio_result(link->dial_aio_);
  if (code != 0) {
    link->Break(code, "cannot connect");
    return;
  }
  link->Adopt(static_cast<nng_stream*>(nng_aio_get_output(link->dial_aio_, 0)));
}

void PeerLink::Adopt(nng_stream* stream) {
  std::string hello = owner_->HelloFrame();
  const std::lock_guard lock(mutex_);
  stream_ = stream;
  if (shut_) {
    nng_stream_close(stream_);
    return;
  }
  nng_stream_set_bool(stream_, NNG_OPT_TCP_NODELAY, true);
  queued_.insert(0, hello);
  StartSend();
  StartReceive();
}

bool PeerLink::Send(const std::string& frame) {
  const std::lock_guard lock(mutex_);
  if (shut_ || queued_.size() + frame.size() > queue_bytes_) return false;
  queued_ += frame;
  if (stream_ != nullptr && !sending_) StartSend();
  return true;
}

void PeerLink::Shut() {
  const std::lock_guard lock(mutex_);
  if (shut_) return;
  shut_ = true;
  if (stream_ != nullptr) nng_stream_close(stream_);
  if (dialer_ != nullptr) nng_stream_dialer_close(dialer_);
  nng_aio_abort(dial_aio_, NNG_ECANCELED);
}

void PeerLink::StartReceive() {
  nng_iov iov{received_.data(), received_.size()};
  nng_aio_set_iov(receive_aio_, 1, &iov);
  nng_stream_recv(stream_, receive_aio_);
}

// Sends all queued frames as one write.
void PeerLink::StartSend() {
  if (in_send_.size() == sent_) {
    in_send_ = std::exchange(queued_, {});
    sent_ = 0;
  }
  sending_ = !in_send_.empty();
  if (!sending_) return;
  nng_iov iov{in_send_.data() + sent_, in_send_.size() - sent_};
  nng_aio_set_iov(send_aio_, 1, &iov);
  nng_stream_send(stream_, send_aio_);
}

void PeerLink::OnSent(void* self) {
  auto* link = static_cast<PeerLink*>(self);
  const int code = nng_aio_result(link->send_aio_);
  if (code != 0) {
    link->Break(code, "cannot send");
    return;
  }
  const std::size_t count = nng_aio_count(link->send_aio_);
  link->bytes_sent_ += count;
  const std::lock_guard lock(link->mutex_);
  link->sent_ += count;
  if (!link->shut_) link->StartSend();
}

void PeerLink::OnReceived(void* self) {
  auto* link = static_cast<PeerLink*>(self);
  const int code = nng_aio_result(link->receive_aio_);
  if (code != 0) {
    link->Break(code, "cannot receive");
    return;
  }
  const std::size_t count = nng_aio_count(link->receive_aio_);
  link->bytes_received_ += count;
  link->last_received_ = BootClock::now();
  link->unanswered_since_ = kNever;
  link->reader_.Append({link->received_.data(), count});
  std::string body;
  while (true) {
    const Result<bool> whole = link->reader_.Next(&body);
    if (!whole) {
      link->Shut();
      link->owner_->OnBroken(link, whole.error());
      return;
    }
    if (!whole.value()) break;
    link->owner_->OnFrame(link, std::move(body));
  }
  const std::lock_guard lock(link->mutex_);
  if (!link->shut_) link->StartReceive();
}

void PeerLink::Break(int code, const char* what) {
  Shut();
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
