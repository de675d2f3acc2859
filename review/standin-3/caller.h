/// \file
/// A client on a machine, with one kept connection to its node.
#ifndef WISTERIARILL_REVIEW_STANDIN_3_CALLER_H_
#define WISTERIARILL_REVIEW_STANDIN_3_CALLER_H_

#include <string>

#include "net.h"

namespace wisteriarill::review {

/// One client attempt.
struct CallRequest {
  std::string id;
  std::string method = "GET";
  std::string path;
  std::string key;  ///< API key; empty: none is sent.
  std::string body;
  std::string extra_fields;  ///< Complete field lines.
  milliseconds deadline{2500};
};

/// What the client saw of an attempt.
struct CallResult {
  std::string id;
  Instant sent_at;
  Instant ended_at;
  /// Status of the complete answer; zero if there was none in time.
  int status = 0;
  bool began = false;  ///< Some bytes of an answer arrived.
  HttpMessage answer;

  milliseconds duration() const {
    return std::chrono::duration_cast<milliseconds>(ended_at - sent_at);
  }
};

/// Sends attempts one after the other. Opens a new connection if the kept one
/// has ended, or if the last attempt wasn't answered in time.
class Caller {
 public:
  explicit Caller(Endpoint node) : node_(std::move(node)) {}

  CallResult Call(const CallRequest& request);

 private:
  Endpoint node_;
  Socket socket_;
};

}  // namespace wisteriarill::review

#endif  // WISTERIARILL_REVIEW_STANDIN_3_CALLER_H_
