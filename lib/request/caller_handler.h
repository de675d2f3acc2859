/// \file
/// Serves one HTTP request of a caller.
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

class CallerHandler {
 public:
  explicit CallerHandler(CallerContext* context) : context_(context) {}

  void Handle(Poco::Net::HTTPServerRequest& request,
              Poco::Net::HTTPServerResponse& response);

 private:
  void Serve();
  Refusal Authorize(const Snapshot& snapshot, IngressRequest* ingress);
  Refusal AuthorizeNested(const Snapshot& snapshot, const Route& route,
                          const std::string& parent, IngressRequest* ingress);
  Refusal AuthorizeKey(const Snapshot& snapshot, const Route& route,
                       IngressRequest* ingress) const;
  Refusal ReadDeadline(milliseconds timeout, IngressRequest* ingress) const;
  Refusal ReadBodyBegin(IngressRequest* ingress);
  std::optional<std::string> ReadBody();
  bool StartAnswer(const AnswerStart& start, const RequestId& id);
  bool WriteAnswer(std::string_view bytes);
  void Finish(const IngressEnd& end);
  void SendProblem(const IngressEnd& end);
  void CutConnection();
  void PrepareResponse(const RequestId& id, Outcome outcome);
  void Record(const IngressEnd& end) const;

  CallerContext* const context_;
  Poco::Net::HTTPServerRequest* request_ = nullptr;
  Poco::Net::HTTPServerResponse* response_ = nullptr;
  std::ostream* out_ = nullptr;
  RequestId id_;
  Instant began_;
  std::string workspace_;
  CallClass call_class_ = CallClass::kInteractive;
  std::int64_t body_left_ = 0;  ///< -1: chunked.
  bool body_ended_ = false;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_LIB_REQUEST_CALLER_HANDLER_H_
