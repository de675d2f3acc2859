#include "wisteriarill/request/caller_service.h"

#include "caller_handler.h"

namespace wisteriarill {

std::unique_ptr<HttpListener> MakeCallerService(CallerContext* context) {
  HttpListenerOptions options;
  options.listen = context->settings->caller_listen;
  options.threads = static_cast<int>(context->settings->caller_threads);
  return std::make_unique<HttpListener>(
      options, [context](Poco::Net::HTTPServerRequest& request,
                         Poco::Net::HTTPServerResponse& response) {
        CallerHandler(context).Handle(request, response);
      });
}

}  // namespace wisteriarill
