/// \file
/// One call at its ingress: attempts at backend servers, and the answer that
/// comes back, over as many links as it takes.
#ifndef WISTERIARILL_REQUEST_INGRESS_CALL_H_
#define WISTERIARILL_REQUEST_INGRESS_CALL_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "wisteriarill/connection/answer_stream.h"
#include "wisteriarill/connection/peer_hub.h"
#include "wisteriarill/process/admission_controller.h"
#include "wisteriarill/request/outcome.h"

namespace wisteriarill {

/// A checked request that may be sent to backend servers.
struct IngressRequest {
  std::string service;
  std::string workspace;  ///< Empty on routes open to all.
  bool charged = true;    ///< False for nested calls: the root was charged.
  CallClass call_class = CallClass::kInteractive;
  std::uint8_t depth = 0;
  bool idempotent = false;
  Instant deadline;
  Version version;
  std::string method;
  std::string uri;
  std::vector<HeaderField> headers;
  std::int64_t body_length = 0;  ///< -1: unknown.
  std::string body_begin;        ///< The whole body if `body_whole`.
  bool body_whole = true;
};

/// The caller's side of an exchange. Functions return false, or nothing, once
/// the caller is gone.
struct CallerExchange {
  /// Returns more of the request body, empty at its end.
  std::function<std::optional<std::string>()> read_body;
  /// Takes the status and headers of a whole or streaming answer.
  std::function<bool(const AnswerStart&)> on_start;
  std::function<bool(std::string_view)> on_body;
};

/// How a call ended.
struct IngressEnd {
  RequestId id;  ///< Of the last attempt.
  Outcome outcome = Outcome::kNotRun;
  Refusal refusal = Refusal::kNone;
  microseconds retry_after{};
  bool started = false;  ///< on_start was called.
  bool whole = false;    ///< All of the body went to the caller.
};

class IngressCall {
 public:
  /// Draws request ids of this process.
  using IdSource = std::function<RequestId()>;

  IngressCall(IngressRequest request, PeerHub* hub, AdmissionController* admission,
              IdSource next_id);
  ~IngressCall();
  IngressCall(const IngressCall&) = delete;
  IngressCall& operator=(const IngressCall&) = delete;

  /// Runs the call to its end on the caller's thread.
  IngressEnd Run(const CallerExchange& exchange);

 private:
  nanoseconds Left() const;
  AdmissionResult FirstAdmission();
  bool MayRetry(const IngressEnd& end) const;
  IngressEnd Attempt(const ChosenServer& choice, const CallerExchange& exchange);
  CallStart MakeStart(InstanceId target) const;
  IngressEnd Converse(const CallerExchange& exchange);
  bool OnEvent(CallEvent event, const CallerExchange& exchange,
               IngressEnd* end);
  bool OnAnswerStart(const AnswerStart& start, const CallerExchange& exchange,
                     IngressEnd* end);
  bool OnAnswerPiece(const AnswerPiece& piece, const CallerExchange& exchange,
                     IngressEnd* end);
  bool OnCredit(const CallCredit& credit, const CallerExchange& exchange,
                IngressEnd* end);
  bool Reconnect(IngressEnd* end);
  void Cancel();

  const IngressRequest request_;
  PeerHub* const hub_;
  AdmissionController* const admission_;
  const IdSource next_id_;

  // The present attempt.
  RequestId id_;
  ChosenServer choice_;
  InstanceId target_;
  std::shared_ptr<CallMailbox> mailbox_;
  std::optional<LoadReport> load_;
  std::unique_ptr<BodyDigest> digest_;
  std::uint64_t received_ = 0;
  bool silent_ = false;

  // The request body.
  std::uint64_t body_sent_ = 0;
  bool body_ended_ = false;
  bool body_lost_ = false;  ///< Pieces are gone that a retry would need.
  std::string body_rest_;   ///< Read from the caller, not sent.
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_REQUEST_INGRESS_CALL_H_
