/// \file
/// What a backend server has said of itself that still holds: the rate that it
/// takes, and that it is leaving. Answers the failure in which a decision goes
/// on as before although the server has stated in its responses that it can't.
#ifndef WISTERIARILL_ADMISSION_BACKEND_STATEMENTS_H_
#define WISTERIARILL_ADMISSION_BACKEND_STATEMENTS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "wisteriarill/admission/backend_report.h"
#include "wisteriarill/process/time.h"

namespace wisteriarill {

/// One start of a server.
struct BackendStart {
  std::string instance;
  /// As the server states it; an instance may start again under its name.
  std::uint64_t start_millis = 0;
};

/// Returns a number other than 0 by which nodes tell starts apart in short
/// messages.
std::uint32_t DigestOf(const BackendStart& server);

/// A limit that a server named to one node, as that node tells another.
struct ToldRateLimit {
  double rate = 0;      ///< Requests per second.
  milliseconds age{0};  ///< Time since the server last named it.
};

/// The statements of one start of one server. Does no I/O, reads no clock, and
/// is used from one thread.
class BackendStatements {
 public:
  /// Forgets everything: the server started anew. What was said before `now`
  /// says nothing about it.
  void OnNewStart(Instant now);
  /// Records a response to a call. Only one that is certainly the server's own
  /// answer, and whose request was sent at `sent`, after the limit was last
  /// heard, can end the limit by not naming it.
  void OnResponse(const BackendReport& report, bool own_answer, Instant sent,
                  Instant now);
  /// Records a response to a health check. It can end the limit only if an
  /// earlier one has named it.
  void OnHealthPage(const BackendReport& report, Instant now);
  /// Records what a peer heard of the server. Once the server has answered this
  /// node itself, peers know nothing newer: they hear it by way of this node.
  void OnToldByPeer(const ToldRateLimit& told, Instant now);

  /// Returns the requests per second that the server takes; unset: no limit.
  std::optional<double> rate_limit() const { return rate_limit_; }
  /// Returns the limit as it is told to a peer; unset: no limit.
  std::optional<ToldRateLimit> TellPeer(Instant now) const;
  /// Returns whether the server said that it is leaving, which it can't take
  /// back.
  bool leaving() const { return leaving_; }

 private:
  void OnRateLimit(double rate_limit, Instant now);

  std::optional<double> rate_limit_;
  Instant rate_limit_heard_ = kNever;
  Instant started_ = kNever;
  bool leaving_ = false;
  bool has_answered_ = false;  ///< A call to this start, in its own words.
  bool health_page_names_limit_ = false;
};

}  // namespace wisteriarill

#endif  // WISTERIARILL_ADMISSION_BACKEND_STATEMENTS_H_
