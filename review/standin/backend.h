/// \file
/// Stand-in for a backend server beside a node.
#ifndef WISTERIARILL_REVIEW_STANDIN_BACKEND_H_
#define WISTERIARILL_REVIEW_STANDIN_BACKEND_H_

#include <string>

#include "journal.h"
#include "wisteriarill/mesh/http_server.h"

namespace wisteriarill::review {

/// Runs requests that expect its instance and refuses all others with 421.
class Backend : public RequestHandler {
 public:
  Backend(std::string instance, Journal* journal, milliseconds work_time)
      : instance_(std::move(instance)),
        journal_(journal),
        work_time_(work_time) {}

  Task<void> Handle(ServerExchange* exchange) override;

 private:
  std::string instance_;
  Journal* journal_;
  milliseconds work_time_;  ///< Time that a request runs.
};

}  // namespace wisteriarill::review

#endif  // WISTERIARILL_REVIEW_STANDIN_BACKEND_H_
