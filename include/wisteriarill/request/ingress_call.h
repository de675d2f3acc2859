/// \file
/// One call at its ingress: attempts at backend servers and the response, which
/// continues over another link when a link is lost.
#ifndef WISTERIARILL_REQUEST_INGRESS_CALL_H_
#define WISTERIARILL_REQUEST_INGRESS_CALL_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "wisteriarill/connection/peer_hub.h"
#include "wisteriarill/connection/response_stream.h"
#include "wisteriarill/process/admission_controller.h"
#include "wisteriarill/request/outcome.h"

namespace wisteriarill {

/// A validated and authorized request of a caller.
struct IngressRequest {
  std::string service;
  std::string workspace;  ///< Empty on routes that need no key.
  CallClass call_class = CallClass::kInteractive;
  std::uint8_t depth = 0;  ///< Nesting depth; 0 for calls of callers.
  bool idempotent = false;
  Instant deadline;
  Version version;  ///< Configuration version that authorized it.
  std::string method;
  std::string uri;
  std::vector<HeaderField> headers;
  std::int64_t body_length = 0;  ///< In bytes; -1 if unknown.
  std::string initial_body;      ///< The body as far as it was read.
  bool body_complete = true;     ///< `initial_body` is the complete body.
};

/// The HTTP exchange with the caller. The functions return false or nothing if
/// the caller has disconnected.
struct CallerExchange {
  /// Returns the next piece of the request body; empty at its end.
  std::function<std::optional<std::string>()> read_body;
  /// Sends the status and headers of the response to the caller.
  std::function<bool(const ResponseStart&)> on_response_start;
  /// Sends a piece of the response body to the caller.
  std::function<bool(std::string_view)> on_response_body;
};

/// The result of a call.
struct IngressResult {
  RequestId id;  ///< Request id of the last attempt.
  Outcome outcome = Outcome::kNotRun;
  Refusal refusal = Refusal::kNone;
  microseconds retry_after{};  ///< For kOverRate: when to retry.
  /// The status and headers of the response were sent to the caller.
  bool response_started = false;
  /// The complete response body was sent to the caller.
  bool response_complete = false;
};

/// Runs one call at its ingress: asks for admission, sends the call to the
/// serving node of the chosen backend server, relays the bodies, and retries at
/// other backend servers. The calling thread blocks.
class IngressCall {
 public:
  /// Returns a new request id of this instance.
  using IdSource = std::function<RequestId()>;

  IngressCall(IngressRequest request, PeerHub* hub,
              AdmissionController* admission, IdSource next_id);
  ~IngressCall();
  IngressCall(const IngressCall&) = delete;
  IngressCall& operator=(const IngressCall&) = delete;

  /// Runs the call to its end and returns its result.
  IngressResult Run(const CallerExchange& exchange);

 private:
  nanoseconds RemainingTime() const;
  AdmissionResult AdmitFirstAttempt();
  bool CanRetry(const IngressResult& result) const;
  IngressResult RunAttempt(const ChosenServer& choice,
                           const CallerExchange& exchange);
  CallStart MakeCallStart(InstanceId target) const;
  IngressResult ProcessEvents(const CallerExchange& exchange);
  bool OnEvent(CallEvent event, const CallerExchange& exchange,
               IngressResult* result);
  bool OnResponseStart(const ResponseStart& start,
                       const CallerExchange& exchange, IngressResult* result);
  bool OnResponsePiece(const ResponsePiece& piece,
                       const CallerExchange& exchange, IngressResult* result);
  bool OnCredit(const CallCredit& credit, const CallerExchange& exchange,
                IngressResult* result);
  bool Reconnect(IngressResult* result);
  void Cancel();

  const IngressRequest request_;
  PeerHub* const hub_;
  AdmissionController* const admission_;
  const IdSource next_id_;

  // State of the current attempt.
  RequestId id_;
  ChosenServer choice_;
  InstanceId target_;
  std::shared_ptr<CallMailbox> mailbox_;
  std::optional<LoadReport> load_report_;
  std::unique_ptr<BodyDigest> digest_;
  std::uint64_t received_ = 0;  ///< Bytes of the response body.
  /// The serving node did not respond; reported to the load balancer.
  bool unresponsive_ = false;

  // State of the request body.
  std::uint64_t body_sent_ = 0;
  bool body_ended_ = false;
  /// A piece of a streamed body was sent. It is not kept, so the call cannot be
  /// retried.
  bool body_consumed_ = false;
  std::string unsent_body_;  ///< Read from the caller but not yet sent.
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_REQUEST_INGRESS_CALL_H_
