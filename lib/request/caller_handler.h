/// \file
/// Handles one HTTP request of a caller.
#ifndef WISTERIARILL_LIB_REQUEST_CALLER_HANDLER_H_
#define WISTERIARILL_LIB_REQUEST_CALLER_HANDLER_H_

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <memory>
#include <optional>
#include <string>

#include "wisteriarill/request/caller_service.h"
#include "wisteriarill/request/ingress_call.h"

namespace wisteriarill {

/// Authorizes a request, runs it as an IngressCall, and sends the response. An
/// object handles a single request.
class CallerHandler {
 public:
  explicit CallerHandler(CallerContext* context) : context_(context) {}

  /// Handles `request` to its end. Resets the connection if the response cannot
  /// be completed.
  void Handle(Poco::Net::HTTPServerRequest& request,
              Poco::Net::HTTPServerResponse& response);

 private:
  void ServeRequest();
  Refusal Authorize(const Snapshot& snapshot, IngressRequest* ingress);
  Refusal AuthorizeNested(const Snapshot& snapshot, const Route& route,
                          const std::string& parent, IngressRequest* ingress);
  Refusal AuthorizeKey(const Snapshot& snapshot, const Route& route,
                       IngressRequest* ingress) const;
  Refusal ReadDeadline(milliseconds timeout, IngressRequest* ingress) const;
  Refusal ReadInitialBody(IngressRequest* ingress);
  std::optional<std::string> ReadBodyPiece();
  bool StartResponse(const ResponseStart& start, const RequestId& id);
  bool WriteResponseBody(std::string_view bytes);
  void Finish(const IngressResult& result);
  void SendProblem(const IngressResult& result);
  void ResetConnection();
  void SetCommonHeaders(const RequestId& id, Outcome outcome);
  void RecordMetrics(const IngressResult& result) const;

  CallerContext* const context_;
  Poco::Net::HTTPServerRequest* request_ = nullptr;
  Poco::Net::HTTPServerResponse* response_ = nullptr;
  std::ostream* body_stream_ = nullptr;
  RequestId id_;
  Instant started_at_;
  std::string workspace_;
  CallClass call_class_ = CallClass::kInteractive;
  std::int64_t body_remaining_ = 0;  ///< In bytes; -1 if the body is chunked.
  bool body_ended_ = false;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_LIB_REQUEST_CALLER_HANDLER_H_
